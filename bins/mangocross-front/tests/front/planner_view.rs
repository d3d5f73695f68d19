//! Tests of a planner, no relay itself, that loses the store while the others follow it.

use std::cell::Cell;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::GROUP_COUNT;
use crate::fleet::PLANNER_KEY;
use crate::fleet::follows_store;
use crate::fleet::has_metric;
use crate::fleet::wait_until;
use crate::platform::Front;

/// Time between two compactions of the store's history.
const COMPACTION_INTERVAL: Duration = Duration::from_secs(5);

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
    let fronts = std::mem::take(&mut fleet.fronts);
    let (mut relays, rest): (Vec<Front>, Vec<Front>) = fronts.into_iter().partition(follows_store);
    let compacted_at = Cell::new(None::<Instant>);
    wait_until("followers know a part", || {
        // A follower that finds all relays reading reads the store itself, and knows all servers
        // when it is back at a relay.
        let is_over = compacted_at.get().is_none_or(|it| it.elapsed() > COMPACTION_INTERVAL);
        if is_over && !rest.iter().any(follows_store) {
            fleet.store.compact();
            compacted_at.set(Some(Instant::now()));
        }
        // Two heads and the plain server.
        rest.iter().all(|it| has_metric(it, "front_backend_servers 3"))
    });
    relays.iter_mut().for_each(Front::kill);
    wait_until("all servers are known", || {
        rest.iter().all(|it| has_metric(it, "front_backend_servers 6"))
    });
    wait_until("there is a planner", || fleet.store.contains_key(PLANNER_KEY));
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        assert_eq!(fleet.open_groups(), before);
    }
}
