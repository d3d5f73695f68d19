//! Whole requests that crash servers, beside others that are sound.

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

/// A sound request that is asked each second meets crashes that another one causes.
#[test]
fn answered_bystander_is_never_refused() {
    let mut blame = CrashBlame::default();
    for number in 0..60 {
        let ms = number * 500;
        blame.record_crash(&[request(1)], &server(number), &own(), broke_at(ms));
        blame.record_crash(&[request(2)], &server(number), &own(), broke_at(ms));
        if number % 2 == 0 {
            blame.record_sound(&[request(2)], &own(), at(ms + 200));
        }
        assert!(!is_quarantined(&blame, request(2)), "{number}");
    }
    assert!(is_quarantined(&blame, request(1)));
}

/// A bystander that was answered lately was at the very same crashes since; only the other one is
/// refused.
#[test]
fn request_without_answers_is_blamed_before_an_answered_one() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[request(2)], &own(), at(0));
    for number in 1..=3 {
        for cause in [request(1), request(2)] {
            blame.record_crash(&[cause], &server(number), &own(), broke_at(number * 1000));
        }
    }
    assert!(is_quarantined(&blame, request(1)));
    assert_eq!(blame.verdict(&[request(2)]), CrashVerdict::Sound);
}

/// Streams of one caller may all be the same request, told apart by the parts of their prompts alone. One
/// part crashes engines between two answers; streams without it are sent, and repeated if they break.
#[test]
fn answered_request_is_not_blamed_beside_a_part() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[part(1), request(1)], &own(), at(0));
    crash_in_turn(&mut blame, &[part(1), part(9), request(1)], 1..3);
    assert_eq!(blame.verdict(&[part(9), request(1)]), CrashVerdict::Suspect(part(9)));
    assert_eq!(blame.verdict(&[part(1), request(1)]), CrashVerdict::Sound);
    crash_in_turn(&mut blame, &[part(1), part(9), request(1)], 3..4);
    assert!(is_quarantined(&blame, part(9)));
    assert_eq!(blame.verdict(&[part(1), request(1)]), CrashVerdict::Sound);
}

/// Two of a part's three crashes were cleared by an answer, two other engines ended for other reasons:
/// the request of all streams had as many crashes as the part, and was refused in place of it.
#[test]
fn crash_of_a_part_does_not_count_against_an_answered_request() {
    let mut blame = CrashBlame::default();
    crash_in_turn(&mut blame, &[part(9), request(1)], 0..2);
    blame.record_sound(&[request(1)], &own(), at(2 * REPEAT_MS));
    crash_in_turn(&mut blame, &[request(1)], 3..4);
    crash_in_turn(&mut blame, &[part(9), request(1)], 4..5);
    assert!(is_quarantined(&blame, part(9)));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
    crash_in_turn(&mut blame, &[request(1)], 5..6);
    assert!(is_quarantined(&blame, part(9)));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Suspect(request(1)));
}

/// The same while the part has only two crashes, so that it is suspect and not yet refused.
#[test]
fn crash_of_a_suspect_part_does_not_count_against_an_answered_request() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[request(1)], &own(), at(0));
    crash_in_turn(&mut blame, &[part(9)], 1..2);
    crash_in_turn(&mut blame, &[part(9), request(1)], 2..3);
    crash_in_turn(&mut blame, &[request(1)], 3..5);
    assert_eq!(blame.verdict(&[part(9)]), CrashVerdict::Suspect(part(9)));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Suspect(request(1)));
}

/// Requests that come once are at no second crash, and excuse no request that was answered.
#[test]
fn answered_request_that_crashes_servers_beside_others_is_refused() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[request(1)], &own(), at(0));
    for number in 1..=3 {
        for cause in [request(1), request(10 + number)] {
            let number = u64::from(number);
            blame.record_crash(&[cause], &server(number), &own(), broke_at(number * 1000));
        }
    }
    assert!(is_quarantined(&blame, request(1)));
}

/// Generated histories of a part that crashes engines, of engines that end for other reasons, twice at
/// most between two answers, and of streams that are all the same request but for their parts.
#[test]
fn answered_request_of_all_streams_outlasts_a_part_and_two_other_crashes() {
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let mut blame = CrashBlame::default();
        blame.record_sound(&[request(1)], &own(), at(0));
        let mut other_crashes = 0;
        let mut part_crashes = 0;
        for number in 1..=40 {
            let ms = number * REPEAT_MS;
            match rng.u32(0..3) {
                0 => {
                    blame.record_sound(&[request(1)], &own(), at(ms));
                    other_crashes = 0;
                }
                1 if other_crashes < 2 => {
                    other_crashes += 1;
                    blame.record_crash(&[request(1)], &server(number), &own(), broke_at(ms));
                }
                _ if blame.verdict(&[part(9), request(1)])
                    != CrashVerdict::Quarantined(part(9)) =>
                {
                    part_crashes += 1;
                    let causes = [part(9), request(1)];
                    blame.record_crash(&causes, &server(number), &own(), broke_at(ms));
                }
                _ => {}
            }
            assert!(!is_quarantined(&blame, request(1)), "seed {seed}, crash {number}");
            assert_eq!(is_quarantined(&blame, part(9)), part_crashes >= 3, "seed {seed}");
        }
    }
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

