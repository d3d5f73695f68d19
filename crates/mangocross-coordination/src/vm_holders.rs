//! Which fabric domains hold which VM.
//!
//! The platform may list a VM in one fabric domain first and in another one
//! later, and two coordinators may hold lists of different ages. So a VM is
//! registered in a domain's assignment first, the assignments of all domains
//! are read after that, and the VM is used only if no other domain holds it.
//! Of two domains that register the same VM, the one that wrote later reads the
//! other's entry, so at most one of them uses the VM. A domain drops a VM only by
//! another write of its assignment, which a use decided before fails to replace.

use std::collections::HashMap;
use std::time::Instant;

use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::VmId;

/// Which fabric domains hold which VM, as one read of all assignments showed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmHolders {
    asked_at: Option<Instant>,
    domains_by_vm: HashMap<VmId, Vec<FabricDomain>>,
}

impl VmHolders {
    /// Returns what a read of all assignments, sent at `asked_at`, showed.
    pub fn new<'a>(
        assignments: impl IntoIterator<Item = &'a DomainAssignment>,
        asked_at: Instant,
    ) -> Self {
        let mut domains_by_vm: HashMap<VmId, Vec<FabricDomain>> = HashMap::new();
        for assignment in assignments {
            for vm in assignment.held_vms() {
                let domains = domains_by_vm.entry(vm.clone()).or_default();
                if !domains.contains(&assignment.domain) {
                    domains.push(assignment.domain.clone());
                }
            }
        }
        Self { asked_at: Some(asked_at), domains_by_vm }
    }

    /// Returns whether the assignments were read after `at`.
    pub fn is_read_since(&self, at: Instant) -> bool {
        self.asked_at.is_some_and(|it| it >= at)
    }

    /// Returns whether another fabric domain than `own` holds a VM.
    pub fn is_held_elsewhere(&self, vm: &VmId, own: &FabricDomain) -> bool {
        self.domains_by_vm.get(vm).is_some_and(|it| it.iter().any(|domain| domain != own))
    }
}
