//! Broken answers whose servers turn out to have crashed later.

use std::time::Duration;

use mangocross_serving::AttemptSpan;
use mangocross_serving::BrokenStart;
use mangocross_serving::CrashCause;
use mangocross_serving::Moment;
use mangocross_serving::ServerProcess;
use mangocross_serving::UnexplainedBreaks;

fn process(number: u64) -> ServerProcess {
    ServerProcess { vm: format!("s{number}").parse().expect("a valid id"), born_unix_ms: 7 }
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(1_000_000 + ms))
}

fn broken(ms: u64) -> BrokenStart {
    let causes = vec![CrashCause::Part("9".parse().expect("a valid id"))];
    let span = AttemptSpan { sent_at: at(ms), broke_at: at(ms) };
    BrokenStart { request: "r1".into(), events: 0, causes, span }
}

/// Returns the times of all checks of a process that is not found to have crashed.
fn checks(breaks: &UnexplainedBreaks, mut now: Moment) -> Vec<Moment> {
    let mut checks = Vec::new();
    while let Some(next) = breaks.next_check(&process(1), now) {
        assert!(next > now);
        checks.push(next);
        now = next;
    }
    checks
}

#[test]
fn process_is_watched_once_and_for_a_bounded_time() {
    let mut breaks = UnexplainedBreaks::default();
    assert!(breaks.record(&process(1), broken(0)));
    assert!(!breaks.record(&process(1), broken(10)), "it is watched already");
    let checks = checks(&breaks, at(10));
    assert!(checks.first().is_some_and(|it| *it <= at(100)), "{checks:?}");
    assert!(checks.last().is_some_and(|it| *it <= at(5000)), "{checks:?}");
    assert_eq!(breaks.next_check(&process(2), at(10)), None, "nothing broke there");
}

/// The checks of the first break must not use up those of a later one.
#[test]
fn later_break_is_checked_as_early_and_as_long() {
    let mut breaks = UnexplainedBreaks::default();
    breaks.record(&process(1), broken(0));
    breaks.record(&process(1), broken(900));
    let later: Vec<_> = checks(&breaks, at(900)).iter().map(|it| it.since(at(900))).collect();
    let mut alone = UnexplainedBreaks::default();
    alone.record(&process(1), broken(0));
    let first: Vec<_> = checks(&alone, at(0)).iter().map(|it| it.since(at(0))).collect();
    assert_eq!(later, first);
}

#[test]
fn crash_explains_recent_breaks_only() {
    let mut breaks = UnexplainedBreaks::default();
    breaks.record(&process(1), broken(0));
    breaks.record(&process(1), broken(60_000));
    assert_eq!(breaks.take(&process(1), at(60_100)), [broken(60_000)]);
    assert_eq!(breaks.take(&process(1), at(60_100)), []);
    assert!(breaks.record(&process(1), broken(61_000)), "it is watched anew");
}

#[test]
fn kept_breaks_are_bounded() {
    let mut breaks = UnexplainedBreaks::default();
    for number in 0..10_000 {
        breaks.record(&process(1), broken(number / 10));
    }
    assert!(breaks.take(&process(1), at(1000)).len() <= 100);
    let watched = (0..10_000).filter(|it| breaks.record(&process(*it), broken(0))).count();
    assert!(watched <= 1000, "{watched} processes are watched");
}
