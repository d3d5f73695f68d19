//! What a fabric domain's owner does next.

use std::time::Duration;
use std::time::Instant;

use mangocross_policy::RepairTimes;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::DomainAssignment;
use mangocross_types::EngineState;
use mangocross_types::GroupAssignment;
use mangocross_types::OrderKind;
use mangocross_types::Placements;
use mangocross_types::VmId;

use crate::Completeness;
use crate::EngineVm;
use crate::HeldAssignment;
use crate::OrderAuthority;
use crate::ProbeTable;
use crate::VmHolders;
use crate::group_lifecycle;
use crate::orders;

/// Everything that the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct DomainInput<'a> {
    /// The assignment as last read or written.
    pub held: &'a HeldAssignment,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Where groups belong.
    pub placements: &'a Placements,
    /// Engines of the fabric domain.
    pub engines: &'a [EngineVm],
    /// The newest probes.
    pub probes: &'a ProbeTable,
    /// Which fabric domains hold which VM.
    pub holders: &'a VmHolders,
    /// Which orders may be given.
    pub authority: OrderAuthority,
    /// The time.
    pub now: Instant,
    /// How long an answer to a probe counts.
    pub probe_ttl: Duration,
    /// How long a member with work may make no progress.
    pub stall_limit: Duration,
    /// How long a VM may fail all probes before it is replaced.
    pub lost_after: Duration,
    /// The same where an idle VM that holds the weights can take its place.
    pub lost_after_with_spare: Duration,
    /// Longest time that an order can be under way.
    pub order_lifetime: Duration,
    /// Times that the choice between repair and waiting rests on.
    pub repair_times: RepairTimes,
}

/// A step of the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReconcileStep {
    /// Write this assignment by compare-and-swap before anything else.
    Swap(DomainAssignment),
    /// Give a VM an order.
    Order {
        /// The VM.
        vm: VmId,
        /// What is asked.
        kind: OrderKind,
    },
}

/// Decides the next steps: at most one swap, or any number of orders.
///
/// A swap comes alone, since orders follow from what is stored.
pub fn reconcile(input: &DomainInput<'_>) -> Vec<ReconcileStep> {
    match group_lifecycle::next_assignment(input) {
        Some(next) => vec![ReconcileStep::Swap(next)],
        None => orders::orders(input),
    }
}

impl<'a> DomainInput<'a> {
    /// Returns the assignment as last read or written.
    pub(crate) fn assignment(&self) -> &'a DomainAssignment {
        &self.held.assignment
    }

    /// Returns when every order has expired that was given before a group came to its phase.
    pub(crate) fn settled_at(&self, group: &GroupAssignment) -> Option<Instant> {
        self.held.phase_seen_at(group).map(|it| it + self.order_lifetime)
    }

    /// Returns a VM's newest report, if its newest probe was answered lately.
    pub fn report(&self, vm: &VmId) -> Option<&'a BackendReport> {
        self.probes.report(vm, self.now, self.probe_ttl)
    }

    pub(crate) fn engine(&self, vm: &VmId) -> Option<&'a EngineVm> {
        self.engines.iter().find(|it| it.vm == *vm)
    }

    /// Returns whether the platform, the operators or the VM itself say that it is leaving.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        let reports_leaving = self.report(vm).is_some_and(|it| it.state == EngineState::Leaving);
        reports_leaving || self.engine(vm).is_some_and(|it| it.leaving)
    }

    /// Returns whether a VM is gone: unknown here, or silent for too long.
    pub fn is_lost(&self, vm: &VmId) -> bool {
        self.engine(vm).is_none() || self.probes.is_lost(vm, self.lost_after)
    }

    /// Decides whether a group is complete.
    pub fn check(&self, group: &GroupAssignment) -> Completeness {
        self.probes.check(group, self.now, self.probe_ttl, self.stall_limit)
    }

    pub(crate) fn is_assigned(&self, vm: &VmId) -> bool {
        self.assignment().groups.iter().any(|it| it.members.contains(vm))
    }

    /// Returns whether a VM is this domain's alone, so that it may be used here.
    pub(crate) fn may_use(&self, vm: &VmId) -> bool {
        let is_checked = |at| self.holders.is_read_since(at);
        self.held.vm_held_at(vm).is_some_and(is_checked)
            && !self.holders.is_held_elsewhere(vm, &self.assignment().domain)
    }

    /// Returns the VMs that may be used here, say that they are in no group, and are in none.
    ///
    /// One that preloads is among them: a load for a group displaces a preload.
    pub fn idle_vms(&self) -> impl Iterator<Item = VmId> + use<'a> {
        let input = *self;
        let idle = move |it: &&EngineVm| {
            let report = input.report(&it.vm);
            let is_idle =
                |it: EngineState| matches!(it, EngineState::Idle | EngineState::Preloading);
            let reports_idle = report.is_some_and(|it| is_idle(it.state));
            let is_free = !input.is_assigned(&it.vm) && input.may_use(&it.vm);
            reports_idle && it.listed && !it.leaving && is_free
        };
        self.engines.iter().filter(idle).map(|it| it.vm.clone())
    }
}
