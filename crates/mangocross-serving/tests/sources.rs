//! From where an entry VM learns of the store's changes, over orders of loss, return, terms and
//! lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::Moment;
use mangocross_serving::RelayPlan;
use mangocross_serving::Source;
use mangocross_serving::SourceChoice;
use mangocross_serving::StoreView;
use mangocross_serving::ViewExtent;
use mangocross_serving::VmRole;
use mangocross_types::AvailabilityZone;

/// Name of the VM under test.
const NAME: &str = "front-7";

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn zone(number: usize) -> AvailabilityZone {
    format!("zone-{number}").parse().expect("a valid id")
}

/// A plan of a fleet of random size and capacities; the VM under test may be a relay.
fn random_plan(random: &mut Rng) -> (RelayPlan, usize) {
    let size = random.usize(8..120);
    let mut vm = |number: usize| {
        let address = SocketAddr::from(([10, 1, 0, number as u8], 7340));
        let core = f64::from(random.u8(1..5)) * 0.1;
        let vm = ListedEntryVm::new(address, zone(number % 3), core, 200.0);
        (Arc::from(format!("front-{number}")), vm)
    };
    let fleet: BTreeMap<Arc<str>, ListedEntryVm> = (0..size).map(&mut vm).collect();
    (RelayPlan::new(fleet.iter()), size)
}

/// Loses and regains the store and relays, takes and loses terms and changes the list in any order:
/// a VM that holds the planner's key asks the store alone.
#[test]
fn holder_of_the_planners_key_asks_the_store_alone() {
    let mut random = Rng::with_seed(22);
    for _ in 0..2_000 {
        let (mut plan, mut entry_vms) = random_plan(&mut random);
        let mut choice = SourceChoice::default();
        let (mut has_store, mut has_relays, mut holds_term) = (true, true, false);
        let mut now_ms = 0;
        for _ in 0..60 {
            now_ms += random.u64(1..1_500);
            match random.u8(0..10) {
                0 => has_store = !has_store,
                1 => has_relays = !has_relays,
                2 => holds_term = !holds_term,
                3 => (plan, entry_vms) = random_plan(&mut random),
                _ => {}
            }
            let role = VmRole { name: NAME, zone: &zone(1), holds_term };
            match choice.choose(&plan, role, entry_vms, at(now_ms), random.f64()) {
                Source::Store if has_store => choice.record_store_answer(at(now_ms)),
                Source::Store => {}
                Source::Relay { name, .. } => {
                    assert!(!holds_term, "the holder asks {name} at {now_ms} ms");
                    match (has_relays, has_store) {
                        (false, _) => choice.record_unreached(&name, at(now_ms)),
                        (true, false) => choice.record_store_lost(&name, at(now_ms)),
                        (true, true) => choice.record_following(),
                    }
                }
            }
        }
    }
}

/// Guards against a follower that takes the loss of one relay for a loss of the store: another relay
/// that follows it decides.
#[test]
fn store_counts_as_away_only_if_two_relays_were_without_it() {
    let mut random = Rng::with_seed(261);
    for _ in 0..500 {
        let (plan, entry_vms) = random_plan(&mut random);
        let role = VmRole { name: NAME, zone: &zone(1), holds_term: false };
        let mut choice = SourceChoice::default();
        let first = choice.choose(&plan, role, entry_vms, at(0), 1.0);
        let Source::Relay { name: first, .. } = first else { continue };
        choice.record_store_lost(&first, at(0));
        assert!(!choice.is_store_away());
        let second = choice.choose(&plan, role, entry_vms, at(100), 1.0);
        let Source::Relay { name: second, .. } = second else { panic!("the store is asked") };
        assert_ne!(second, first);
        let mut confirmed = choice;
        confirmed.record_store_lost(&second, at(100));
        assert!(confirmed.is_store_away());
        confirmed.record_following();
        assert!(!confirmed.is_store_away());
    }
}

/// A VM as the front drives the choice and the view: one question in each step.
struct Vm {
    choice: SourceChoice,
    view: StoreView,
    /// When the store was asked for what the view shows; `None` if keys may be missing.
    true_as_of: Option<Moment>,
}

impl Vm {
    fn ask_store(&mut self, asked_at: Moment, is_history_gone: bool, may_have_more: bool) {
        if is_history_gone {
            self.view.begin_reading();
            self.true_as_of = None;
        } else if self.view.has_all_until_now() {
            self.view.record_changes(asked_at, may_have_more);
            self.true_as_of = if may_have_more { None } else { Some(asked_at) };
        } else {
            self.view.begin_reading();
            self.view.record_all_keys(asked_at);
            self.true_as_of = Some(asked_at);
        }
        self.choice.record_store_answer(asked_at);
    }
}

