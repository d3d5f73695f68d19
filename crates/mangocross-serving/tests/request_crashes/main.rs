//! Whole requests that crash servers, beside others that are sound.

mod answered;

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::AttemptSpan;
use mangocross_serving::CrashBlame;
use mangocross_serving::CrashCause;
use mangocross_serving::CrashReport;
use mangocross_serving::CrashVerdict;
use mangocross_serving::Moment;
use mangocross_serving::PartCrashReport;
use mangocross_serving::ProcessState;
use mangocross_serving::ReportedPartCrash;
use mangocross_serving::RequestIdentity;
use mangocross_serving::ServerProcess;

/// Time from a crash until the repeat of its request crashes the next server.
const REPEAT_MS: u64 = 110;
/// Time from sending a request until it crashes its server.
const CRASH_MS: u64 = 100;

fn request(number: u32) -> CrashCause {
    let target = format!("/x/{number}");
    CrashCause::Request(RequestIdentity::new("GET", "a.example", &target, None, b""))
}

fn part(number: u32) -> CrashCause {
    CrashCause::Part(format!("{number:x}").parse().expect("a valid id"))
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

fn other() -> Arc<str> {
    Arc::from("entry-1")
}

/// A request that was sent shortly before it crashed its server.
fn broke_at(ms: u64) -> AttemptSpan {
    AttemptSpan { sent_at: at(ms).before(Duration::from_millis(CRASH_MS)), broke_at: at(ms) }
}

/// Records crashes of servers, one after the other, under repeats of these requests.
fn crash_in_turn(blame: &mut CrashBlame, causes: &[CrashCause], servers: std::ops::Range<u64>) {
    for number in servers {
        blame.record_crash(causes, &server(number), &own(), broke_at(number * REPEAT_MS));
    }
}

fn is_quarantined(blame: &CrashBlame, cause: CrashCause) -> bool {
    blame.verdict(&[cause]) == CrashVerdict::Quarantined(cause)
}

/// Crashes under the repeats of one request lay 110 ms apart and counted once, as if a rack had been
/// lost.
#[test]
fn crash_under_a_repeat_counts_however_soon_it_comes() {
    let mut blame = CrashBlame::default();
    crash_in_turn(&mut blame, &[request(1)], 0..1);
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
    crash_in_turn(&mut blame, &[request(1)], 1..2);
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Suspect(request(1)));
    crash_in_turn(&mut blame, &[request(1)], 2..3);
    assert!(is_quarantined(&blame, request(1)));
    assert_eq!(blame.verdict(&[request(2)]), CrashVerdict::Sound);
}

/// Copies of one request were at all servers of a rack that was lost.
#[test]
fn copies_sent_before_a_common_loss_count_once() {
    let mut blame = CrashBlame::default();
    for number in 0..12 {
        let span = AttemptSpan { sent_at: at(number), broke_at: at(100 + number) };
        blame.record_crash(&[request(1)], &server(number), &own(), span);
    }
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
}

/// Two requests that were never answered were at the same crashes; the next crash tells them apart.
#[test]
fn equally_suspect_requests_are_told_apart_by_a_further_crash() {
    let mut blame = CrashBlame::default();
    for number in 0..3 {
        for cause in [request(1), request(2)] {
            blame.record_crash(&[cause], &server(number), &own(), broke_at(number * 1000));
        }
    }
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Suspect(request(1)));
    assert_eq!(blame.verdict(&[request(2)]), CrashVerdict::Suspect(request(2)));
    blame.record_crash(&[request(1)], &server(3), &own(), broke_at(3000));
    assert!(is_quarantined(&blame, request(1)));
    assert_eq!(blame.verdict(&[request(2)]), CrashVerdict::Sound);
}

/// Streams of one request crash engines: the request and the parts of its prompt were at the same
/// crashes, so only this request is refused. A sound stream with the part clears the part alone.
#[test]
fn stream_is_blamed_as_a_request_and_by_its_parts() {
    let mut blame = CrashBlame::default();
    crash_in_turn(&mut blame, &[part(9), request(1)], 0..3);
    assert!(matches!(blame.verdict(&[part(9), request(1)]), CrashVerdict::Quarantined(_)));
    assert_eq!(blame.verdict(&[part(9), request(2)]), CrashVerdict::Suspect(part(9)));
    blame.record_sound(&[part(9), request(2)], &own(), at(2000));
    assert_eq!(blame.verdict(&[part(9), request(2)]), CrashVerdict::Sound);
    assert!(matches!(blame.verdict(&[part(9), request(1)]), CrashVerdict::Quarantined(_)));
}

