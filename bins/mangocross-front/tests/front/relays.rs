//! Tests of a fleet in which a few entry VMs follow the store for the others.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::start_plain;

/// Number of entry VMs; beyond 16 some of them relay, also when four have died.
const ENTRY_VM_COUNT: usize = 22;
/// Number of entry VMs that follow the store: three relays, and the planner if it is not one of
/// them.
const STORE_FOLLOWERS: std::ops::RangeInclusive<usize> = 3..=4;
/// Time after changes in which relays ask nothing; it is over after `LOSS_DELAY`.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// Time after which each relay and the planner has lost a store that refuses calls since `QUIET_TIME`.
const LOSS_DELAY: Duration = Duration::from_millis(700);
/// Time in which the store reads a page; the wait of a follower's question is over before all keys
/// have been read.
const PAGE_DELAY: Duration = Duration::from_millis(400);
/// Maximum wait for an expected state.
const WAIT_MAX: Duration = Duration::from_secs(60);

fn wait_until(what: &str, fronts: &[Front], is_reached: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_reached() {
        assert!(began.elapsed() < WAIT_MAX, "{what}: {:?}", describe(fronts));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns the lines of the metrics that tell what each entry VM follows and knows.
fn describe(fronts: &[Front]) -> Vec<Vec<String>> {
    let is_shown = |line: &&str| {
        ["front_follows_store ", "front_entry_vms ", "front_backend_servers "]
            .iter()
            .any(|it| line.starts_with(it))
    };
    let lines = |front: &Front| {
        let metrics = front.metrics();
        let shown = metrics.lines().filter(is_shown).map(str::to_owned);
        shown.chain([front.process_state()]).collect()
    };
    fronts.iter().map(lines).collect()
}

pub(crate) fn follows_store(front: &Front) -> bool {
    has_metric(front, "front_follows_store 1")
}

/// Starts a store, two servers of a plain service and a fleet whose relays have been chosen.
fn start_fleet() -> (Store, Vec<Server>, Vec<Front>) {
    start_fleet_of(|it| Front::spawn_logged(it, 60_000, 1.0))
}

/// Like `start_fleet`, with entry VMs that `spawn` starts with the address of the store.
pub(crate) fn start_fleet_of(
    spawn: impl Fn(SocketAddr) -> Front,
) -> (Store, Vec<Server>, Vec<Front>) {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records")).into();
    let fronts: Vec<Front> = (0..ENTRY_VM_COUNT).map(|_| spawn(store.address)).collect();
    let listed = format!("front_entry_vms {ENTRY_VM_COUNT}");
    wait_until("all are listed", &fronts, || fronts.iter().all(|it| has_metric(it, &listed)));
    wait_until("relays are chosen", &fronts, || {
        STORE_FOLLOWERS.contains(&fronts.iter().filter(|it| follows_store(it)).count())
    });
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    }
    (store, servers, fronts)
}

fn assert_key_is_in_force(fronts: &[Front], key: &str, old: &str) {
    let headers = CALLER_HEADERS.replace("k1", key);
    let old = CALLER_HEADERS.replace("k1", old);
    for front in fronts {
        front.wait_for_status(200, "/lookup/x", &headers);
        assert_eq!(front.call("GET", "/lookup/x", &old, "").0, 401);
    }
}

/// The load of watches on the store: followers learn of configurations and servers from relays.
#[test]
fn changes_reach_all_entry_vms_through_relays() {
    let (store, _servers, fronts) = start_fleet();
    let watches = store.calls("watch");
    for version in 4..10 {
        store.configure(version, &[&format!("k{version}")]);
        let (key, old) = (format!("k{version}"), format!("k{}", version - 1));
        assert_key_is_in_force(&fronts, &key, if version == 4 { "k1" } else { &old });
    }
    let _late = Server::spawn(&store, "r3", "records");
    wait_until("the new server is known", &fronts, || {
        fronts.iter().all(|it| has_metric(it, "front_backend_servers 3"))
    });
    store.remove("servers/r3");
    wait_until("its removal is known", &fronts, || {
        fronts.iter().all(|it| has_metric(it, "front_backend_servers 2"))
    });
    let watches = store.calls("watch") - watches;
    let ranges = store.calls("range");
    assert!(STORE_FOLLOWERS.contains(&fronts.iter().filter(|it| follows_store(it)).count()));
    assert!(ranges < 4 * ENTRY_VM_COUNT, "{ranges} ranges, {watches} watches");
}

/// All relays die at once: the others find new ones or follow the store until there are some.
#[test]
fn fleet_without_its_relays_learns_of_changes() {
    let (store, _servers, mut fronts) = start_fleet();
    let (mut relays, rest): (Vec<Front>, Vec<Front>) = fronts.drain(..).partition(follows_store);
    relays.iter_mut().for_each(Front::kill);
    store.configure(4, &["k4"]);
    assert_key_is_in_force(&rest, "k4", "k1");
    // The addresses of the dead relays expire, and others take their place.
    let followers = || rest.iter().filter(|it| follows_store(it)).count();
    wait_until("there are relays again", &rest, || STORE_FOLLOWERS.contains(&followers()));
    store.configure(5, &["k5"]);
    assert_key_is_in_force(&rest, "k5", "k4");
}

/// Relays went on from the old era's revisions, and followers dropped what was written again with
/// lower ones.
#[test]
fn fleet_follows_the_store_into_its_next_era() {
    let (store, _servers, fronts) = start_fleet();
    thread::sleep(Duration::from_millis(1600));
    for number in 0..300 {
        store.put("op/note", &serde_json::json!(number));
    }
    store.configure(4, &["k4"]);
    assert_key_is_in_force(&fronts, "k4", "k1");
    let age = Duration::from_millis(3000);
    store.return_to_copy(age, Duration::from_millis(300), Duration::from_millis(1000));
    thread::sleep(Duration::from_millis(1500));
    store.configure(5, &["k5"]);
    assert_key_is_in_force(&fronts, "k5", "k4");
    store.remove("servers/r2");
    wait_until("the removal is known", &fronts, || {
        fronts.iter().all(|it| has_metric(it, "front_backend_servers 1"))
    });
    let listed = format!("front_entry_vms {ENTRY_VM_COUNT}");
    wait_until("all are listed again", &fronts, || fronts.iter().all(|it| has_metric(it, &listed)));
    wait_until("relays follow the store", &fronts, || {
        STORE_FOLLOWERS.contains(&fronts.iter().filter(|it| follows_store(it)).count())
    });
}

/// The store is away and comes back: keys are refused for lack of a fresh configuration, and
/// served again afterwards.
#[test]
fn fleet_serves_again_after_the_store_was_away() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let _servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let spawn = |_| Front::spawn_logged(store.address, 5_000, 1.0);
    let fronts: Vec<Front> = (0..ENTRY_VM_COUNT).map(spawn).collect();
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    }
    store.set_refusing(true);
    for front in &fronts {
        let body = front.wait_for_status(503, "/lookup/x", CALLER_HEADERS);
        assert!(body.contains("not run"), "{body}");
    }
    store.set_refusing(false);
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    }
}

