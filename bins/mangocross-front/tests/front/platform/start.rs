//! Starts small deployments: a store, backend servers and an entry VM that knows them all.

use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::CALLER_HEADERS;
use super::Front;
use super::Server;
use super::Store;
use super::WAIT_MAX;

/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a store, two servers of a plain service and an entry VM.
pub(crate) fn start_plain() -> (Store, [Server; 2], Front) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn_logged(store.address, 60_000, 1.0);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    wait_for_metric(&front, "front_backend_servers 2");
    (store, servers, front)
}

/// Starts a store, four engines, which form two groups, and an entry VM.
pub(crate) fn start_engines() -> (Store, Vec<Server>, Front) {
    start_engines_of(4)
}

/// Starts a store, engines, which form groups of two, and an entry VM.
pub(crate) fn start_engines_of(count: usize) -> (Store, Vec<Server>, Front) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let engines: Vec<Server> =
        (1..=count).map(|number| Server::spawn(&store, &format!("e{number}"), "models")).collect();
    let front = Front::spawn_logged(store.address, 60_000, 1.0);
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_for_metric(&front, &format!(r#"front_groups{{state="open"}} {}"#, count / 2));
    (store, engines, front)
}

/// Starts a store, two engines for each of several groups, and an entry VM that sends a stream to at
/// most `attempts_max` servers.
pub(crate) fn start_groups(groups: usize, attempts_max: u32) -> (Store, Vec<Server>, Front) {
    start_groups_with_log(groups, attempts_max, Stdio::null())
}

/// Like `start_groups`, with the log of the entry VM written to `log`.
pub(crate) fn start_groups_with_log(
    groups: usize,
    attempts_max: u32,
    log: Stdio,
) -> (Store, Vec<Server>, Front) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| it["routes"][0]["max_attempts"] = attempts_max.into());
    let engines: Vec<Server> =
        (1..=2 * groups).map(|it| Server::spawn(&store, &format!("e{it}"), "models")).collect();
    let front = Front::spawn(&store, 60_000, log);
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_for_metric(&front, &format!(r#"front_groups{{state="open"}} {groups}"#));
    (store, engines, front)
}

/// Waits until the metrics have a line.
pub(crate) fn wait_for_metric(front: &Front, line: &str) {
    wait_until(line, || front.metrics().lines().any(|it| it == line));
}

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_reached() {
        assert!(began.elapsed() < WAIT_MAX, "not reached: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}