/// Different requests with one part crash engines: the part is the cause, none of the requests.
#[test]
fn part_common_to_requests_is_blamed_for_them() {
    let mut blame = CrashBlame::default();
    for number in 0..3 {
        let causes = [part(9), request(number)];
        let number = u64::from(number);
        blame.record_crash(&causes, &server(number), &own(), broke_at(number * REPEAT_MS));
    }
    assert!(is_quarantined(&blame, part(9)));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
}

fn report_of_three_crashes() -> (CrashReport, CrashBlame) {
    let mut first = CrashBlame::default();
    crash_in_turn(&mut first, &[request(1)], 0..3);
    (first.take_report(at(400)), first)
}

/// What one entry VM observed alone counts at another that knows itself that the processes have
/// ended.
#[test]
fn report_that_agrees_with_the_entries_counts() {
    let (report, _) = report_of_three_crashes();
    let mut blame = CrashBlame::default();
    blame.apply(report, &other(), at(410));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
    let checks = blame.take_checks(at(410));
    assert_eq!(checks.len(), 3);
    assert!(blame.take_checks(at(420)).is_empty(), "they were checked just now");
    for process in &checks {
        blame.record_state(process, ProcessState::Listed, &other());
    }
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
    for process in &checks {
        assert!(blame.record_state(process, ProcessState::Ended, &other()));
    }
    assert!(is_quarantined(&blame, request(1)));
}

/// A report that names servers which are there quarantines nothing, and neither does the word of one
/// entry VM on processes of which nobody else knows.
#[test]
fn report_that_disagrees_with_the_entries_counts_nothing() {
    let (report, _) = report_of_three_crashes();
    let mut blame = CrashBlame::default();
    blame.record_crash(&[request(1)], &server(50), &other(), broke_at(1000));
    for ms in [1100, 2000, 30_000] {
        blame.apply(report.clone(), &other(), at(ms));
        for process in blame.take_checks(at(ms)) {
            blame.record_state(&process, ProcessState::Listed, &other());
        }
        assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
    }
    for number in 0..3 {
        assert!(!blame.take_checks(at(40_000)).contains(&server(number)), "it was there too long");
    }
    let mut ignorant = CrashBlame::default();
    ignorant.apply(report, &other(), at(410));
    assert_eq!(ignorant.verdict(&[request(1)]), CrashVerdict::Sound);
}

/// An entry VM that starts knows neither the processes nor the request; it hears of the crashes from
/// one that only confirmed them.
#[test]
fn restarted_entry_vm_believes_a_confirmed_report() {
    let (report, _) = report_of_three_crashes();
    let mut second = CrashBlame::default();
    second.apply(report, &other(), at(410));
    for process in second.take_checks(at(410)) {
        second.record_state(&process, ProcessState::Ended, &other());
    }
    let mut restarted = CrashBlame::default();
    restarted.apply(second.take_report(at(9000)), &Arc::from("entry-2"), at(9000));
    assert!(is_quarantined(&restarted, request(1)));
}

/// A message that is repeated late makes crashes of a common loss seem to be under repeats.
#[test]
fn repeated_report_does_not_tear_a_common_loss_apart() {
    let mut first = CrashBlame::default();
    for number in 0..5 {
        let span = AttemptSpan { sent_at: at(number), broke_at: at(100 + number) };
        first.record_crash(&[request(1)], &server(number), &own(), span);
    }
    let report = first.take_report(at(200));
    let mut blame = CrashBlame::default();
    for (number, delay_ms) in (5..).zip([0, 40, 90, 300]) {
        blame.apply(report.clone(), &other(), at(200 + delay_ms));
        for number in 0..5 {
            blame.record_state(&server(number), ProcessState::Ended, &other());
        }
        let span = AttemptSpan { sent_at: at(5), broke_at: at(105) };
        blame.record_crash(&[request(1)], &server(number), &other(), span);
        assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound, "{delay_ms}");
    }
}

