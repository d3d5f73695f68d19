//! Tests with a store that comes back from an older copy of itself.

use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::EVENTS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_until;

const PLANNER_KEY: &str = "mangocross/planner";
/// Age of the copy; what is written in the test until the return is younger.
const COPY_AGE: Duration = Duration::from_millis(1500);
/// Time for which the store is silent before it comes back.
const SILENCE: Duration = Duration::from_millis(400);
/// Time after the return until operators and servers have written again.
const REWRITTEN_AFTER: Duration = Duration::from_millis(1000);
/// Number of changes that a copy lacks, so that its revisions are far lower.
const LOST_CHANGES: u64 = 200;
/// Time without changes after which all that was written before is in the copy.
const CALM: Duration = Duration::from_millis(1600);

/// Writes keys that the copy will lack.
fn write_lost_changes(store: &Store) {
    (0..LOST_CHANGES).for_each(|it| store.put("op/note", &json!(it)));
}

/// Comes back from a copy that lacks the last changes.
fn return_to_copy(store: &Store) {
    store.return_to_copy(COPY_AGE, SILENCE, REWRITTEN_AFTER);
}

fn headers(key: &str) -> String {
    CALLER_HEADERS.replace("k1", key)
}

/// Returns head, name and incarnation of each open group.
fn open_groups(engines: &[Server]) -> Vec<(usize, serde_json::Value, serde_json::Value)> {
    let open = |(number, it): (usize, &Server)| {
        let (name, incarnation) = it.open_group()?;
        Some((number, name, incarnation))
    };
    engines.iter().enumerate().filter_map(open).collect()
}

fn assert_groups_stand(
    engines: &[Server],
    before: &[(usize, serde_json::Value, serde_json::Value)],
) {
    for _ in 0..40 {
        assert_eq!(open_groups(engines), before);
        thread::sleep(Duration::from_millis(100));
    }
    let violations: Vec<String> = engines.iter().flat_map(Server::violations).collect();
    assert!(violations.is_empty(), "{violations:?}");
}

/// Entries and configurations of the new era were dropped, since their revisions were not above
/// those known from the old one.
#[test]
fn changes_after_a_return_with_lower_revisions_are_applied() {
    let (store, [leaving, _other], front) = start_plain();
    thread::sleep(CALM);
    write_lost_changes(&store);
    leaving.publish_again();
    thread::sleep(Duration::from_millis(500));
    return_to_copy(&store);
    assert_eq!(store.era(), 2);
    thread::sleep(REWRITTEN_AFTER);
    let entry = store.read("servers/r1").expect("an entry");
    let mut entry = entry.as_object().expect("an object").clone();
    entry.insert("state".to_owned(), json!("draining"));
    store.put("servers/r1", &json!(entry));
    store.configure(4, &["k2"]);
    front.wait_for_status(200, "/lookup/x", &headers("k2"));
    thread::sleep(Duration::from_millis(500));
    let before = leaving.arrived().len();
    for _ in 0..12 {
        assert_eq!(front.call("POST", "/lookup/x", &headers("k2"), "{}").0, 200);
    }
    assert_eq!(leaving.arrived().len(), before, "a draining server gets requests");
}

/// The new era reaches the revision that a watch asks from before the entry VM asks again: no 410
/// tells it, and what the copy changed was never read.
#[test]
fn return_is_noticed_without_a_refused_watch() {
    let (store, _servers, front) = start_plain();
    thread::sleep(CALM);
    store.put("servers/r3", &store.read("servers/r2").expect("an entry"));
    wait_until("the third server is known", || has_metric(&front, "front_backend_servers 3"));
    store.return_to_copy(COPY_AGE, SILENCE, Duration::from_secs(3600));
    write_lost_changes(&store);
    wait_until("the third server is gone", || has_metric(&front, "front_backend_servers 2"));
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
}

/// Servers that the copy lacks were taken for removed until they had registered again.
#[test]
fn servers_that_a_copy_lacks_serve_on() {
    let (store, _servers, front) = start_plain();
    let _late = Server::spawn(&store, "r3", "records");
    wait_until("the third server is known", || has_metric(&front, "front_backend_servers 3"));
    // A copy from before the first server.
    let (silence, rewritten_after) = (SILENCE, Duration::from_millis(1200));
    let age = Duration::from_millis(700);
    thread::sleep(Duration::from_millis(100));
    let returned = {
        let store = store.clone();
        thread::spawn(move || store.return_to_copy(age, silence, rewritten_after))
    };
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        for path in ["/lookup/x", "/booking/x"] {
            let (status, _, body) = front.call("POST", path, CALLER_HEADERS, "{}");
            assert_eq!(status, 200, "{path}: {body}");
        }
        let line = "front_backend_servers 3";
        assert!(has_metric(&front, line), "{:?}", front.metrics());
        thread::sleep(Duration::from_millis(20));
    }
    returned.join().expect("the store is back");
}

