//! A VM that the platform moves between fabric domains is in groups of at most one domain.
//!
//! Guards against two owners that both assign it, because their copies of the platform's list
//! differ in age or because one pauses between any two of its steps.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::DomainInput;
use mangocross_coordination::EngineVm;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::ReconcileStep;
use mangocross_coordination::VmHolders;
use mangocross_coordination::reconcile;
use mangocross_coordination::take_over;
use mangocross_policy::RepairTimes;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::DomainAssignment;
use mangocross_types::Placements;
use mangocross_types::Revision;
use mangocross_types::VmId;
use serde_json::json;

const MS: Duration = Duration::from_millis(1);
const VMS: usize = 3;
/// Histories, unless `MANGOCROSS_CASES` sets another number.
const CASES: u64 = 300;
const STEPS: usize = 1_000;

/// A process that may own a domain.
struct Owner {
    domain: usize,
    vm: VmId,
    copy: AssignmentCopy,
    holders: VmHolders,
    /// Domain of each VM in its copy of the platform's list.
    listed: [usize; VMS],
    /// A pending write, with the revision that it replaces.
    write: Option<(DomainAssignment, Revision)>,
}

struct World {
    rng: fastrand::Rng,
    now: Instant,
    newest: Revision,
    store: [(DomainAssignment, Revision); 2],
    owners: Vec<Owner>,
    listed: [usize; VMS],
    desired: [&'static str; 2],
    uses: [[u32; 2]; VMS],
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().expect("a valid id")
}

fn idle(number: usize) -> BackendReport {
    let report = json!({"vm": vm(number), "state": "idle", "group": null, "incarnation": 0,
        "rank": 0, "role": "serving", "model_version": null, "cached_versions": [], "running": 0,
        "queued": 0, "load_age_ms": 0, "steps": 0, "fencing_number": 0});
    serde_json::from_value(report).expect("a report")
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let domain = |it: usize| format!("domain-{it}").parse().expect("a valid id");
        let store = [0, 1].map(|it| (DomainAssignment::empty(domain(it)), Revision(it as u64 + 1)));
        let owner = |number: usize| {
            let (assignment, revision) = store[number % 2].clone();
            Owner {
                domain: number % 2,
                vm: format!("entry-{number}").parse().expect("a valid id"),
                copy: AssignmentCopy::new(assignment, revision, now, now),
                holders: VmHolders::default(),
                listed: [0; VMS],
                write: None,
            }
        };
        let owners = (0..4).map(owner).collect();
        let rng = fastrand::Rng::with_seed(seed);
        let (desired, uses) = (["serving"; 2], [[0; 2]; VMS]);
        Self { rng, now, newest: Revision(2), store, owners, listed: [0; VMS], desired, uses }
    }

    fn step(&mut self) {
        self.now += MS;
        let number = self.rng.usize(..self.owners.len());
        match self.rng.u8(..40) {
            0..=1 => self.listed[self.rng.usize(..VMS)] = self.rng.usize(..2),
            2..=3 => {
                self.desired[self.rng.usize(..2)] = ["serving", "stopped"][self.rng.usize(..2)]
            }
            4 => {
                let Owner { copy, vm, write, .. } = &mut self.owners[number];
                *write = Some((take_over(&copy.assignment, vm, 1), copy.revision));
            }
            5..=8 => self.owners[number].listed = self.listed,
            9..=15 => {
                let assignments = self.store.iter().map(|(it, _)| it);
                self.owners[number].holders = VmHolders::new(assignments, self.now);
                self.read(number);
            }
            16..=18 => self.read(number),
            19..=28 => self.reconcile_domain(number),
            _ => self.write(number),
        }
    }

    fn read(&mut self, number: usize) {
        let (assignment, revision) = self.store[self.owners[number].domain].clone();
        let read = AssignmentCopy::new(assignment, revision, self.now, self.now);
        self.owners[number].copy.update(read);
    }

    fn reconcile_domain(&mut self, number: usize) {
        let this = &self.owners[number];
        if this.write.is_some() || !this.copy.is_owned_by(&this.vm, 1) {
            return;
        }
        let group = |it: usize| {
            json!({"id": format!("g-{it}"), "model": "letters", "model_version": "v1", "size": 2,
                "desired": self.desired[it]})
        };
        let configuration: Configuration =
            serde_json::from_value(json!({"groups": [group(0), group(1)]})).expect("valid");
        let placement = |it| json!({"group": format!("g-{it}"), "domain": format!("domain-{it}")});
        let placements: Placements =
            serde_json::from_value(json!({"entries": [placement(0), placement(1)]}))
                .expect("valid");
        // Every VM reports that it is idle, also one that an order has yet to reach.
        let mut probes = ProbeTable::default();
        (0..VMS).for_each(|it| probes.record_answer(&vm(it), self.now, self.now, idle(it)));
        let engines = (0..VMS).filter(|it| this.listed[*it] == this.domain).map(|it| EngineVm {
            vm: vm(it),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: false,
            listed: true,
        });
        let steps = reconcile(&DomainInput {
            copy: &this.copy,
            configuration: &configuration,
            placements: &placements,
            engines: &engines.collect::<Vec<_>>(),
            probes: &probes,
            holders: &this.holders,
            authority: OrderAuthority::None,
            now: self.now,
            probe_ttl: 10 * MS,
            stall_limit: 10 * MS,
            lost_after: 10 * MS,
            lost_after_with_spare: 5 * MS,
            order_lifetime: MS,
            repair_times: RepairTimes {
                load: MS,
                concurrent_loads: 8,
                loads_before: 0,
                warm_load: MS,
                restart: 100 * MS,
            },
        });
        if let Some(ReconcileStep::Swap(next)) = steps.into_iter().next() {
            self.owners[number].write = Some((next, this.copy.revision));
        }
    }

    /// Delivers a write; if its answer is lost, the owner reads the value back later.
    fn write(&mut self, number: usize) {
        let Some((next, expected)) = self.owners[number].write.take() else { return };
        let domain = self.owners[number].domain;
        if self.store[domain].1 == expected {
            self.newest = Revision(self.newest.0 + 1);
            let members = next.groups.iter().flat_map(|it| &it.members);
            members.for_each(|it| {
                let number = (0..VMS).find(|number| vm(*number) == *it).expect("a VM");
                self.uses[number][domain] += 1;
            });
            self.store[domain] = (next, self.newest);
        }
        if self.rng.u8(..4) > 0 {
            self.read(number);
        }
    }

    fn check(&self, seed: u64) {
        let members = |it: usize| self.store[it].0.groups.iter().flat_map(|it| &it.members);
        let twice = members(0).find(|vm| members(1).any(|it| it == *vm));
        assert_eq!(twice, None, "seed {seed}: in groups of two domains");
    }
}

#[test]
fn vm_that_moves_between_domains_is_in_groups_of_at_most_one() {
    let cases = std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok());
    let mut moved = 0;
    for seed in 0..cases.unwrap_or(CASES) {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            world.check(seed);
        }
        moved += world.uses.iter().filter(|it| it.iter().all(|it| *it > 0)).count();
    }
    assert!(moved > 0, "no VM was used by both domains, so the histories cover no move");
    println!("{moved} VMs were used by both domains, one after the other");
}
