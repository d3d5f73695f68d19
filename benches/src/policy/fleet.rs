//! Simulates a fleet of VMs and groups under faults.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::PolicyParameters;
use mangocross_types::VmId;

use super::PolicyVariant;
use super::Scenario;
use super::Timeline;
use super::assignment;
use super::case::Fault;
use super::case::FaultKind;
use super::case::SECOND_MS;

/// Time of one load from the weight store, in milliseconds.
pub(crate) const LOAD_MS: u64 = 60 * SECOND_MS;
/// Time until a VM that holds the weights is ready in a new incarnation.
pub(crate) const WARM_LOAD_MS: u64 = 10 * SECOND_MS;
/// Typical duration of a VM restart.
pub(crate) const RESTART_MS: u64 = 110 * SECOND_MS;
/// Time until a missing or slow member is detected.
const DETECTION_MS: u64 = SECOND_MS;
/// Period in which a failure of a VM counts as recent.
const RECENT_FAILURE_MS: u64 = 3_600 * SECOND_MS;
/// Time between decisions while the fleet is not steady.
const TICK_MS: u64 = SECOND_MS;

/// Outcome of a fleet's run.
#[derive(Debug, Clone)]
pub struct FleetOutcome {
    /// Seconds during which a group that should serve did not, over all groups.
    pub group_downtime_s: f64,
    /// Seconds of service lost to slow members, over all groups.
    pub slow_s: f64,
    /// Seconds of healthy accelerators in no complete group.
    pub stranded_accelerator_s: f64,
    /// Groups re-formed after the start.
    pub moves: u32,
    /// Groups that fit in no fabric domain at the start.
    pub unplaced_groups: usize,
    /// Service of each group.
    pub timelines: Vec<Timeline>,
}

/// A VM with one accelerator.
#[derive(Debug, Clone)]
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) domain: usize,
    pub(crate) back_at_ms: Option<u64>,
    pub(crate) announced_back_ms: Option<u64>,
    pub(crate) down_since_ms: u64,
    pub(crate) has_weights: bool,
    pub(crate) group: Option<usize>,
    pub(crate) ready: bool,
    pub(crate) loading: Option<WeightLoad>,
    pub(crate) slow: Option<SlowPeriod>,
    pub(crate) failed_at_ms: Vec<u64>,
}

/// A load of weights in progress on a VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WeightLoad {
    pub(crate) until_ms: u64,
    pub(crate) from_store: bool,
}

/// A period in which a VM is slow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowPeriod {
    pub(crate) slowdown: f64,
    pub(crate) since_ms: u64,
    pub(crate) until_ms: u64,
}

impl Vm {
    pub(crate) fn is_up(&self) -> bool {
        self.back_at_ms.is_none()
    }

    /// Returns whether it loads weights without being a member of a group.
    pub(crate) fn is_preloading(&self) -> bool {
        self.group.is_none() && self.loading.is_some()
    }

    /// Returns whether it has been down long enough to be detected.
    pub(crate) fn is_detected_missing(&self, now_ms: u64) -> bool {
        !self.is_up() && now_ms >= self.down_since_ms + DETECTION_MS
    }

    pub(crate) fn recent_failures(&self, now_ms: u64) -> u32 {
        let recent = |it: &&u64| now_ms - **it <= RECENT_FAILURE_MS;
        self.failed_at_ms.iter().filter(recent).count() as u32
    }

    pub(crate) fn detected_slowdown(&self, now_ms: u64) -> Option<SlowPeriod> {
        self.slow.filter(|it| now_ms >= it.since_ms + DETECTION_MS)
    }
}

/// A group.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) size: u16,
    pub(crate) start_ms: u64,
    pub(crate) domain: Option<usize>,
    pub(crate) members: Vec<usize>,
    pub(crate) down_since_ms: u64,
}

/// State of the simulated fleet.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) variant: PolicyVariant,
    pub(crate) policy: PolicyParameters,
    pub(crate) domains: Vec<FabricDomain>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) groups: Vec<Group>,
    pub(crate) now_ms: u64,
    pub(crate) start: Instant,
    pub(crate) moves: u32,
}

