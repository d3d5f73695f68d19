//! Tests with servers that take few requests for a while after their start.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::evacuation_key;
use crate::platform::send_until;
use crate::platform::wait_for_metric;
use crate::relays::start_fleet_of;

/// Entry VMs that send to the same servers.
const FRONT_COUNT: usize = 3;
/// Requests a second that a cold server takes.
const COLD_PER_S: f64 = 4.0;
/// Requests that may arrive at a cold server in any second: one and a half times as many, and five.
const ALLOWED: usize = 11;
/// Time for which a server is cold.
const COLD_TIME: Duration = Duration::from_secs(4);
/// Time after which each entry VM knows that a server is cold.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time after which entry VMs that start have quotas of the requests to cold servers.
const SETTLING_TIME: Duration = Duration::from_millis(3500);

/// Returns the highest number of requests in any second within a span.
fn busiest_second(server: &Server, begin: Instant, end: Instant) -> usize {
    let in_span = |it: &Instant| (begin..end).contains(it);
    let times: Vec<Instant> = server.arrivals().iter().map(|it| it.at).filter(in_span).collect();
    let counts = times.iter().enumerate().map(|(first, begin)| {
        let within = |it: &&Instant| it.duration_since(*begin) <= Duration::from_secs(1);
        times[first..].iter().take_while(within).count()
    });
    counts.max().unwrap_or_default()
}

/// Starts entry VMs and two plain servers, one of which becomes cold while requests are sent.
fn check(make_cold: impl FnOnce(&Store, &Server)) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| {
        it["services"][1]["cold_start_s"] = json!(COLD_TIME.as_secs());
        it["services"][1]["cold_per_s"] = json!(COLD_PER_S);
    });
    let [cold, other] = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    // The entry VMs prefer the cold one, which is in their zone.
    other.set_zone("zone-b");
    let fronts: Vec<Front> =
        (0..FRONT_COUNT).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)).collect();
    for it in &fronts {
        wait_for_metric(it, &format!("front_entry_vms {FRONT_COUNT}"));
        wait_for_metric(it, "front_backend_servers 2");
    }
    thread::sleep(SETTLING_TIME);
    make_cold(&store, &cold);
    let began = Instant::now();
    let statuses = send_until(&fronts, "/lookup/x", began + COLD_TIME + Duration::from_secs(2));
    assert!(statuses.iter().all(|it| *it == 200), "the other server takes the rest");
    let (known, end) = (began + NOTICE_TIME, began + COLD_TIME);
    let busiest = busiest_second(&cold, known, end);
    assert!(busiest <= ALLOWED, "{busiest} requests in a second at a cold server");
    assert!(busiest > 0, "the cold server is used");
    assert!(other.arrivals().len() > cold.arrivals().len());
    let afterwards = busiest_second(&cold, end, end + Duration::from_secs(2));
    assert!(afterwards > ALLOWED, "{afterwards} requests in a second when it is warm");
}

/// Guards against a burst at a server whose entry says that it is cold.
#[test]
fn cold_server_by_its_entry_gets_few_requests() {
    check(|_, it| it.set_cold_in_entry(COLD_TIME));
}

/// Guards against a burst at a server that says in its answers only that it is cold again.
#[test]
fn cold_server_by_its_answers_gets_few_requests() {
    check(|_, it| it.set_cold_in_answers(COLD_TIME));
}

/// Guards against a burst at a process that has just started and does not say that it is cold.
#[test]
fn new_process_gets_few_requests() {
    check(|_, it| it.start_now());
}

/// Guards against a burst at the servers of a zone that is taken back, which do not say that they are
/// cold.
#[test]
fn zone_that_is_taken_back_gets_few_requests() {
    check(|store, _| {
        let key = evacuation_key("zone-a");
        store.put(&key, &json!({}));
        thread::sleep(NOTICE_TIME);
        store.remove(&key);
    });
}

/// Guards against a burst at a server that appears, of a fleet whose entry VMs learn of it in several
/// ways: from the store, from relays and from the planner.
#[test]
fn cold_server_that_appears_gets_few_requests_of_a_fleet() {
    let (store, servers, fronts) = start_fleet_of(|it| Front::spawn_logged(it, 60_000, 1.0));
    // The entry VMs prefer the server that appears, which is in their zone.
    servers.iter().for_each(|it| it.set_zone("zone-b"));
    store.configure_with(4, &["k1"], |it| {
        it["services"][1]["cold_start_s"] = json!(COLD_TIME.as_secs());
        it["services"][1]["cold_per_s"] = json!(COLD_PER_S);
    });
    for it in &fronts {
        wait_for_metric(it, "front_configuration_version 4");
    }
    thread::sleep(SETTLING_TIME);
    let cold = thread::scope(|scope| {
        let sending = scope.spawn(|| send_until(&fronts, "/lookup/x", Instant::now() + COLD_TIME));
        thread::sleep(NOTICE_TIME);
        let began = Instant::now();
        let cold = Server::spawn_cold(&store, "r3", "records", COLD_TIME);
        let statuses = sending.join().expect("callers");
        assert!(statuses.iter().all(|it| *it == 200), "the other servers take the rest");
        (cold, began)
    });
    let (cold, began) = cold;
    let busiest = busiest_second(&cold, began, began + COLD_TIME);
    assert!(busiest <= ALLOWED, "{busiest} requests in a second at a cold server");
    assert!(busiest > 0, "the cold server is used");
}

/// Guards against a burst of streams at the head of a group that is cold.
#[test]
fn cold_head_gets_few_streams() {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| {
        it["services"][0]["cold_start_s"] = json!(COLD_TIME.as_secs());
        it["services"][0]["cold_per_s"] = json!(COLD_PER_S);
    });
    let engines: Vec<Server> =
        (1..=4).map(|it| Server::spawn(&store, &format!("e{it}"), "models")).collect();
    let fronts: Vec<Front> =
        (0..FRONT_COUNT).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)).collect();
    for it in &fronts {
        wait_for_metric(it, &format!("front_entry_vms {FRONT_COUNT}"));
        wait_for_metric(it, r#"front_groups{state="open"} 2"#);
    }
    thread::sleep(SETTLING_TIME);
    let heads: Vec<&Server> = engines.iter().filter(|it| it.is_open()).collect();
    heads[0].set_cold_in_entry(COLD_TIME);
    let began = Instant::now();
    let statuses = send_until(&fronts, "/stream/x", began + COLD_TIME);
    let busiest = busiest_second(heads[0], began + NOTICE_TIME, began + COLD_TIME);
    assert!(busiest <= ALLOWED, "{busiest} streams in a second at a cold head");
    assert!(busiest > 0, "the cold head is used");
    let served = statuses.iter().filter(|it| **it == 200).count();
    assert!(served > statuses.len() / 2, "{served} of {} streams are served", statuses.len());
    let warm = busiest_second(heads[1], began, began + COLD_TIME);
    assert!(warm > ALLOWED, "{warm} streams in a second at the other head");
}
