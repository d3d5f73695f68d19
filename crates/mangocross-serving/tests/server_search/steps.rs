//! Known histories, step by step.

use std::time::Duration;

use mangocross_serving::AttemptFailure;
use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchLimits;
use mangocross_serving::SearchPolicy;
use mangocross_serving::SearchStep;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerSearch;
use mangocross_types::VmId;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(10_000 + ms))
}

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid id")
}

fn window() -> SearchWindow {
    SearchWindow { deadline: at(8000), send_until: at(8000), may_move: true }
}

fn search(policy: SearchPolicy, attempts_max: u32) -> ServerSearch {
    ServerSearch::new(SearchLimits {
        policy,
        attempts_max,
        refusals_max: 4,
        connect_failures_max: 3,
        refusal_pause: Duration::from_millis(250),
        admission_until: at(50),
        admission_delay: Duration::from_millis(12),
        ask_again_delay: Duration::from_millis(50),
    })
}

/// Guards against a third server that is not asked while two hang.
#[test]
fn another_server_is_asked_beside_all_silent_ones() {
    for policy in [SearchPolicy::StreamStart, SearchPolicy::Repeatable] {
        let mut search = search(policy, 3);
        for (name, ms) in [("a", 0), ("b", 1000), ("c", 2000)] {
            assert_eq!(search.next(at(ms), &window()), SearchStep::Send);
            let id = search.sent(vm(name), at(ms));
            assert_eq!(search.next(at(ms), &window()), SearchStep::Wait(at(8000)));
            search.silent(id);
        }
        assert_eq!(search.next(at(3000), &window()), SearchStep::Wait(at(8000)));
        let end = SearchEnd::TimeOver { may_have_run: true };
        assert_eq!(search.next(at(8000), &window()), SearchStep::End(end));
    }
}

/// Guards against a search that ends with the silent attempt, since the other server was full.
#[test]
fn server_that_was_full_is_asked_again_after_the_silent_attempt_failed() {
    let mut search = search(SearchPolicy::Repeatable, 2);
    let first = search.sent(vm("a"), at(0));
    search.silent(first);
    let second = search.sent(vm("b"), at(1000));
    search.refused(second, at(1010));
    assert_eq!(search.excluded(at(1010)), [vm("a"), vm("b")]);
    assert_eq!(search.next(at(1010), &window()), SearchStep::Send);
    search.cannot_send(Obstacle::NoUsableServer, at(1010));
    assert_eq!(search.next(at(1010), &window()), SearchStep::Wait(at(1060)));
    search.failed(first, AttemptFailure::Broke);
    assert_eq!(search.next(at(1020), &window()), SearchStep::Send);
    assert_eq!(search.excluded(at(1270)), [vm("a")]);
}

/// Guards against a refusal that is put off: what no server has run and none can be asked for now.
#[test]
fn request_that_was_not_sent_is_refused_at_once() {
    for obstacle in [Obstacle::NoServer, Obstacle::NoUsableServer, Obstacle::NoRetryLeft] {
        let mut search = search(SearchPolicy::Repeatable, 2);
        search.cannot_send(obstacle, at(0));
        let end = SearchStep::End(SearchEnd::NotRun(obstacle));
        assert_eq!(search.next(at(0), &window()), end);
    }
    let mut search = search(SearchPolicy::StreamStart, 2);
    search.cannot_send(Obstacle::NoRoom, at(0));
    assert_eq!(search.next(at(0), &window()), SearchStep::Wait(at(12)));
    let mut refused = search.clone();
    refused.cannot_send(Obstacle::NotAdmitted, at(0));
    let end = SearchStep::End(SearchEnd::NotRun(Obstacle::NotAdmitted));
    assert_eq!(refused.next(at(0), &window()), end);
    search.cannot_send(Obstacle::NoRoom, at(51));
    let end = SearchStep::End(SearchEnd::NotRun(Obstacle::NoRoom));
    assert_eq!(search.next(at(51), &window()), end);
}

/// Guards against a server's error that is kept back while the retry budget is used up.
#[test]
fn error_of_a_server_is_passed_on_if_no_retry_is_left() {
    let mut search = search(SearchPolicy::Repeatable, 2);
    let id = search.sent(vm("a"), at(0));
    search.failed(id, AttemptFailure::Answered);
    assert_eq!(search.next(at(10), &window()), SearchStep::Send);
    search.cannot_send(Obstacle::NoRetryLeft, at(10));
    let end = SearchStep::End(SearchEnd::Failed(Obstacle::NoRetryLeft));
    assert_eq!(search.next(at(10), &window()), end);
}

/// Guards against a silent attempt that is given up for the head of another one's answer.
#[test]
fn head_is_passed_on_only_if_no_other_attempt_can_come_first() {
    let mut search = search(SearchPolicy::StreamStart, 2);
    let first = search.sent(vm("a"), at(0));
    assert!(!search.takes_head());
    search.silent(first);
    search.sent(vm("b"), at(1000));
    assert!(!search.takes_head());
    search.failed(first, AttemptFailure::Broke);
    assert!(search.takes_head());
}

/// Guards against a request that spends the retries of others at servers that stay full.
#[test]
fn pause_after_a_refusal_grows_with_the_refusals() {
    let mut search = search(SearchPolicy::Repeatable, 2);
    let first = search.sent(vm("a"), at(0));
    search.silent(first);
    let mut now = 0;
    for pause_ms in [250, 500, 1000, 2000, 2000] {
        let id = search.sent(vm("b"), at(now));
        search.refused(id, at(now));
        assert_eq!(search.excluded(at(now + pause_ms - 1)), [vm("a"), vm("b")]);
        assert_eq!(search.excluded(at(now + pause_ms)), [vm("a")]);
        now += pause_ms;
    }
}