/// Refuses calls from the time in which no relay asks until each has lost the store, and acts then.
///
/// All relays have asked at the same time before, so none has been without an answer for long.
fn refuse_for_a_moment(store: &Store, set_refusing: impl Fn(bool), act: impl FnOnce()) {
    store.put("op/note", &serde_json::json!(1));
    thread::sleep(LOSS_DELAY);
    store.put("op/note", &serde_json::json!(2));
    thread::sleep(QUIET_TIME);
    set_refusing(true);
    thread::sleep(LOSS_DELAY);
    act();
    thread::sleep(QUIET_TIME / 2);
    set_refusing(false);
}

/// Returns for each removal that an entry VM has read whether the entry may reappear.
fn removals(front: &Front) -> Vec<bool> {
    let are_after_outage = |it: &Value| match it["message"].as_str() {
        Some("backend server unlisted") => vec![it["is_after_outage"] == true],
        Some("backend servers not in the list") => {
            let servers = it["servers"].as_u64().expect("a number") as usize;
            vec![it["after_outage"] == it["servers"]; servers]
        }
        _ => Vec::new(),
    };
    front.log_lines().iter().flat_map(are_after_outage).collect()
}

fn assert_expired_servers_serve_on(is_history_gone: bool) {
    let (store, servers, fronts) = start_fleet();
    let late = Server::spawn(&store, "r3", "records");
    let has_servers =
        |front: &Front, count: usize| has_metric(front, &format!("front_backend_servers {count}"));
    wait_until("all are known", &fronts, || fronts.iter().all(|it| has_servers(it, 3)));
    refuse_for_a_moment(
        &store,
        |it| store.set_refusing(it),
        || {
            servers[0].unlist();
            late.unlist();
            if is_history_gone {
                store.compact();
                store.set_range_delay(PAGE_DELAY);
            }
        },
    );
    wait_until("all have read the removals", &fronts, || {
        fronts.iter().all(|it| removals(it).len() >= 2)
    });
    let is_misled = |it: &&Front| removals(it).contains(&false);
    assert_eq!(
        fronts.iter().filter(is_misled).count(),
        0,
        "of {ENTRY_VM_COUNT} took them for gone"
    );
    servers[0].publish_again();
    // The other one does not reappear.
    wait_until("it is gone", &fronts, || fronts.iter().all(|it| has_servers(it, 2)));
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    }
}

