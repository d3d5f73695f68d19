//! Tests with servers that name the rate of requests that they take from all entry VMs together.

use std::time::Duration;
use std::time::Instant;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::send_until;
use crate::platform::wait_for_metric;

/// Entry VMs that send to the same servers.
const FRONT_COUNT: usize = 3;
/// Limit of a server, in requests a second.
const LIMIT_PER_S: f64 = 4.0;
/// Time over which the requests that a server gets are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond one and a half times the limit that a server bears in a window.
const EXCESS_MAX: f64 = 5.0;
/// Time after which each entry VM knows of a limit.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Returns the highest number of requests in any window that begins after a moment.
fn busiest_window(server: &Server, after: Instant) -> usize {
    let times: Vec<Instant> =
        server.arrivals().iter().map(|it| it.at).filter(|it| *it >= after).collect();
    let counts = times.iter().enumerate().map(|(first, begin)| {
        times[first..].iter().take_while(|it| it.duration_since(*begin) < WINDOW).count()
    });
    counts.max().unwrap_or_default()
}

fn spawn_fronts(store: &Store) -> Vec<Front> {
    let fronts: Vec<Front> =
        (0..FRONT_COUNT).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)).collect();
    fronts.iter().for_each(|it| wait_for_metric(it, &format!("front_entry_vms {FRONT_COUNT}")));
    fronts
}

fn assert_within_limit(server: &Server, after: Instant) {
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + EXCESS_MAX;
    let busiest = busiest_window(server, after);
    assert!(busiest as f64 <= allowed, "{busiest} requests in {WINDOW:?}, {allowed} allowed");
}

/// Guards against requests beyond the limit that a server of a plain service has named.
#[test]
fn plain_server_gets_no_more_than_the_limit_that_it_names() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let [limited, other] = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let fronts = spawn_fronts(&store);
    fronts.iter().for_each(|it| wait_for_metric(it, "front_backend_servers 2"));
    limited.set_named_limit(Some("4.0"));
    let began = Instant::now();
    let statuses = send_until(&fronts, "/lookup/x", began + NOTICE_TIME + WINDOW);
    assert!(!limited.arrivals().is_empty(), "the limited server is used");
    assert_within_limit(&limited, began + NOTICE_TIME);
    assert!(statuses.iter().all(|it| *it == 200), "the other server takes the rest");
    assert!(other.arrivals().len() > limited.arrivals().len());
}

/// Guards against streams beyond the limit that the head of a group has named.
#[test]
fn group_gets_no_more_than_the_limit_that_its_head_names() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let engines: Vec<Server> =
        (1..=4).map(|it| Server::spawn(&store, &format!("e{it}"), "models")).collect();
    let fronts = spawn_fronts(&store);
    fronts.iter().for_each(|it| {
        it.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    });
    wait_for_metric(&fronts[0], r#"front_groups{state="open"} 2"#);
    let limited = engines.iter().find(|it| it.is_open()).expect("a head");
    limited.set_named_limit(Some("4"));
    let began = Instant::now();
    let statuses = send_until(&fronts, "/stream/x", began + NOTICE_TIME + WINDOW);
    assert_within_limit(limited, began + NOTICE_TIME);
    let served = statuses.iter().filter(|it| **it == 200).count();
    assert!(served > statuses.len() / 2, "{served} of {} streams are served", statuses.len());
}
