//! A fleet with relays, of which the first entry VM plans.

use std::collections::BTreeMap;
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
pub(crate) const GROUP_COUNT: usize = 2;
/// Share of a core of the planner; VMs with more are the relays.
const PLANNER_CPU_SHARE: f64 = 0.05;
/// Share of a core of VMs that are no relays while the planner is listed.
const SMALL_CPU_SHARE: f64 = 0.03;
/// Number of relays.
pub(crate) const RELAY_COUNT: usize = 3;
/// Maximum wait for an expected state.
const WAIT_MAX: Duration = Duration::from_secs(60);
pub(crate) const PLANNER_KEY: &str = "mangocross/planner";

pub(crate) fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_reached() {
        assert!(began.elapsed() < WAIT_MAX, "{what}");
        thread::sleep(Duration::from_millis(50));
    }
}

pub(crate) fn has_metric(front: &Front, line: &str) -> bool {
    front.metrics().lines().any(|it| it == line)
}

pub(crate) fn follows_store(front: &Front) -> bool {
    has_metric(front, "front_follows_store 1")
}

/// Head, name and incarnation of each open group.
pub(crate) type Groups = Vec<(usize, (Value, Value))>;

/// A fleet with relays whose planner, the first entry VM, has an entrance to the store of its own.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) entrance: Entrance,
    pub(crate) engines: Vec<Server>,
    _others: Vec<Server>,
    pub(crate) fronts: Vec<Front>,
}

impl Fleet {
    /// Starts a fleet of which any VM but the planner may be a relay.
    pub(crate) fn start() -> Self {
        Self::start_sized(&[1.0; OTHERS_COUNT])
    }

    /// Starts a fleet whose planner is the first to relay when one of the relays goes.
    pub(crate) fn start_with_next_relay_planning() -> Self {
        let mut others = [SMALL_CPU_SHARE; OTHERS_COUNT];
        others[..RELAY_COUNT].fill(1.0);
        Self::start_sized(&others)
    }

    /// Starts a fleet with these shares of a core of the VMs besides the planner.
    fn start_sized(others: &[f64]) -> Self {
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
        fronts.extend(others.iter().map(|it| Front::spawn_logged(store.address, 60_000, *it)));
        let this = Self { store, entrance, engines, _others, fronts };
        let listed = format!("front_entry_vms {}", others.len() + 1);
        wait_until("all are listed", || this.fronts.iter().all(|it| has_metric(it, &listed)));
        wait_until("relays are chosen, the planner is none", || {
            this.store_followers() == RELAY_COUNT + 1
        });
        wait_until("all groups are open", || this.open_groups().len() == GROUP_COUNT);
        this.fronts[0].wait_for_status(200, "/stream/x", CALLER_HEADERS);
        this
    }

    /// Returns head, name and incarnation of each open group.
    pub(crate) fn open_groups(&self) -> Groups {
        let open = |(number, it): (usize, &Server)| Some((number, it.open_group()?));
        self.engines.iter().enumerate().filter_map(open).collect()
    }

    /// Returns the number of entry VMs that follow the store themselves.
    pub(crate) fn store_followers(&self) -> usize {
        self.fronts.iter().filter(|it| follows_store(it)).count()
    }

    /// Returns the name in the planner's key.
    pub(crate) fn planner(&self) -> Option<String> {
        self.store.text(PLANNER_KEY)
    }

    /// Asserts for a while that the groups stay as they were.
    pub(crate) fn assert_groups_stand(&self, before: &Groups, duration: Duration) {
        let began = Instant::now();
        while began.elapsed() < duration {
            assert_eq!(self.open_groups(), *before);
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Asserts that each order was given in the term of the VM that gave it, and none after an order
    /// of a later term.
    pub(crate) fn assert_one_planner_at_a_time(&self) {
        let lines: Vec<Value> = self.fronts.iter().flat_map(Front::log_lines).collect();
        let with_message =
            |message: &'static str| lines.iter().filter(move |it| it["message"] == message);
        let holders: BTreeMap<u64, &Value> = with_message("planner's key taken")
            .map(|it| (it["revision"].as_u64().expect("a revision"), &it["vm"]))
            .collect();
        let mut orders: Vec<(u64, u64)> = Vec::new();
        for order in with_message("order given") {
            let term = order["term"].as_u64().expect("a term");
            assert_eq!(holders.get(&term), Some(&&order["vm"]), "{order}");
            orders.push((order["time_unix_ms"].as_u64().expect("a time"), term));
        }
        assert!(!orders.is_empty(), "no order was logged");
        orders.sort_unstable();
        assert!(orders.is_sorted_by_key(|(_, term)| *term), "{orders:?}");
    }

    /// Keeps the planner from reading the store, whose history is forgotten.
    pub(crate) fn cut_planner_off(&self) {
        self.entrance.set_refusing_reads(true);
        self.store.compact();
    }
}
