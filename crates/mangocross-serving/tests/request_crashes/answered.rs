//! Requests that were answered before the crashes at which they were.

use fastrand::Rng;
use mangocross_serving::CrashBlame;
use mangocross_serving::CrashReport;
use mangocross_serving::CrashVerdict;
use mangocross_serving::ProcessState;

use crate::REPEAT_MS;
use crate::at;
use crate::broke_at;
use crate::crash_in_turn;
use crate::is_quarantined;
use crate::other;
use crate::own;
use crate::part;
use crate::report_of_three_crashes;
use crate::request;
use crate::server;

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