/// In any order of losses, returns, forgotten histories, backlogs, terms and lists, plans are made
/// from all keys as of a recent moment, and by nobody who asks a relay.
#[test]
fn only_a_recent_view_of_all_keys_is_planned_from() {
    let mut random = Rng::with_seed(221);
    let mut planned = 0;
    for _ in 0..2_000 {
        let (mut plan, mut entry_vms) = random_plan(&mut random);
        let mut vm =
            Vm { choice: SourceChoice::default(), view: StoreView::default(), true_as_of: None };
        let (mut has_store, mut holds_term) = (true, false);
        let mut now_ms = 0;
        for _ in 0..80 {
            let asked_at = at(now_ms);
            now_ms += random.u64(1..1_500);
            let now = at(now_ms);
            match random.u8(0..12) {
                0 | 1 => has_store = !has_store,
                2 => holds_term = false,
                3 | 4 => holds_term |= vm.view.may_take_term(now),
                5 => (plan, entry_vms) = random_plan(&mut random),
                _ => {}
            }
            let role = VmRole { name: NAME, zone: &zone(1), holds_term };
            match vm.choice.choose(&plan, role, entry_vms, asked_at, random.f64()) {
                Source::Store if has_store => {
                    vm.ask_store(asked_at, random.u8(0..10) == 0, random.u8(0..10) == 0);
                }
                Source::Store => {}
                Source::Relay { name, .. } => {
                    assert!(!holds_term);
                    vm.view.record_relay();
                    vm.true_as_of = None;
                    match has_store {
                        false => vm.choice.record_store_lost(&name, now),
                        true => vm.choice.record_following(),
                    }
                    assert!(!vm.view.may_take_term(now));
                }
            }
            if let Some(complete) = vm.view.complete(now) {
                let as_of = vm.true_as_of.expect("all keys have been read");
                assert_eq!(complete.age(now), now.since(as_of));
                assert!(complete.age(now) < Duration::from_secs(3));
                planned += 1;
            }
        }
    }
    assert!(planned > 10_000, "{planned}");
}

/// Returns when the key is given up, if the view is last proven at 10 s and the lease renewed since.
fn given_up_at(view: &StoreView, renewed_since_ms: u64) -> Option<u64> {
    (10_000..30_000)
        .step_by(100)
        .find(|ms| view.must_give_up_term(at(*ms), Some(at(renewed_since_ms))))
}

/// A second's silence costs no term, also with the wait of a question and its answer's timeout; a
/// planner that stays without the store gives up in seconds.
#[test]
fn key_is_given_up_after_a_bounded_time_without_the_store() {
    let mut view = StoreView::default();
    view.begin_reading();
    view.record_all_keys(at(10_000));
    let given_up_ms = given_up_at(&view, 0).expect("given up");
    assert!((13_000..=15_000).contains(&given_up_ms), "{given_up_ms}");
    // Reading anew neither ends nor extends the time.
    view.begin_reading();
    assert_eq!(given_up_at(&view, 0), Some(given_up_ms));
    assert!(view.complete(at(10_100)).is_none());
    // After an outage of the store, in which the lease was not renewed, all keys are read first.
    let after_outage_ms = given_up_at(&view, 20_000).expect("given up");
    assert!((21_000..=23_000).contains(&after_outage_ms), "{after_outage_ms}");
    assert!(!view.must_give_up_term(at(30_000), None), "the lease runs out by itself");
}

/// A VM that followed a relay, or read a part before a second loss, knows a part of the keys.
#[test]
fn changes_complete_no_view_that_lacks_keys() {
    let mut view = StoreView::default();
    view.begin_history();
    assert!(view.complete(at(0)).is_none(), "the history has not been read to its end");
    view.record_changes(at(100), true);
    assert!(view.complete(at(100)).is_none());
    view.record_changes(at(200), false);
    assert!(view.complete(at(200)).is_some());
    view.record_relay();
    view.record_changes(at(300), false);
    assert_eq!(view.extent(), ViewExtent::Part);
    assert!(view.complete(at(300)).is_none());
    view.begin_reading();
    view.record_changes(at(400), false);
    assert!(view.complete(at(400)).is_none(), "lost again before all keys were read");
}
