//! Tests of a planner's term while the store, the relays or the list of entry VMs change.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::GROUP_COUNT;
use crate::fleet::RELAY_COUNT;
use crate::fleet::follows_store;
use crate::fleet::has_metric;
use crate::fleet::wait_until;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;

/// Time for which groups must stand after a fault, longer than the planner's lease and the maximum
/// age of its view.
const OBSERVED: Duration = Duration::from_secs(5);
/// Duration of each of two short losses of the store, and of the time between them.
const SHORT_LOSS: Duration = Duration::from_millis(300);

/// Guards against a planner that takes groups for incomplete when it becomes a relay and reads the
/// store anew.
#[test]
fn groups_stand_when_the_planner_becomes_a_relay() {
    let fleet = Fleet::start_with_next_relay_planning();
    let (before, planner) = (fleet.open_groups(), fleet.planner());
    let relay = fleet.fronts[1..].iter().find(|it| follows_store(it)).expect("a relay");
    fleet.cut_planner_off();
    relay.terminate();
    fleet.assert_groups_stand(&before, SHORT_LOSS * 3);
    fleet.entrance.set_refusing_reads(false);
    fleet.assert_groups_stand(&before, OBSERVED);
    wait_until("the planner relays", || fleet.store_followers() == RELAY_COUNT);
    assert_eq!(fleet.planner(), planner);
    fleet.assert_one_planner_at_a_time();
    // What was stopped answers no more.
    fleet.store.configure(4, &["k4"]);
    let headers = CALLER_HEADERS.replace("k1", "k4");
    for front in fleet.fronts.iter().filter(|it| !it.metrics().is_empty()) {
        front.wait_for_status(200, "/lookup/x", &headers);
    }
}

/// Guards against a planner that goes on with a part of the keys, because the store was lost again
/// before all had been read.
#[test]
fn groups_stand_after_the_planner_lost_the_store_twice_within_a_second() {
    let fleet = Fleet::start();
    let (before, planner) = (fleet.open_groups(), fleet.planner());
    for _ in 0..2 {
        fleet.cut_planner_off();
        fleet.assert_groups_stand(&before, SHORT_LOSS);
        fleet.entrance.set_refusing_reads(false);
        fleet.assert_groups_stand(&before, SHORT_LOSS);
    }
    fleet.assert_groups_stand(&before, OBSERVED);
    assert_eq!(fleet.planner(), planner);
    fleet.assert_one_planner_at_a_time();
    // It plans, from all keys: what is lost now is replaced.
    let is_head = |number: &usize| before.iter().any(|(head, _)| head == number);
    let members = (0..fleet.engines.len()).filter(|it| !is_head(it));
    members.for_each(|it| fleet.engines[it].restart());
    wait_until("all groups are formed again", || {
        let after = fleet.open_groups();
        after.len() == GROUP_COUNT
            && after.iter().all(|(_, group)| before.iter().all(|it| it.1 != *group))
    });
    fleet.assert_one_planner_at_a_time();
}

/// Guards against followers that plan from a part of the keys, or beside the planner, when they
/// read the store for want of relays.
#[test]
fn groups_stand_when_all_relays_die_beside_the_planner() {
    let mut fleet = Fleet::start();
    let (before, planner) = (fleet.open_groups(), fleet.planner());
    let others = fleet.fronts[1..].iter_mut();
    let relays: Vec<&mut Front> = others.filter(|it| follows_store(it)).collect();
    assert_eq!(relays.len(), RELAY_COUNT);
    // The followers cannot go on from where they are, so they read all keys.
    fleet.store.compact();
    relays.into_iter().for_each(Front::kill);
    fleet.assert_groups_stand(&before, OBSERVED);
    let listed = format!("front_entry_vms {}", fleet.fronts.len() - RELAY_COUNT);
    wait_until("the dead are no longer listed", || has_metric(&fleet.fronts[0], &listed));
    fleet.assert_groups_stand(&before, OBSERVED);
    wait_until("each VM follows the store or a relay", || {
        let is_served = |it: &Front| has_metric(it, &listed);
        fleet.fronts.iter().filter(|it| is_served(it)).count() == fleet.fronts.len() - RELAY_COUNT
    });
    fleet.assert_groups_stand(&before, SHORT_LOSS);
    assert_eq!(fleet.planner(), planner);
    fleet.assert_one_planner_at_a_time();
}
