//! A snapshot of the state of one fabric domain.

use std::sync::Arc;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::DomainInput;
use mangocross_coordination::EngineVm;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::VmHolders;
use mangocross_coordination::incomplete_groups;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Placements;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::state::CoordinatorState;
use crate::state::lock;

/// A snapshot of this coordinator's state of one fabric domain.
pub(crate) struct DomainView<'a> {
    state: &'a CoordinatorState,
    pub(crate) held: AssignmentCopy,
    pub(crate) engines: Vec<EngineVm>,
    configuration: Arc<Configuration>,
    placements: Placements,
    probes: ProbeTable,
    holders: Arc<VmHolders>,
    pub(crate) now: Instant,
}

impl<'a> DomainView<'a> {
    /// Returns the view, or `None` while the assignment, the configuration or the placements are
    /// unknown.
    ///
    /// A coordinator that has just started has none of them, and must not treat groups as
    /// unwanted.
    pub(crate) fn snapshot(state: &'a CoordinatorState, domain: &FabricDomain) -> Option<Self> {
        let held = lock(&state.assignments).get(domain).cloned()?;
        let (placements, placements_revision) = lock(&state.placements).clone();
        if state.node.in_force_revision() == Revision(0) || placements_revision == Revision(0) {
            return None;
        }
        let engines = lock(&state.engines_by_domain).get(domain).cloned().unwrap_or_default();
        let probes = lock(&state.probes).for_vms(engines.iter().map(|it| &it.vm));
        let holders = Arc::clone(&lock(&state.vm_holders));
        let configuration = state.configuration();
        let now = state.clock.now();
        Some(Self { state, held, engines, configuration, placements, probes, holders, now })
    }

    /// Returns the input for reconciling the domain.
    pub(crate) fn input(&self, authority: OrderAuthority) -> DomainInput<'_> {
        DomainInput {
            copy: &self.held,
            configuration: &self.configuration,
            placements: &self.placements,
            engines: &self.engines,
            probes: &self.probes,
            holders: &self.holders,
            authority,
            now: self.now,
            probe_ttl: self.state.probe_ttl(),
            stall_limit: self.state.stall_limit(),
            lost_after: self.state.lost_after(),
            lost_after_with_spare: self.state.lost_after_with_spare(),
            order_lifetime: self.state.order_lifetime(),
            repair_times: self.state.repair_times(&self.configuration.policy),
        }
    }

    /// Returns a VM's newest report, if it is no older than the probe TTL.
    pub(crate) fn report(&self, vm: &VmId) -> Option<&BackendReport> {
        self.probes.report(vm, self.now, self.state.probe_ttl())
    }

    /// Returns whether the domain has too few VMs to complete a group.
    pub(crate) fn is_stuck(&self, group: &GroupId) -> bool {
        incomplete_groups(&self.input(OrderAuthority::None)).contains(group)
    }

    /// Returns which orders this process is authorized to give.
    pub(crate) fn authority(&self) -> OrderAuthority {
        self.held.authority(
            &self.state.settings.vm,
            self.state.process_id,
            self.configuration.fence_mode,
            self.state.order_lifetime(),
            self.now,
        )
    }
}
