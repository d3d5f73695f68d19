//! Tests of a planner whose process does not run for a while.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;
use serde_json::Value;

use crate::fleet::Groups;
use crate::fleet::PLANNER_KEY;
use crate::fleet::wait_until;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Number of groups that the engines form.
const GROUP_COUNT: usize = 2;
/// Pauses that are shorter than the planner's lease, and the times between them in which its
/// process runs; a question to a server takes up to 150 ms.
const SHORT_PAUSES: u32 = 25;
const SHORT_PAUSE: Duration = Duration::from_millis(300);
const RUNNING: Duration = Duration::from_millis(40);
/// Silence of a server, of which the planner learns when the streams have stalled for 600 ms.
const SERVER_SILENCE: Duration = Duration::from_millis(1200);
/// Pause of the planner, shorter than its lease, that begins before the silence ends.
const PAUSE_AFTER_SILENCE: Duration = Duration::from_millis(1200);
/// Pause in which the planner's lease ends and another VM becomes the planner.
const LONG_PAUSE: Duration = Duration::from_millis(4000);
/// Times between the loss of a member and the pause; the planner forms the group anew meanwhile.
const REPAIR_TIMES_MS: [u64; 4] = [5, 20, 40, 80];
/// Time for which the groups must stand afterwards.
const OBSERVED: Duration = Duration::from_secs(4);

/// Three entry VMs, of which the first plans at the beginning.
struct Deployment {
    store: Store,
    engines: Vec<Server>,
    fronts: Vec<Front>,
}

impl Deployment {
    fn start() -> Self {
        let store = Store::spawn();
        store.configure(3, &["k1"]);
        let engines = ["e1", "e2", "e3", "e4", "e5"].map(|it| Server::spawn(&store, it, "models"));
        let mut fronts = vec![Front::spawn_logged(store.address, 60_000, 1.0)];
        wait_until("there is a planner", || store.contains_key(PLANNER_KEY));
        fronts.extend((0..2).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)));
        let this = Self { store, engines: engines.into(), fronts };
        wait_until("all groups are open", || this.open_groups().len() == GROUP_COUNT);
        for front in &this.fronts {
            front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
        }
        this
    }

    fn open_groups(&self) -> Groups {
        let open = |(number, it): (usize, &Server)| Some((number, it.open_group()?));
        self.engines.iter().enumerate().filter_map(open).collect()
    }

    /// Returns the entry VM that holds the planner's key, and its name.
    fn planner(&self) -> Option<(&Front, String)> {
        let name = self.store.text(PLANNER_KEY)?;
        Some((self.fronts.iter().find(|it| it.name() == name)?, name))
    }

    fn assert_groups_stand(&self, before: &Groups, duration: Duration) {
        let began = Instant::now();
        while began.elapsed() < duration {
            assert_eq!(self.open_groups(), *before);
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Asserts that no server carried out an order for a group after one for a later incarnation
    /// was carried out anywhere.
    fn assert_no_old_order(&self) {
        let mut orders: Vec<(Instant, Value)> =
            self.engines.iter().flat_map(Server::carried_out).collect();
        orders.sort_by_key(|(at, _)| *at);
        let mut newest: BTreeMap<String, u64> = BTreeMap::new();
        for (_, order) in orders {
            let group = order["group"].to_string();
            let incarnation = order["epoch"].as_u64().unwrap_or_default();
            let newest = newest.entry(group).or_default();
            assert!(incarnation >= *newest, "{order} after incarnation {newest}");
            *newest = incarnation;
        }
        let violations: Vec<String> = self.engines.iter().flat_map(Server::violations).collect();
        assert_eq!(violations, Vec::<String>::new());
    }
}

/// Guards against servers that are taken for lost because the planner did not run when they
/// answered.
#[test]
fn short_pauses_of_the_planner_dissolve_no_group() {
    let deployment = Deployment::start();
    let before = deployment.open_groups();
    let (planner, name) = deployment.planner().expect("a planner");
    for _ in 0..SHORT_PAUSES {
        planner.signal(Signal::STOP);
        deployment.assert_groups_stand(&before, SHORT_PAUSE);
        planner.signal(Signal::CONT);
        deployment.assert_groups_stand(&before, RUNNING);
    }
    deployment.assert_groups_stand(&before, OBSERVED);
    assert_eq!(deployment.planner().map(|it| it.1), Some(name));
}

/// Guards against groups that are dissolved because the planner, whose process did not run, saw the
/// beginning of a member's silence and not its end.
#[test]
fn pause_of_the_planner_is_no_silence_of_a_server() {
    let deployment = Deployment::start();
    let before = deployment.open_groups();
    let (planner, _) = deployment.planner().expect("a planner");
    deployment.engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(150)));
    let other = deployment.fronts.iter().find(|it| it.pid() != planner.pid()).expect("another");
    thread::scope(|scope| {
        let stream = scope.spawn(|| {
            other.call("POST", "/stream/x", &CALLER_HEADERS.replace("a1", "paused"), "{}")
        });
        let runs_it = |it: &&Server| it.ran().iter().any(|it| it == "paused");
        wait_until("the stream runs", || deployment.engines.iter().any(|it| runs_it(&it)));
        thread::sleep(Duration::from_millis(200));
        deployment.engines.iter().find(runs_it).expect("a head").fall_silent(SERVER_SILENCE);
        deployment.assert_groups_stand(&before, SERVER_SILENCE - Duration::from_millis(100));
        planner.signal(Signal::STOP);
        deployment.assert_groups_stand(&before, PAUSE_AFTER_SILENCE);
        planner.signal(Signal::CONT);
        deployment.assert_groups_stand(&before, OBSERVED);
        assert_eq!(stream.join().expect("an answer").0, 200);
    });
}

/// Guards against a former planner that goes on with what it knew, or carries out what it had
/// decided, when its process runs again.
#[test]
fn planner_that_was_paused_for_longer_than_its_lease_gives_no_order() {
    let deployment = Deployment::start();
    for repair_ms in REPAIR_TIMES_MS {
        let before = deployment.open_groups();
        let (planner, name) = deployment.planner().expect("a planner");
        let is_head = |number: usize| before.iter().any(|(head, _)| *head == number);
        let is_member = |number: &usize| {
            deployment.engines[*number].group().is_some_and(|group| {
                before.iter().any(|(_, (name, _))| *name == group) && !is_head(*number)
            })
        };
        let member = (0..deployment.engines.len()).find(is_member).expect("a member");
        deployment.engines[member].restart();
        thread::sleep(Duration::from_millis(repair_ms));
        planner.signal(Signal::STOP);
        thread::sleep(LONG_PAUSE);
        wait_until("another VM is the planner", || {
            deployment.planner().is_some_and(|it| it.1 != name)
        });
        wait_until("all groups are open", || {
            let after = deployment.open_groups();
            after.len() == GROUP_COUNT && after != before
        });
        let after = deployment.open_groups();
        planner.signal(Signal::CONT);
        deployment.assert_groups_stand(&after, OBSERVED);
        deployment.assert_no_old_order();
    }
}
