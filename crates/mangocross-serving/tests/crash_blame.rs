//! Parts of prompts that crash servers, and crashes that no part causes.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::AttemptSpan;
use mangocross_serving::CrashBlame;
use mangocross_serving::CrashCause;
use mangocross_serving::CrashReport;
use mangocross_serving::CrashVerdict;
use mangocross_serving::Moment;
use mangocross_serving::ServerProcess;

/// Time between two crashes that have no common cause.
const APART_MS: u64 = 300;

fn part(number: u32) -> CrashCause {
    CrashCause::Part(format!("{number:x}").parse().expect("a valid id"))
}

/// Returns a crash under a request that was sent before any other crash.
fn broke_at(ms: u64) -> AttemptSpan {
    AttemptSpan { sent_at: at(ms).before(Duration::from_secs(500)), broke_at: at(ms) }
}

fn server(number: u64) -> ServerProcess {
    ServerProcess { vm: format!("s{number}").parse().expect("a valid id"), born_unix_ms: 7 }
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(1_000_000 + ms))
}

fn own() -> Arc<str> {
    Arc::from("entry-0")
}

/// Records a crash of another server for each list of parts, apart in time.
fn crash_with(blame: &mut CrashBlame, crashes: &[&[u32]]) {
    for (index, numbers) in (1..).zip(crashes) {
        let parts: Vec<CrashCause> = numbers.iter().copied().map(part).collect();
        blame.record_crash(&parts, &server(index), &own(), broke_at(index * APART_MS));
    }
}

fn is_quarantined(blame: &CrashBlame, number: u32) -> bool {
    blame.verdict(&[part(number)]) == CrashVerdict::Quarantined(part(number))
}

/// Carries a report to another entry VM after a delay.
fn deliver(report: CrashReport, to: &mut CrashBlame, name: &str, now_ms: u64) -> bool {
    to.apply(report, &Arc::from(name), at(now_ms))
}

/// Three crashes suffice; the second one already stops repeats.
#[test]
fn part_common_to_crashes_is_quarantined() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[9]]);
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound, "one crash proves nothing");
    crash_with(&mut blame, &[&[9], &[9]]);
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Suspect(part(9)));
    crash_with(&mut blame, &[&[9], &[9], &[9]]);
    assert!(is_quarantined(&blame, 9));
    assert_eq!(blame.verdict(&[part(1), part(9)]), CrashVerdict::Quarantined(part(9)));
    assert_eq!(blame.verdict(&[part(1)]), CrashVerdict::Sound);
}

/// The same process crashes once, however many streams it breaks.
#[test]
fn streams_that_broke_together_are_one_crash() {
    let mut blame = CrashBlame::default();
    for ms in [0, 1, 2, 400, 900] {
        blame.record_crash(&[part(9)], &server(1), &own(), broke_at(ms));
    }
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound);
}

/// A rack or a domain that is lost ends dozens of streams at once.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut blame = CrashBlame::default();
    for number in 0..12 {
        blame.record_crash(&[part(9)], &server(number), &own(), broke_at(number * 10));
    }
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound);
}

/// Sound requests share their caller and their other parts with those that crash servers.
#[test]
fn parts_that_were_answered_are_sound() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[part(1), part(2)], &own(), at(0));
    crash_with(&mut blame, &[&[1, 9], &[1, 2, 9], &[1, 9], &[1, 2, 9]]);
    assert!(is_quarantined(&blame, 9));
    assert_eq!(blame.verdict(&[part(1), part(2)]), CrashVerdict::Sound);
}

/// An answer that gets past its start clears a part that crashes counted against.
#[test]
fn answer_clears_a_quarantined_part() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[9], &[9], &[9]]);
    assert!(blame.record_sound(&[part(9)], &own(), at(2000)));
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound);
    crash_with(&mut blame, &[&[9], &[9], &[9]]);
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound, "it stays sound for a while");
}

/// A first part that no answer has proved sound is at all crashes too; requests without the part that
/// crashes servers must not be refused for it, wherever the parts stand.
#[test]
fn equally_suspect_parts_are_refused_only_together() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[1, 9], &[1, 9], &[1, 9]]);
    assert!(matches!(blame.verdict(&[part(9), part(1)]), CrashVerdict::Quarantined(_)));
    assert_eq!(blame.verdict(&[part(1)]), CrashVerdict::Suspect(part(1)));
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Suspect(part(9)));
    blame.record_sound(&[part(1)], &own(), at(2000));
    assert!(is_quarantined(&blame, 9), "an answer with the other part leaves this one");
    assert_eq!(blame.verdict(&[part(1)]), CrashVerdict::Sound);
}

/// A further crash with one of them shows the cause.
#[test]
fn further_crash_tells_equally_suspect_parts_apart() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[1, 9], &[1, 9], &[1, 9], &[1, 8]]);
    assert!(is_quarantined(&blame, 1));
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound);
}

/// Streams that broke are resumed together, so a bystander is at several crashes.
#[test]
fn bystander_of_several_crashes_is_released() {
    let mut blame = CrashBlame::default();
    let crash = |blame: &mut CrashBlame, numbers: &[u32], index: u64| {
        for number in numbers {
            blame.record_crash(
                &[part(*number)],
                &server(index),
                &own(),
                broke_at(index * APART_MS),
            );
        }
    };
    for index in 1..=3 {
        crash(&mut blame, &[5, 9], index);
    }
    crash(&mut blame, &[9], 4);
    assert!(is_quarantined(&blame, 9));
    assert_eq!(blame.verdict(&[part(5)]), CrashVerdict::Sound);
}

