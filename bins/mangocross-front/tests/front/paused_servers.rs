//! Tests with engines that want nothing for a few seconds, neither requests nor questions nor
//! orders.

use std::thread;
use std::time::Duration;

use crate::platform::CALLER_HEADERS;
use crate::platform::Server;
use crate::platform::start_engines_of;
use crate::platform::wait_until;

/// Number of engines; one is a spare, which would take a lost member's place.
const ENGINES: usize = 7;
/// Time for which an engine wants nothing, as `Retry-After`.
const PAUSE: Duration = Duration::from_secs(3);
/// Time in which the planner asks each engine at least once.
const PROBED_IN: Duration = Duration::from_secs(3);

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt)
}

/// Returns the engines that serve in groups, with the incarnations of these.
fn groups(engines: &[Server]) -> Vec<(Server, u64)> {
    let heads: Vec<_> = engines.iter().filter_map(Server::open_group).collect();
    let serves = |it: &&Server| heads.iter().any(|head| it.group().as_deref() == head.0.as_str());
    let serving = engines.iter().filter(serves);
    serving.filter_map(|it| Some((it.clone(), it.incarnation()?))).collect()
}

/// Asserts that no engine has moved to another incarnation of its group.
fn assert_kept(groups: &[(Server, u64)]) {
    for (engine, incarnation) in groups {
        assert_eq!(engine.incarnation(), Some(*incarnation), "{engine:?}");
    }
}

fn start_pause(engine: &Server) {
    engine.set_retry_after(Some(&PAUSE.as_secs().to_string()));
    engine.set_turning_planner_away(true);
}

fn end_pause(engine: &Server) {
    engine.set_retry_after(None);
    engine.set_turning_planner_away(false);
}

/// Guards against groups that are taken for lost because a member answers no question for a few
/// seconds but says that it wants nothing.
#[test]
fn engine_that_wants_nothing_for_a_few_seconds_keeps_its_group() {
    let (_store, engines, front) = start_engines_of(ENGINES);
    let before = groups(&engines);
    let head = engines.iter().find(|it| !it.arrived().is_empty()).expect("a head");
    start_pause(head);
    let asked = head.reports();
    assert_eq!(front.call("POST", "/stream/x", &headers("elsewhere"), "{}").0, 200);
    wait_until("the planner asks it", || head.reports() > asked);
    thread::sleep(PAUSE);
    end_pause(head);
    assert_kept(&before);
    engines.iter().filter(|it| it.group() != head.group()).for_each(|it| it.set_refusing(true));
    front.wait_for_status(200, "/stream/x", &headers("again"));
    assert!(head.ran().contains(&"again".to_owned()));
    assert_kept(&before);
}

/// Guards against usual questions to an engine that wants nothing for now.
#[test]
fn planner_asks_an_engine_that_wants_nothing_later() {
    let (_store, engines, front) = start_engines_of(ENGINES);
    let head = engines.iter().find(|it| !it.arrived().is_empty()).expect("a head");
    head.set_retry_after(Some("1000"));
    assert_eq!(front.call("POST", "/stream/x", &headers("elsewhere"), "{}").0, 200);
    // Questions that were under way or due because of the refusal.
    thread::sleep(Duration::from_millis(500));
    let asked: Vec<usize> = engines.iter().map(Server::reports).collect();
    thread::sleep(PROBED_IN);
    for (engine, asked) in engines.iter().zip(asked) {
        let is_paused = std::ptr::eq(engine, head);
        assert_eq!(engine.reports() == asked, is_paused, "{engine:?}");
    }
}
