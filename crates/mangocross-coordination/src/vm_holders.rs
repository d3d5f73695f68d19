//! Which fabric domains hold which VM.
//!
//! The platform may list a VM first in one fabric domain and later in another, and two coordinators
//! may hold lists of different ages. A VM is therefore first registered in a domain's assignment,
//! then the assignments of all domains are read, and the VM is used only if no other domain holds
//! it. If two domains register the same VM, the one that wrote later reads the other's entry, so at
//! most one of them uses the VM. A domain drops a VM only by writing its assignment, so any write
//! based on an older revision fails.

use std::collections::HashMap;
use std::time::Instant;

use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::VmId;

/// Which fabric domains hold which VM, according to one read of all assignments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmHolders {
    sent_at: Option<Instant>,
    domains_by_vm: HashMap<VmId, Vec<FabricDomain>>,
}

impl VmHolders {
    /// Returns the holders according to a read of all assignments that was sent at `sent_at`.
    pub fn new<'a>(
        assignments: impl IntoIterator<Item = &'a DomainAssignment>,
        sent_at: Instant,
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
        Self { sent_at: Some(sent_at), domains_by_vm }
    }

    /// Returns whether the assignments were read at or after `at`.
    pub fn is_read_since(&self, at: Instant) -> bool {
        self.sent_at.is_some_and(|it| it >= at)
    }

    /// Returns whether a fabric domain other than `own` holds a VM.
    pub fn is_held_elsewhere(&self, vm: &VmId, own: &FabricDomain) -> bool {
        self.domains_by_vm.get(vm).is_some_and(|it| it.iter().any(|domain| domain != own))
    }
}
