//! Tests with zones that operators evacuate and take back.

use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::evacuation_key;
use crate::platform::start_engines;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;
use crate::relays::follows_store;
use crate::relays::start_fleet_of;

/// Time after the acknowledgement from which no request reaches the zone (rule EVAC).
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);
/// Time for which requests are sent to find that none reaches the zone.
const OBSERVED: Duration = Duration::from_secs(2);
const EVACUATED: &str = r#"front_evacuated_zone{zone="zone-a"} 1"#;
const IN_USE: &str = r#"front_evacuated_zone{zone="zone-a"} 0"#;

/// Starts a store and a server of a plain service in each of two zones; entry VMs are in the first one
/// and prefer its server.
fn start_zones() -> (Store, [Server; 2]) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    servers[1].set_zone("zone-b");
    (store, servers)
}

/// Like `start_zones`, with an entry VM that knows them.
fn start() -> (Store, [Server; 2], Front) {
    let (store, servers) = start_zones();
    let front = Front::spawn_logged(store.address, 60_000, 1.0);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    wait_for_metric(&front, "front_backend_servers 2");
    (store, servers, front)
}

/// Sends requests for a while; returns the statuses.
fn send(front: &Front, time: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut statuses = Vec::new();
    while began.elapsed() < time {
        let attempt = format!("a-{}-{}", front.name(), statuses.len());
        let headers = CALLER_HEADERS.replace("a1", &attempt);
        statuses.push(front.call("POST", "/lookup/x", &headers, "{}").0);
    }
    statuses
}

/// Returns the key that evacuates the zone of the first server.
fn key() -> String {
    evacuation_key("zone-a")
}

/// Asserts that requests are served and none reaches the evacuated server.
fn assert_evacuated(front: &Front, evacuated: &Server) {
    let before = evacuated.arrivals().len();
    let statuses = send(front, OBSERVED);
    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    assert_eq!(evacuated.arrivals().len(), before, "requests reached the evacuated zone");
}

fn assert_in_use(front: &Front, server: &Server) {
    let before = server.arrivals().len();
    wait_until("the server is used", || {
        send(front, Duration::from_millis(50));
        server.arrivals().len() > before
    });
}

/// Guards against requests to a zone that is evacuated, and against a zone that stays empty after it
/// was taken back.
#[test]
fn evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let (store, [evacuated, _kept], front) = start();
    assert_in_use(&front, &evacuated);
    store.put(&key(), &json!({}));
    let acknowledged = Instant::now();
    send(&front, EVACUATED_WITHIN);
    let late = |it: Instant| it > acknowledged + EVACUATED_WITHIN;
    assert_evacuated(&front, &evacuated);
    assert!(evacuated.arrivals().iter().all(|it| !late(it.at)));
    assert!(has_metric(&front, EVACUATED));
    store.remove(&key());
    assert_in_use(&front, &evacuated);
    assert!(has_metric(&front, IN_USE));
}

/// Guards against an evacuation that ends with the connection to the store.
#[test]
fn evacuation_lasts_while_the_store_is_down() {
    let (store, [evacuated, _kept], front) = start();
    store.put(&key(), &json!({}));
    wait_for_metric(&front, EVACUATED);
    store.set_refusing(true);
    thread::sleep(Duration::from_secs(2));
    assert_evacuated(&front, &evacuated);
    store.set_refusing(false);
    thread::sleep(Duration::from_secs(1));
    assert_evacuated(&front, &evacuated);
    store.remove(&key());
    assert_in_use(&front, &evacuated);
}

/// Guards against an evacuation that is forgotten because the store came back from a copy without it.
#[test]
fn evacuation_outlasts_a_store_that_lost_it() {
    let (store, [evacuated, _kept], front) = start();
    thread::sleep(Duration::from_secs(3));
    store.put(&key(), &json!({}));
    wait_for_metric(&front, EVACUATED);
    let (age, rewritten_after) = (Duration::from_secs(2), Duration::from_secs(8));
    store.return_to_copy(age, Duration::from_millis(300), rewritten_after);
    let returned = Instant::now();
    wait_for_metric(&front, "front_store_eras_total 1");
    assert!(!store.contains_key(&key()), "the copy is older than the evacuation");
    while returned.elapsed() < rewritten_after + Duration::from_secs(1) {
        assert_evacuated(&front, &evacuated);
    }
    assert!(store.contains_key(&key()), "it was written again");
    store.remove(&key());
    assert_in_use(&front, &evacuated);
}

