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
