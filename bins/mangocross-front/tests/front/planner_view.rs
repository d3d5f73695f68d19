//! Tests of a planner, no relay itself, that loses the store while the others follow it.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::platform::CALLER_HEADERS;
use crate::platform::Entrance;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Number of entry VMs besides the planner; beyond 16 in total some of them relay.
const OTHERS_COUNT: usize = 18;
/// Number of groups that the engines form.
const GROUP_COUNT: usize = 2;
/// Share of a core of the planner; VMs with more are the relays.
const PLANNER_CPU_SHARE: f64 = 0.05;
/// Maximum wait for an expected state.
const WAIT_MAX: Duration = Duration::from_secs(60);
const PLANNER_KEY: &str = "mangocross/planner";

fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_reached() {
        assert!(began.elapsed() < WAIT_MAX, "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A fleet with relays whose planner, the first entry VM, has an entrance to the store of its own.
struct Fleet {
    store: Store,
    entrance: Entrance,
    engines: Vec<Server>,
    _others: Vec<Server>,
    fronts: Vec<Front>,
}

impl Fleet {
    fn start() -> Self {
        let store = Store::spawn();
        store.configure(3, &["k1"]);
        let spawn = |service: &str, names: &[&str]| -> Vec<Server> {
            names.iter().map(|it| Server::spawn(&store, it, service)).collect()
        };
        let engines = spawn("models", &["e1", "e2", "e3", "e4", "e5"]);
        let _others = spawn("records", &["r1"]);
        let entrance = store.open_entrance();
        let planner = Front::spawn_logged(entrance.address, 60_000, PLANNER_CPU_SHARE);
        let mut fronts = vec![planner];
        wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
        fronts.extend((0..OTHERS_COUNT).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)));
        let this = Self { store, entrance, engines, _others, fronts };
        let listed = format!("front_entry_vms {}", OTHERS_COUNT + 1);
        wait_until("all are listed", || {
            this.fronts.iter().all(|it| it.metrics().lines().any(|it| it == listed))
        });
        wait_until("relays are chosen, the planner is none", || {
            let follows = |it: &&Front| it.metrics().contains("front_follows_store 1\n");
            this.fronts.iter().filter(follows).count() == 4
        });
        wait_until("all groups are open", || this.open_groups().len() == GROUP_COUNT);
        this.fronts[0].wait_for_status(200, "/stream/x", CALLER_HEADERS);
        this
    }

    /// Returns head, name and incarnation of each open group.
    fn open_groups(&self) -> Vec<(usize, (Value, Value))> {
        let open = |(number, it): (usize, &Server)| Some((number, it.open_group()?));
        self.engines.iter().enumerate().filter_map(open).collect()
    }

    /// Keeps the planner from reading the store, whose history is forgotten.
    fn cut_planner_off(&self) {
        self.entrance.set_refusing_reads(true);
        self.store.compact();
    }
}

/// The planner goes on renewing its key while the store gives it no keys, and what relays pass on
/// names neither members of groups nor spares: a member that fails afterwards is to be replaced.
#[test]
fn groups_stand_after_the_planner_lost_the_store_for_two_seconds() {
    let fleet = Fleet::start();
    let before = fleet.open_groups();
    fleet.cut_planner_off();
    thread::sleep(Duration::from_secs(2));
    fleet.entrance.set_refusing_reads(false);
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.open_groups(), before);
    }
    let is_head = |number: &usize| before.iter().any(|(head, _)| head == number);
    let members = (0..fleet.engines.len()).filter(|it| !is_head(it));
    members.for_each(|it| fleet.engines[it].restart());
    wait_until("all groups are formed again", || {
        let after = fleet.open_groups();
        after.len() == GROUP_COUNT
            && after.iter().all(|(_, group)| before.iter().all(|it| it.1 != *group))
    });
}

/// Another VM plans when the planner's store stays away, and the groups stand.
#[test]
fn planner_that_stays_without_the_store_gives_up_its_key() {
    let fleet = Fleet::start();
    let before = fleet.open_groups();
    let planner = fleet.store.text(PLANNER_KEY).expect("a planner");
    fleet.cut_planner_off();
    wait_until("another VM is the planner", || {
        fleet.store.text(PLANNER_KEY).is_some_and(|it| it != planner)
    });
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.open_groups(), before);
    }
}

/// Followers know a part of the servers once their relays have read all keys anew. When the relays
/// and the planner die, they read all keys themselves, and those that plan must know all members.
#[test]
fn follower_that_reads_the_store_knows_all_servers_again() {
    let mut fleet = Fleet::start();
    let before = fleet.open_groups();
    let has_line = |front: &Front, line: &str| front.metrics().lines().any(|it| it == line);
    let fronts = std::mem::take(&mut fleet.fronts);
    let (mut relays, rest): (Vec<Front>, Vec<Front>) =
        fronts.into_iter().partition(|it| has_line(it, "front_follows_store 1"));
    fleet.store.compact();
    // Two heads and the plain server.
    wait_until("followers know a part", || {
        rest.iter().all(|it| has_line(it, "front_backend_servers 3"))
    });
    relays.iter_mut().for_each(Front::kill);
    wait_until("all servers are known", || {
        rest.iter().all(|it| has_line(it, "front_backend_servers 6"))
    });
    wait_until("there is a planner", || fleet.store.contains_key(PLANNER_KEY));
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.open_groups(), before);
    }
}
