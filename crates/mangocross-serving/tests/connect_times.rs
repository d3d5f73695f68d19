//! The time limit for connections follows the times that earlier ones took.

use std::time::Duration;

use mangocross_serving::ConnectTimes;

fn after(times_ms: impl IntoIterator<Item = u64>) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    times_ms.into_iter().for_each(|it| times.record(Duration::from_millis(it)));
    times
}

#[test]
fn limit_is_the_longest_without_an_estimate() {
    assert_eq!(ConnectTimes::default().limit(0), Duration::from_millis(300));
    assert_eq!(after([3; 4]).limit(0), Duration::from_millis(300));
}

/// The pattern of heads that go dark under streams with a target of 300 ms: with servers a few
/// milliseconds away a second head can still begin in time.
#[test]
fn dark_server_costs_a_fraction_of_the_target_latency() {
    let times = after([2, 4, 3, 2, 6, 3, 2, 4, 3, 5]);
    assert!(times.limit(0) <= Duration::from_millis(100), "{:?}", times.limit(0));
    assert_eq!(times.limit(1), Duration::from_millis(300), "the network may be slow");
}

/// Servers in other regions take longer, and their connections are not cut off.
#[test]
fn distant_servers_raise_the_limit() {
    let times = after([2, 140, 3, 150, 2, 145, 3, 150, 140, 2, 145, 3]);
    assert!(times.limit(0) >= Duration::from_millis(200), "{:?}", times.limit(0));
}