/// Guards against an entry VM that serves before it knows of evacuations.
#[test]
fn entry_vm_that_starts_sends_nothing_to_an_evacuated_zone() {
    let (store, [evacuated, _kept]) = start_zones();
    store.put(&key(), &json!({}));
    let mut front = Front::spawn_logged(store.address, 60_000, 1.0);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    assert_evacuated(&front, &evacuated);
    front.kill();
    front.restart(Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    assert_evacuated(&front, &evacuated);
    assert!(evacuated.arrivals().is_empty());
}

/// Guards against requests that are sent to a zone all the same, or wait, when no other one is left.
#[test]
fn requests_are_refused_when_all_zones_are_evacuated() {
    let (store, servers, front) = start();
    store.put(&key(), &json!({}));
    store.put(&evacuation_key("zone-x"), &json!({}));
    wait_for_metric(&front, EVACUATED);
    store.put(&evacuation_key("zone-b"), &json!({}));
    wait_for_metric(&front, r#"front_evacuated_zone{zone="zone-b"} 1"#);
    let before: Vec<usize> = servers.iter().map(|it| it.arrivals().len()).collect();
    let (status, _, body) = front.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not run"), "{body}");
    let after: Vec<usize> = servers.iter().map(|it| it.arrivals().len()).collect();
    assert_eq!(before, after, "a request reached an evacuated zone");
    let has_line = |text: &str| {
        let lines = front.log_lines();
        lines.iter().any(|it| it["message"].as_str().is_some_and(|it| it.starts_with(text)))
    };
    wait_until("the error is logged", || has_line("[2102]"));
    wait_until("the warning is logged", || has_line("evacuated zone has no servers"));
    store.remove(&evacuation_key("zone-b"));
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    assert_evacuated(&front, &servers[0]);
}

/// Guards against streams that begin in an evacuated zone, and against ones that are resumed there when
/// their server breaks them off.
#[test]
fn streams_are_neither_begun_nor_resumed_in_an_evacuated_zone() {
    let (store, engines, front) = start_engines();
    let heads: Vec<&Server> = engines.iter().filter(|it| it.is_open()).collect();
    heads[0].set_zone("zone-b");
    store.put(&evacuation_key("zone-b"), &json!({}));
    wait_for_metric(&front, r#"front_evacuated_zone{zone="zone-b"} 1"#);
    let before = heads[0].arrivals().len();
    let others = heads[1].arrivals().len();
    for _ in 0..3 {
        heads[1].break_streams(1);
        // A head gets nothing for a moment after a break.
        front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    }
    assert_eq!(heads[0].arrivals().len(), before, "a stream reached the evacuated zone");
    assert!(heads[1].arrivals().len() >= others + 3, "streams were begun and broken off");
    store.remove(&evacuation_key("zone-b"));
    wait_until("streams are resumed there again", || {
        heads[1].break_streams(1);
        front.call("POST", "/stream/x", CALLER_HEADERS, "{}");
        heads[0].arrivals().len() > before
    });
}

/// Makes all relays unable to pass an evacuation on as it is written, and asserts that no other entry VM
/// sends a request to the zone too late.
fn check_followers(disable: impl Fn(&mut Front)) {
    let spawn = |store| Front::spawn_changed(store, |it| it["bounds"]["evacuate_ms"] = json!(5000));
    let (store, servers, mut fronts) = start_fleet_of(spawn);
    servers[1].set_zone("zone-b");
    wait_until("the zone is known", || fronts.iter().all(|it| has_metric(it, IN_USE)));
    let (mut relays, rest): (Vec<Front>, Vec<Front>) = fronts.drain(..).partition(follows_store);
    relays.iter_mut().for_each(disable);
    store.put(&key(), &json!({}));
    let acknowledged = Instant::now();
    while acknowledged.elapsed() < EVACUATED_WITHIN + OBSERVED {
        for front in &rest {
            let headers = CALLER_HEADERS.replace("a1", &format!("a-{}", front.name()));
            front.call("POST", "/lookup/x", &headers, "{}");
        }
    }
    let arrivals = servers[0].arrivals();
    let after = arrivals.iter().filter_map(|it| it.at.checked_duration_since(acknowledged));
    let last = after.max().unwrap_or_default();
    assert!(last <= EVACUATED_WITHIN, "a request reached the evacuated zone after {last:?}");
    assert!(rest.iter().all(|it| has_metric(it, EVACUATED)));
    println!("the last request reached the zone after {last:?}");
}

/// Guards against followers that learn of an evacuation too late because their relays die as it is
/// written.
#[test]
fn evacuation_reaches_followers_whose_relays_die() {
    check_followers(Front::kill);
}

/// Guards against followers that wait for the answers of relays that hang.
#[test]
fn evacuation_reaches_followers_whose_relays_hang() {
    check_followers(|it| it.signal(rustix::process::Signal::STOP));
}
