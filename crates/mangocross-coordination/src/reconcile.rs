//! The next steps of a fabric domain's owner.

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

use crate::AssignmentCopy;
use crate::Completeness;
use crate::EngineVm;
use crate::OrderAuthority;
use crate::ProbeTable;
use crate::VmHolders;
use crate::group_lifecycle;
use crate::orders;

/// The input of [`reconcile`].
#[derive(Debug, Clone, Copy)]
pub struct DomainInput<'a> {
    /// The assignment as last read or written.
    pub copy: &'a AssignmentCopy,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// The fabric domains in which groups are placed.
    pub placements: &'a Placements,
    /// Engines of the fabric domain.
    pub engines: &'a [EngineVm],
    /// Results of the newest probes.
    pub probes: &'a ProbeTable,
    /// Which fabric domains hold which VM.
    pub holders: &'a VmHolders,
    /// Which orders may be given.
    pub authority: OrderAuthority,
    /// Time at which the steps are determined, on the monotonic clock.
    pub now: Instant,
    /// How long an answer to a probe is valid.
    pub probe_ttl: Duration,
    /// How long a member with running requests may make no progress.
    pub stall_limit: Duration,
    /// How long a VM may fail all probes before it is replaced.
    pub lost_after: Duration,
    /// The same if an idle VM that has the weights can replace it.
    pub lost_after_with_spare: Duration,
    /// Longest time for which an order can be in flight.
    pub order_lifetime: Duration,
    /// Times on which the choice between repairing and waiting is based.
    pub repair_times: RepairTimes,
}

/// A step of a fabric domain's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReconcileStep {
    /// Write this assignment by compare-and-swap before anything else.
    Swap(DomainAssignment),
    /// Give an order to a VM.
    Order {
        /// VM whose engine gets the order.
        vm: VmId,
        /// What the engine is to do.
        kind: OrderKind,
    },
}

/// Returns the next steps: one swap or any number of orders.
///
/// A swap is returned alone, since orders are derived from the stored assignment.
pub fn reconcile(input: &DomainInput<'_>) -> Vec<ReconcileStep> {
    match group_lifecycle::next_assignment(input) {
        Some(next) => vec![ReconcileStep::Swap(next)],
        None => orders::orders(input),
    }
}

impl<'a> DomainInput<'a> {
    /// Returns the assignment as last read or written.
    pub(crate) fn assignment(&self) -> &'a DomainAssignment {
        &self.copy.assignment
    }

    /// Returns when all orders given before a group entered its phase have expired.
    pub(crate) fn prior_orders_expired_at(&self, group: &GroupAssignment) -> Option<Instant> {
        self.copy.phase_seen_at(group).map(|it| it + self.order_lifetime)
    }

    /// Returns a VM's newest report, if its newest probe was answered and the report is still
    /// valid.
    pub fn report(&self, vm: &VmId) -> Option<&'a BackendReport> {
        self.probes.report(vm, self.now, self.probe_ttl)
    }

    pub(crate) fn engine(&self, vm: &VmId) -> Option<&'a EngineVm> {
        self.engines.iter().find(|it| it.vm == *vm)
    }

    /// Returns whether the platform, the operators or the VM itself report that it is leaving.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        let reports_leaving = self.report(vm).is_some_and(|it| it.state == EngineState::Leaving);
        reports_leaving || self.engine(vm).is_some_and(|it| it.leaving)
    }

    /// Returns whether a VM is lost: unknown here, or failing its probes for too long.
    pub fn is_lost(&self, vm: &VmId) -> bool {
        self.engine(vm).is_none() || self.probes.is_lost(vm, self.lost_after)
    }

    /// Returns which members of a group are missing, if any.
    pub fn completeness(&self, group: &GroupAssignment) -> Completeness {
        self.probes.completeness(group, self.now, self.probe_ttl, self.stall_limit)
    }

    pub(crate) fn is_assigned(&self, vm: &VmId) -> bool {
        self.assignment().groups.iter().any(|it| it.members.contains(vm))
    }

    /// Returns whether only this domain holds a VM, so that it may be used here.
    pub(crate) fn may_use(&self, vm: &VmId) -> bool {
        let is_checked = |at| self.holders.is_read_since(at);
        self.copy.vm_held_since(vm).is_some_and(is_checked)
            && !self.holders.is_held_elsewhere(vm, &self.assignment().domain)
    }

    /// Returns the VMs that may be used here, report that they are in no group, and are assigned to
    /// none.
    ///
    /// VMs that preload are included, since a load for a group replaces a preload.
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