/// The copy lists a server as ready that is known to be draining, and one that has left.
#[test]
fn servers_that_left_before_a_return_get_nothing() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2", "r3"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    wait_until("all are known", || has_metric(&front, "front_backend_servers 3"));
    thread::sleep(CALM);
    let entry = store.read("servers/r1").expect("an entry");
    let mut entry = entry.as_object().expect("an object").clone();
    entry.insert("state".to_owned(), json!("draining"));
    store.put("servers/r1", &json!(entry));
    store.remove("servers/r2");
    wait_until("one is gone", || has_metric(&front, "front_backend_servers 2"));
    thread::sleep(Duration::from_millis(300));
    let arrived = || [servers[0].arrived().len(), servers[1].arrived().len()];
    let before = arrived();
    return_to_copy(&store);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        assert_eq!(front.call("POST", "/lookup/x", CALLER_HEADERS, "{}").0, 200);
        assert_eq!(arrived(), before, "after {:?}", began.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}

/// A configuration that another entry VM has seen is lost: one that reads the copy took it for the
/// newest, and accepted a key that had been taken away.
#[test]
fn revoked_key_is_refused_while_the_store_shows_an_older_configuration() {
    let revoke = Duration::from_millis(4000);
    let store = Store::spawn();
    store.configure(3, &["k1", "k2"]);
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let entrance = store.open_entrance();
    let informed = Front::spawn(&store, 4000, Stdio::null());
    let behind = Front::spawn_at(entrance.address, 4000, Stdio::null());
    for front in [&informed, &behind] {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
        wait_until("both are listed", || has_metric(front, "front_entry_vms 2"));
    }
    thread::sleep(CALM);
    entrance.set_refusing_reads(true);
    // The watch that has begun is not refused.
    thread::sleep(Duration::from_millis(1700));
    store.configure(4, &["k2"]);
    let revoked_at = Instant::now();
    informed.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    // The operator takes longer than usual to write again.
    let rewritten_after = Duration::from_secs(9);
    store.return_to_copy(COPY_AGE, SILENCE, rewritten_after);
    entrance.set_refusing_reads(false);
    while revoked_at.elapsed() < Duration::from_secs(9) {
        let since = revoked_at.elapsed();
        let (status, _, body) = behind.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
        assert!(status != 200 || since < revoke, "accepted after {since:?}: {body}");
        let (status, _, body) = informed.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
        assert!(status != 200, "accepted after {since:?} where it was refused: {body}");
        thread::sleep(Duration::from_millis(50));
    }
    for front in [&informed, &behind] {
        front.wait_for_status(200, "/lookup/x", &headers("k2"));
        front.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    }
}