/// The loss of a rack makes thousands of candidates with one crash each.
#[test]
fn request_with_two_crashes_outlasts_a_mass_loss() {
    let mut blame = CrashBlame::default();
    crash_in_turn(&mut blame, &[request(1)], 0..2);
    for number in 100..2100 {
        let process = server(u64::from(number % 40) + 1000);
        blame.record_crash(&[request(number)], &process, &own(), broke_at(5000));
    }
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Suspect(request(1)));
    let report = blame.take_report(at(6000));
    assert!(report.crashes.len() <= 40);
    let told = report.crashes.iter().filter(|it| it.cause == request(1)).count();
    assert_eq!(told, 2, "the others hear of it first");
    crash_in_turn(&mut blame, &[request(1)], 60..61);
    assert!(is_quarantined(&blame, request(1)));
    assert_eq!(blame.take_report(at(120_000)).crashes.len(), 3, "single crashes are old news");
}

/// Reports of requests crowd no part out of the table.
#[test]
fn requests_and_parts_have_tables_of_their_own() {
    let mut blame = CrashBlame::default();
    blame.record_crash(&[part(9)], &server(0), &own(), broke_at(0));
    for number in 0..2000 {
        blame.record_crash(&[request(number)], &server(1), &own(), broke_at(1000));
    }
    for number in 2..4 {
        blame.record_crash(&[part(9)], &server(number), &own(), broke_at(number * 1000));
    }
    assert!(is_quarantined(&blame, part(9)));
}

/// The evidence is forgotten after half an hour.
#[test]
fn quarantine_of_a_request_expires() {
    let (_, mut blame) = report_of_three_crashes();
    blame.expire(&own(), at(29 * 60_000));
    assert!(is_quarantined(&blame, request(1)));
    blame.expire(&own(), at(31 * 60_000));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
}

/// Crashes that one entry VM each observed are known to 295 of them after twelve rounds, each sending
/// to four others at random and losing one message in five; nobody else saw a broken answer.
#[test]
fn crashes_of_a_request_are_known_to_a_large_fleet_after_a_few_rounds() {
    const ENTRY_VMS: usize = 295;
    let mut rng = Rng::with_seed(87);
    let mut fleet: Vec<CrashBlame> = (0..ENTRY_VMS).map(|_| CrashBlame::default()).collect();
    let names: Vec<Arc<str>> = (0..ENTRY_VMS).map(|it| Arc::from(format!("entry-{it}"))).collect();
    for number in 0..3 {
        let span = broke_at(number * REPEAT_MS);
        fleet[0].record_crash(&[request(1)], &server(number), &names[0], span);
    }
    for round in 1..=12 {
        let now = at(1000 + round * 200);
        for sender in 0..ENTRY_VMS {
            let report = fleet[sender].take_report(now);
            for _ in 0..4 {
                let to = rng.usize(..ENTRY_VMS);
                if to != sender && rng.f64() > 0.2 {
                    fleet[to].apply(report.clone(), &names[to], now);
                    for process in fleet[to].take_checks(now) {
                        fleet[to].record_state(&process, ProcessState::Ended, &names[to]);
                    }
                }
            }
        }
    }
    let unaware = fleet.iter().filter(|it| !is_quarantined(it, request(1))).count();
    assert_eq!(unaware, 0);
}

/// Entry VMs of an earlier version report parts of prompts only.
#[test]
fn report_of_an_earlier_version_counts() {
    let crash = |number: u32| ReportedPartCrash {
        part: "9".parse().expect("a valid id"),
        server: server(u64::from(number)),
        age_ms: 1000 - 300 * number,
        reporters: vec![own(), other()],
    };
    let crashes = (0..3).map(crash).collect();
    let report = PartCrashReport { crashes, sound: Vec::new() };
    let mut blame = CrashBlame::default();
    blame.apply(report.into(), &Arc::from("entry-2"), at(2000));
    assert!(is_quarantined(&blame, part(9)));
}