impl Fleet {
    fn new(scenario: &Scenario, variant: PolicyVariant, policy: &PolicyParameters) -> Self {
        let domain = |it: usize| format!("domain-{it:02}").parse().expect("a valid id");
        let group = |(number, (size, start_ms)): (usize, (&u16, &u64))| Group {
            id: format!("group-{number:03}").parse().expect("a valid id"),
            size: *size,
            start_ms: *start_ms,
            domain: None,
            members: Vec::new(),
            down_since_ms: 0,
        };
        let groups = scenario.group_sizes.iter().zip(&scenario.group_starts_ms);
        let mut fleet = Self {
            variant,
            policy: policy.clone(),
            domains: (0..scenario.domains).map(domain).collect(),
            vms: (0..scenario.vms()).map(|it| vm(it, it / scenario.vms_in_domain)).collect(),
            groups: groups.enumerate().map(group).collect(),
            now_ms: 0,
            start: Instant::now(),
            moves: 0,
        };
        assignment::place_all(&mut fleet);
        for vm in fleet.vms.iter_mut().filter(|it| it.group.is_some()) {
            vm.ready = true;
            vm.has_weights = true;
        }
        fleet
    }

    /// Converts a simulated time to an instant.
    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    /// Returns whether operators have started a group.
    pub(crate) fn is_started(&self, group: &Group) -> bool {
        group.start_ms <= self.now_ms
    }

    pub(crate) fn serves(&self, group: &Group) -> bool {
        let ready = |it: &usize| self.vms[*it].is_up() && self.vms[*it].ready;
        group.members.len() == usize::from(group.size) && group.members.iter().all(ready)
    }

    fn slowdown(&self, group: &Group) -> f64 {
        let slow = group.members.iter().filter_map(|it| self.vms[*it].slow);
        slow.map(|it| it.slowdown).fold(1.0, f64::max)
    }

    /// Forms a group with these members; all of them restart.
    pub(crate) fn form(&mut self, group: usize, domain: usize, members: Vec<usize>) {
        self.release(group);
        for vm in &members {
            self.vms[*vm].group = Some(group);
        }
        self.groups[group].domain = Some(domain);
        self.groups[group].members = members;
        self.moves += 1;
    }

    /// Releases all members of a group.
    pub(crate) fn release(&mut self, group: usize) {
        for vm in std::mem::take(&mut self.groups[group].members) {
            self.vms[vm].group = None;
            self.vms[vm].ready = false;
            self.vms[vm].loading = None;
        }
    }

    /// Returns the VMs of a domain that are up and in no group.
    pub(crate) fn idle(&self, domain: usize) -> Vec<usize> {
        let idle = |(_, it): &(usize, &Vm)| it.domain == domain && it.is_up() && it.group.is_none();
        self.vms.iter().enumerate().filter(idle).map(|(number, _)| number).collect()
    }

    fn apply(&mut self, fault: &Fault) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[fault.vm];
        if !vm.is_up() {
            return;
        }
        if !matches!(fault.kind, FaultKind::Restart { announced: true, .. }) {
            vm.failed_at_ms.push(now_ms);
        }
        if let FaultKind::Straggle { slowdown, for_ms } = fault.kind {
            vm.slow = Some(SlowPeriod { slowdown, since_ms: now_ms, until_ms: now_ms + for_ms });
            return;
        }
        vm.ready = false;
        vm.loading = None;
        vm.slow = None;
        vm.down_since_ms = now_ms;
        vm.announced_back_ms = None;
        match fault.kind {
            FaultKind::Fail { down_ms } => {
                vm.back_at_ms = Some(now_ms + down_ms);
                vm.has_weights = false;
            }
            FaultKind::Restart { down_ms, announced } => {
                vm.back_at_ms = Some(now_ms + down_ms);
                vm.announced_back_ms = announced.then_some(now_ms + RESTART_MS);
            }
            FaultKind::Straggle { .. } => {}
        }
    }

    fn advance_vms(&mut self) {
        let now_ms = self.now_ms;
        for vm in &mut self.vms {
            vm.back_at_ms = vm.back_at_ms.filter(|it| *it > now_ms);
            vm.slow = vm.slow.filter(|it| it.until_ms > now_ms);
            if vm.loading.is_some_and(|it| it.until_ms <= now_ms) {
                vm.loading = None;
                vm.ready = vm.group.is_some();
                vm.has_weights = true;
            }
        }
    }

    /// Starts loads: at once on VMs that hold the weights, on others as far as the weight store's
    /// limit on concurrent loads allows.
    fn start_loads(&mut self) {
        let now_ms = self.now_ms;
        let to_load =
            |it: &Vm| it.is_up() && it.group.is_some() && !it.ready && it.loading.is_none();
        for vm in self.vms.iter_mut().filter(|it| to_load(it) && it.has_weights) {
            vm.loading = Some(WeightLoad { until_ms: now_ms + WARM_LOAD_MS, from_store: false });
        }
        let waiting: Vec<usize> =
            (0..self.vms.len()).filter(|it| to_load(&self.vms[*it])).collect();
        let loads = assignment::loads(self, &waiting);
        let left = waiting.len() - loads.len();
        for vm in loads {
            self.fetch(vm);
        }
        match left {
            0 => assignment::preloads(self).into_iter().for_each(|it| self.fetch(it)),
            left => self.cancel_preloads(left),
        }
    }

    fn fetch(&mut self, vm: usize) {
        let until_ms = self.now_ms + LOAD_MS;
        self.vms[vm].loading = Some(WeightLoad { until_ms, from_store: true });
    }

    /// Cancels up to `loads` preloads, so that as many loads can start at the next tick.
    fn cancel_preloads(&mut self, loads: usize) {
        let preloading = self.vms.iter_mut().filter(|it| it.is_preloading());
        preloading.take(loads).for_each(|it| it.loading = None);
    }

    fn is_steady(&self) -> bool {
        !self.vms.iter().any(Vm::is_preloading) && self.groups_are_steady()
    }

    fn groups_are_steady(&self) -> bool {
        let mut started = self.groups.iter().filter(|it| self.is_started(it));
        started.all(|it| self.serves(it) && self.slowdown(it) == 1.0)
    }

    fn next_ms(&self, faults: &[Fault], horizon_ms: u64) -> u64 {
        if !self.is_steady() {
            return (self.now_ms + TICK_MS).min(horizon_ms);
        }
        let returns = self.vms.iter().filter_map(|it| it.back_at_ms);
        let starts = self.groups.iter().map(|it| it.start_ms).filter(|it| *it > self.now_ms);
        let next = returns.chain(starts).chain(faults.first().map(|it| it.at_ms)).min();
        next.unwrap_or(horizon_ms).clamp(self.now_ms + 1, horizon_ms)
    }
}