/// Guards against followers that stop using servers whose entries expired while only the relays had
/// lost the store: they took a removal from a relay for one that had been read in calm.
#[test]
fn servers_whose_entries_expire_in_a_short_outage_serve_on_at_followers() {
    assert_expired_servers_serve_on(false);
}

/// Guards against followers that take such removals for final because their relays, or they
/// themselves, read all keys anew.
#[test]
fn servers_whose_entries_expire_before_all_keys_are_read_serve_on_at_followers() {
    assert_expired_servers_serve_on(true);
}

/// Guards against followers that go on using a server that left because their relay alone had lost
/// the store.
#[test]
fn server_that_leaves_while_one_relay_has_lost_the_store_is_gone_for_its_followers() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let entrance = store.open_entrance();
    let relay = Front::spawn_logged(entrance.address, 60_000, 1.0);
    let share = |number: usize| if number < 2 { 1.0 } else { 0.03 };
    let spawn = |it: usize| Front::spawn_logged(store.address, 60_000, share(it));
    let others: Vec<Front> = (0..ENTRY_VM_COUNT - 1).map(spawn).collect();
    let follows_it = |front: &Front| {
        let lines = front.log_lines();
        let mut changes = lines.iter().filter(|it| it["target"] == "mangocross_front::watching");
        changes.next_back().is_some_and(|it| it["relay"] == relay.name())
    };
    wait_until("it relays", &others, || {
        let followers = others.iter().filter(|it| !follows_store(it)).count();
        followers >= others.len() - STORE_FOLLOWERS.end() && others.iter().any(follows_it)
    });
    refuse_for_a_moment(&store, |it| entrance.set_refusing_reads(it), || servers[0].unlist());
    wait_until("all have read the removal", &others, || {
        others.iter().chain([&relay]).all(|it| !removals(it).is_empty())
    });
    assert_eq!(removals(&relay), [true], "the relay has lost the store");
    let is_misled = |it: &&Front| removals(it) != [false];
    let misled: Vec<String> = others.iter().filter(is_misled).map(Front::name).collect();
    assert!(misled.is_empty(), "{misled:?}");
}

/// Guards against followers that learn of a relay's loss of the store only when their question has
/// waited to its end, and then apply a configuration too late.
#[test]
fn relay_that_loses_the_store_tells_those_that_wait() {
    /// A question of "t" for changes after revision 10,000 of era 1 that waits for five seconds.
    const QUESTION: [u8; 7] = [1, b't', 1, 0x90, 0x4e, 5, 0];
    /// First byte of an answer that tells of the loss.
    const STORE_LOST: u8 = 1;
    /// Age of the last confirmation from which a relay tells, and as much again for the test.
    const TOLD_WITHIN: Duration = Duration::from_millis(4000);
    let (store, _servers, front) = start_plain();
    store.set_refusing(true);
    let began = Instant::now();
    let mut stream = TcpStream::connect(front.peers()).expect("a connection");
    let length = QUESTION.len();
    let head =
        format!("POST /changes/3 HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), &QUESTION].concat()).expect("a question is sent");
    let mut answer = [0; 512];
    let length = stream.read(&mut answer).expect("an answer");
    let waited = began.elapsed();
    let text = String::from_utf8_lossy(&answer[..length]);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert_eq!(answer[..length].last(), Some(&STORE_LOST), "{text}");
    assert!(waited < TOLD_WITHIN, "{waited:?}");
}
