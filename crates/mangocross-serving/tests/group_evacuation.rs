//! The planner leaves evacuated zones alone and forms groups elsewhere.

#[allow(dead_code)]
mod engines;
mod figures;

use std::collections::HashSet;
use std::time::Duration;

use mangocross_types::AvailabilityZone;

use crate::engines::Connectivity;
use crate::engines::Simulation;

const SETTLED: Duration = Duration::from_secs(8);

/// Returns a domain `d0` in `zone-b` with a group of the small model, and a domain `d1` in `zone-a` with
/// one of the large model and three spares.
fn formed() -> Simulation {
    let mut simulation = Simulation::new(1, 5);
    (0..9).for_each(|it| drop(simulation.add(1, it)));
    for engine in simulation.engines.values_mut().filter(|it| is_in_d0(it.server.vm.as_str())) {
        engine.server.zone = "zone-b".parse().expect("a valid name");
    }
    simulation.run(SETTLED);
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 1));
    assert!(is_in_d0(simulation.serving("small")[0].as_str()));
    simulation
}

fn is_in_d0(vm: &str) -> bool {
    vm.starts_with("e-0-")
}

fn evacuate(simulation: &mut Simulation, zones: &[&str]) {
    let zones: HashSet<AvailabilityZone> =
        zones.iter().map(|it| it.parse().expect("a valid name")).collect();
    simulation.planner.set_evacuated_zones(zones);
}

fn orders_in_d0(simulation: &Simulation) -> u64 {
    let engines = simulation.engines.values();
    engines.filter(|it| is_in_d0(it.server.vm.as_str())).map(|it| it.orders_accepted).sum()
}

/// The only group of a model is in the zone.
#[test]
fn model_of_an_evacuated_zone_is_formed_elsewhere() {
    let mut simulation = formed();
    evacuate(&mut simulation, &["zone-b"]);
    simulation.run(SETTLED);
    let small = simulation.serving("small");
    assert!(small.iter().any(|it| !is_in_d0(it.as_str())), "{small:?}");
}

/// An order to an evacuated zone would bring work there; a group that is left as it is serves at once
/// when its zone is taken back.
#[test]
fn evacuated_zone_gets_no_orders_until_it_is_taken_back() {
    let mut simulation = formed();
    evacuate(&mut simulation, &["zone-b"]);
    simulation.run(Duration::from_secs(1));
    let (orders, plan) = (orders_in_d0(&simulation), plan_of_d0(&simulation));
    let head = simulation.serving("small")[0].clone();
    let member = simulation.engines[&head].members[1].clone();
    simulation.engines.get_mut(&member).expect("an engine").connectivity = Connectivity::NoProcess;
    simulation.run(SETTLED);
    assert_eq!((orders_in_d0(&simulation), plan_of_d0(&simulation)), (orders, plan));
    evacuate(&mut simulation, &[]);
    simulation.run(SETTLED);
    assert!(orders_in_d0(&simulation) > orders, "the group is repaired");
    assert!(simulation.serving("small").iter().any(|it| is_in_d0(it.as_str())));
}

fn plan_of_d0(simulation: &Simulation) -> mangocross_serving::DomainPlan {
    let domain = "d0".parse().expect("a valid id");
    simulation.plans[&domain].0.clone()
}