fn vm(number: usize, domain: usize) -> Vm {
    Vm {
        id: format!("vm-{number:04}").parse().expect("a valid id"),
        domain,
        back_at_ms: None,
        announced_back_ms: None,
        down_since_ms: 0,
        has_weights: false,
        group: None,
        ready: false,
        loading: None,
        slow: None,
        failed_at_ms: Vec::new(),
    }
}

/// Runs a fleet through its faults.
pub fn run_fleet(
    scenario: &Scenario,
    variant: PolicyVariant,
    policy: &PolicyParameters,
) -> FleetOutcome {
    let mut fleet = Fleet::new(scenario, variant, policy);
    fleet.moves = 0;
    let mut outcome = FleetOutcome {
        group_downtime_s: 0.0,
        slow_s: 0.0,
        stranded_accelerator_s: 0.0,
        moves: 0,
        unplaced_groups: fleet
            .groups
            .iter()
            .filter(|it| fleet.is_started(it) && it.members.is_empty())
            .count(),
        timelines: vec![Timeline::default(); fleet.groups.len()],
    };
    let mut faults = scenario.faults.as_slice();
    while fleet.now_ms < scenario.horizon_ms {
        fleet.advance_vms();
        while let Some((fault, rest)) =
            faults.split_first().filter(|(it, _)| it.at_ms <= fleet.now_ms)
        {
            fleet.apply(fault);
            faults = rest;
        }
        let outage = scenario.store_outage_ms;
        if !outage.is_some_and(|(from, until)| (from..until).contains(&fleet.now_ms)) {
            assignment::repair_all(&mut fleet);
            assignment::place_all(&mut fleet);
        }
        fleet.start_loads();
        let next_ms = fleet.next_ms(faults, scenario.horizon_ms);
        accumulate(&mut fleet, &mut outcome, next_ms);
        fleet.now_ms = next_ms;
    }
    outcome.moves = fleet.moves;
    outcome
}

fn accumulate(fleet: &mut Fleet, outcome: &mut FleetOutcome, next_ms: u64) {
    let span_s = (next_ms - fleet.now_ms) as f64 / SECOND_MS as f64;
    let mut serving_vms = 0;
    for number in 0..fleet.groups.len() {
        let group = &fleet.groups[number];
        let serves = fleet.serves(group);
        let slowdown = fleet.slowdown(group);
        outcome.timelines[number].record(fleet.now_ms, if serves { slowdown } else { 0.0 });
        if serves {
            serving_vms += group.members.len();
            outcome.slow_s += span_s * (1.0 - 1.0 / slowdown);
            fleet.groups[number].down_since_ms = next_ms;
        } else if fleet.is_started(group) {
            outcome.group_downtime_s += span_s;
        }
    }
    let healthy = fleet.vms.iter().filter(|it| it.is_up()).count();
    outcome.stranded_accelerator_s += span_s * (healthy - serving_vms) as f64;
}