/// Guards against a process that starts after the return, takes the copy for the newest state and
/// accepts a key that was taken away long before.
#[test]
fn revoked_key_is_refused_by_a_process_that_starts_after_a_return() {
    let revoke = Duration::from_millis(4000);
    let store = Store::spawn();
    store.configure(3, &["k1", "k2"]);
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let informed = Front::spawn(&store, 4000, Stdio::null());
    let mut starting = Front::spawn(&store, 4000, Stdio::null());
    for front in [&informed, &starting] {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
        wait_until("both are listed", || has_metric(front, "front_entry_vms 2"));
    }
    thread::sleep(CALM);
    store.configure(4, &["k2"]);
    let revoked_at = Instant::now();
    informed.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    thread::sleep(revoke + Duration::from_millis(100));
    starting.kill();
    let copy_age = revoked_at.elapsed() + Duration::from_millis(500);
    store.return_to_copy(copy_age, SILENCE, Duration::from_millis(1800));
    starting.restart(Stdio::null());
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        let (status, _, body) = starting.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
        assert!(status != 200, "accepted after {:?}: {body}", revoked_at.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    for front in [&informed, &starting] {
        front.wait_for_status(200, "/lookup/x", &headers("k2"));
        front.wait_for_status(401, "/lookup/x", CALLER_HEADERS);
    }
}

/// The planner's lease is gone, or belongs to another VM that got the same number: it went on
/// renewing it, and nobody planned.
#[test]
fn one_vm_plans_and_all_are_listed_after_a_return() {
    let (store, engines, front) = start_engines();
    let second = Front::spawn(&store, 60_000, Stdio::null());
    for it in [&front, &second] {
        wait_until("both are listed", || has_metric(it, "front_entry_vms 2"));
    }
    thread::sleep(CALM);
    let before = open_groups(&engines);
    write_lost_changes(&store);
    thread::sleep(Duration::from_millis(300));
    return_to_copy(&store);
    assert!(!store.contains_key(PLANNER_KEY), "the copy has no leases");
    wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
    for it in [&front, &second] {
        wait_until("both are listed again", || has_metric(it, "front_entry_vms 2"));
    }
    assert_groups_stand(&engines, &before);
    // The planner works: a member that restarts is replaced.
    let member = (0..engines.len()).find(|it| before.iter().all(|(head, ..)| head != it));
    engines[member.expect("a member")].restart();
    wait_until("its group is formed again", || {
        let after = open_groups(&engines);
        after.len() == before.len() && after != before
    });
}

/// Callers are served while the store is away, comes back without the leases and is read anew.
#[test]
fn streams_are_served_through_a_return() {
    let (store, engines, front) = start_engines();
    thread::sleep(CALM);
    let before = open_groups(&engines);
    write_lost_changes(&store);
    thread::sleep(Duration::from_millis(300));
    let returned = {
        let store = store.clone();
        thread::spawn(move || return_to_copy(&store))
    };
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(5) {
        let headers = CALLER_HEADERS.replace("a1", &format!("s{number}"));
        let (status, _, body) = front.call("POST", "/stream/x", &headers, "{}");
        assert_eq!(status, 200, "after {:?}: {body}", began.elapsed());
        assert_eq!(body.matches("data: token").count() as u64, EVENTS, "{body}");
        number += 1;
        thread::sleep(Duration::from_millis(20));
    }
    returned.join().expect("the store is back");
    wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
    assert_groups_stand(&engines, &before);
}

/// The copy is older than the groups: they were told to leave, since the plan did not have them.
#[test]
fn groups_that_a_copy_does_not_know_serve_on() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let engines: Vec<Server> =
        ["e1", "e2", "e3", "e4"].iter().map(|it| Server::spawn(&store, it, "models")).collect();
    thread::sleep(CALM);
    let began = Instant::now();
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    wait_until("all groups are open", || has_metric(&front, r#"front_groups{state="open"} 2"#));
    let before = open_groups(&engines);
    // From before the first plan.
    let age = began.elapsed() + Duration::from_millis(500);
    store.return_to_copy(age, Duration::ZERO, REWRITTEN_AFTER);
    thread::sleep(REWRITTEN_AFTER + Duration::from_millis(500));
    wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
    assert_groups_stand(&engines, &before);
    let member = (0..engines.len()).find(|it| before.iter().all(|(head, ..)| head != it));
    engines[member.expect("a member")].restart();
    wait_until("its group is formed again", || {
        let after = open_groups(&engines);
        after.len() == before.len() && after != before
    });
    let violations: Vec<String> = engines.iter().flat_map(Server::violations).collect();
    assert!(violations.is_empty(), "{violations:?}");
}

/// The second return came while all keys were read for the first one.
#[test]
fn two_returns_within_a_second_end_with_one_planner_and_the_same_groups() {
    let (store, engines, front) = start_engines();
    let second = Front::spawn(&store, 60_000, Stdio::null());
    wait_until("both are listed", || has_metric(&front, "front_entry_vms 2"));
    thread::sleep(CALM);
    let before = open_groups(&engines);
    write_lost_changes(&store);
    thread::sleep(Duration::from_millis(300));
    return_to_copy(&store);
    thread::sleep(Duration::from_millis(200));
    store.return_to_copy(Duration::from_millis(100), Duration::from_millis(100), REWRITTEN_AFTER);
    assert_eq!(store.era(), 3);
    wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
    for it in [&front, &second] {
        wait_until("both are listed again", || has_metric(it, "front_entry_vms 2"));
    }
    assert_groups_stand(&engines, &before);
    store.configure(5, &["k2"]);
    for it in [&front, &second] {
        it.wait_for_status(200, "/stream/x", &headers("k2"));
    }
}