/// A request may be answered and crash servers later; crashes after the answer count.
#[test]
fn answer_settles_only_earlier_crashes() {
    let mut blame = CrashBlame::default();
    blame.record_sound(&[request(1)], &own(), at(0));
    for number in 1..=3 {
        blame.record_crash(&[request(1)], &server(number), &own(), broke_at(number * 1000));
    }
    assert!(is_quarantined(&blame, request(1)));
    assert!(blame.record_sound(&[request(1)], &own(), at(4000)));
    assert_eq!(blame.verdict(&[request(1)]), CrashVerdict::Sound);
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

/// A restarted entry VM learned of three crashes at which a request had been, and not that it had been
/// answered before: it refused the request, which the others served.
#[test]
fn restarted_entry_vm_learns_that_a_blamed_request_was_answered() {
    let mut first = CrashBlame::default();
    first.record_sound(&[request(1)], &own(), at(0));
    crash_in_turn(&mut first, &[part(9), request(1)], 1..3);
    crash_in_turn(&mut first, &[request(1)], 3..4);
    assert_eq!(first.verdict(&[request(1)]), CrashVerdict::Sound);
    let report = first.take_report(at(1000));
    let without_answers = CrashReport { sound: Vec::new(), ..report.clone() };
    for reports in [vec![&report], vec![&without_answers, &report]] {
        let mut restarted = CrashBlame::default();
        for report in reports {
            restarted.apply(report.clone(), &other(), at(1000));
            for process in restarted.take_checks(at(1000)) {
                restarted.record_state(&process, ProcessState::Ended, &other());
            }
        }
        assert_eq!(restarted.verdict(&[request(1)]), CrashVerdict::Sound);
        assert_eq!(restarted.verdict(&[part(9)]), CrashVerdict::Suspect(part(9)));
    }
}

/// Each VM tells of its own answers only: times that are told on would grow younger on the way, until
/// an answer seems to be later than the crashes after it.
#[test]
fn answers_at_another_entry_vm_are_not_told_on() {
    let mut first = CrashBlame::default();
    first.record_sound(&[request(1)], &own(), at(0));
    crash_in_turn(&mut first, &[request(1)], 1..3);
    let mut second = CrashBlame::default();
    second.apply(first.take_report(at(1000)), &other(), at(1000));
    assert_eq!(first.take_report(at(1000)).sound.len(), 1);
    assert_eq!(second.take_report(at(1100)).sound, []);
}

/// An answer that is told with the crashes after it clears none of them.
#[test]
fn answer_before_the_crashes_that_a_report_tells_of_clears_none() {
    let mut first = CrashBlame::default();
    first.record_sound(&[request(1)], &own(), at(0));
    crash_in_turn(&mut first, &[request(1)], 1..4);
    assert!(is_quarantined(&first, request(1)));
    let mut second = CrashBlame::default();
    second.apply(first.take_report(at(1000)), &other(), at(1000));
    for process in second.take_checks(at(1000)) {
        second.record_state(&process, ProcessState::Ended, &other());
    }
    assert!(is_quarantined(&second, request(1)));
}

/// A late message tells of crashes that an answer has settled since; an answer elsewhere clears a
/// request that is blamed here.
#[test]
fn late_report_does_not_blame_an_answered_request() {
    let (report, mut first) = report_of_three_crashes();
    let mut blame = CrashBlame::default();
    blame.apply(report.clone(), &other(), at(410));
    blame.record_sound(&[request(1)], &other(), at(500));
    for delay_ms in [0, 1000, 20_000] {
        blame.apply(report.clone(), &other(), at(600 + delay_ms));
        assert!(blame.take_checks(at(600 + delay_ms)).is_empty(), "nothing is blamed");
    }
    assert!(first.apply(blame.take_report(at(21_000)), &own(), at(21_000)));
    assert_eq!(first.verdict(&[request(1)]), CrashVerdict::Sound);
}

/// An answer elsewhere, before the crashes, says nothing of them.
#[test]
fn report_of_an_earlier_answer_clears_no_later_crash() {
    let mut answered = CrashBlame::default();
    answered.record_crash(&[request(1)], &server(9), &other(), broke_at(0));
    answered.record_sound(&[request(1)], &other(), at(50));
    let report = answered.take_report(at(60));
    let mut blame = CrashBlame::default();
    for number in 1..=3 {
        blame.record_crash(&[request(1)], &server(number), &own(), broke_at(number * 1000));
    }
    let sound = report.sound.into_iter().map(|(cause, age_us)| (cause, age_us + 4_000_000));
    let report = CrashReport { crashes: Vec::new(), sound: sound.collect() };
    assert_eq!(report.sound.len(), 1);
    blame.apply(report, &own(), at(4060));
    assert!(is_quarantined(&blame, request(1)));
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