/// One entry VM with a fault of its own must not stop requests at the others.
#[test]
fn reports_of_a_single_entry_vm_block_nothing_elsewhere() {
    let mut first = CrashBlame::default();
    crash_with(&mut first, &[&[9], &[9], &[9], &[9], &[9]]);
    let mut other = CrashBlame::default();
    deliver(first.take_report(at(2000)), &mut other, "entry-1", 2000);
    assert_eq!(other.verdict(&[part(9)]), CrashVerdict::Sound);
    other.record_crash(&[part(9)], &server(50), &Arc::from("entry-1"), broke_at(2500));
    assert!(is_quarantined(&other, 9), "its own observation agrees");
}

/// A datagram that is delivered late or twice adds no crash.
#[test]
fn delayed_reports_add_nothing() {
    let mut first = CrashBlame::default();
    crash_with(&mut first, &[&[9], &[9]]);
    let report = first.take_report(at(1000));
    let mut other = CrashBlame::default();
    other.record_crash(&[part(9)], &server(1), &Arc::from("entry-1"), broke_at(300));
    for delay_ms in [0, 400, 5000, 20_000] {
        deliver(report.clone(), &mut other, "entry-1", 1000 + delay_ms);
    }
    assert_eq!(other.verdict(&[part(9)]), CrashVerdict::Suspect(part(9)));
}

/// An entry VM that knows a part as sound tells those that blame it.
#[test]
fn sound_part_is_cleared_at_the_others() {
    let mut first = CrashBlame::default();
    crash_with(&mut first, &[&[9], &[9], &[9]]);
    let mut other = CrashBlame::default();
    other.record_sound(&[part(9)], &Arc::from("entry-1"), at(1000));
    assert!(deliver(first.take_report(at(1100)), &mut other, "entry-1", 1100));
    deliver(other.take_report(at(1100)), &mut first, "entry-0", 1110);
    assert_eq!(first.verdict(&[part(9)]), CrashVerdict::Sound);
}

/// An entry VM that starts again knows nothing, not even what it reported itself.
#[test]
fn restarted_entry_vm_learns_from_one_message() {
    let mut first = CrashBlame::default();
    crash_with(&mut first, &[&[9], &[9], &[9]]);
    let mut other = CrashBlame::default();
    other.record_crash(&[part(9)], &server(50), &Arc::from("entry-1"), broke_at(2500));
    deliver(first.take_report(at(2500)), &mut other, "entry-1", 2500);
    let mut restarted = CrashBlame::default();
    deliver(other.take_report(at(9000)), &mut restarted, "entry-0", 9000);
    assert!(is_quarantined(&restarted, 9));
}

/// What crashes say is forgotten after half an hour.
#[test]
fn quarantine_expires() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[9], &[9], &[9]]);
    blame.expire(&own(), at(29 * 60_000));
    assert!(is_quarantined(&blame, 9));
    blame.expire(&own(), at(31 * 60_000));
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Sound);
    assert!(blame.take_report(at(31 * 60_000)).is_empty());
}

/// A part that one crash counts against is forgotten before those with more.
#[test]
fn least_blamed_part_is_forgotten_first() {
    let mut blame = CrashBlame::default();
    let crash = |blame: &mut CrashBlame, number: u32, index: u64| {
        blame.record_crash(&[part(number)], &server(index), &own(), broke_at(index * APART_MS));
    };
    crash(&mut blame, 7, 0);
    crash(&mut blame, 9, 1);
    crash(&mut blame, 9, 2);
    for number in 0..70 {
        crash(&mut blame, 100 + number, 3);
    }
    for index in [4, 5] {
        crash(&mut blame, 7, index);
        crash(&mut blame, 9, index + 2);
    }
    assert!(is_quarantined(&blame, 9));
    assert_ne!(blame.verdict(&[part(7)]), CrashVerdict::Quarantined(part(7)));
}

/// Parts are numberless: those that few crashes count against are forgotten first, and a report
/// fits into a datagram.
#[test]
fn tables_and_reports_are_bounded() {
    let mut blame = CrashBlame::default();
    crash_with(&mut blame, &[&[9], &[9], &[9], &[9]]);
    let mut rng = Rng::with_seed(21);
    for number in 0..20_000 {
        let parts = [part(rng.u32(100..)), part(rng.u32(100..))];
        if rng.bool() {
            blame.record_crash(&parts, &server(rng.u64(100..)), &own(), broke_at(2000 + number));
        } else {
            blame.record_sound(&parts, &own(), at(2000 + number));
        }
    }
    assert!(is_quarantined(&blame, 9));
    assert!(blame.take_report(at(30_000)).crashes.len() <= 40);
}

/// Reports reach 295 entry VMs, each of which sends to four others at random and loses one in five,
/// within twelve rounds; the crashes were observed by one VM each.
#[test]
fn crashes_are_known_to_a_large_fleet_after_a_few_rounds() {
    const ENTRY_VMS: usize = 295;
    let mut rng = Rng::with_seed(295);
    let mut fleet: Vec<CrashBlame> = (0..ENTRY_VMS).map(|_| CrashBlame::default()).collect();
    let names: Vec<Arc<str>> = (0..ENTRY_VMS).map(|it| Arc::from(format!("entry-{it}"))).collect();
    for index in 0..3 {
        let span = broke_at(index as u64 * APART_MS);
        fleet[index].record_crash(&[part(9)], &server(index as u64), &names[index], span);
    }
    for round in 1..=12 {
        let now = at(1000 + round * 200);
        for sender in 0..ENTRY_VMS {
            let report = fleet[sender].take_report(now);
            for _ in 0..4 {
                let to = rng.usize(..ENTRY_VMS);
                if to != sender && rng.f64() > 0.2 {
                    fleet[to].apply(report.clone(), &names[to], now);
                }
            }
        }
    }
    let unaware = fleet.iter().filter(|it| !is_quarantined(it, 9)).count();
    assert_eq!(unaware, 0);
}
