//! Chooses the fabric domain of a group.

use mangocross_types::FabricDomain;
use mangocross_types::GroupSize;

/// Idle capacity of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Fabric domain that the numbers apply to.
    pub domain: FabricDomain,
    /// VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// How many of the idle VMs hold the group's weights.
    pub idle_with_weights: u16,
}

impl DomainCapacity {
    /// Returns the capacity of a domain whose idle VMs hold none of the weights.
    pub fn new(domain: FabricDomain, idle_vms: u16) -> Self {
        Self { domain, idle_vms, idle_with_weights: 0 }
    }

    /// Sets how many of the idle VMs hold the group's weights.
    #[must_use]
    pub fn idle_with_weights(mut self, vms: u16) -> Self {
        self.idle_with_weights = vms.min(self.idle_vms);
        self
    }
}

/// Chooses the domain of a group, among those with enough idle VMs.
///
/// Domains with fewer weights to load come first, then the smallest sufficient
/// capacity (best fit), so that large capacity is not fragmented. Large free
/// capacity is worth more than a spare in each domain: it can take any group that
/// loses a member.
pub fn choose_domain(size: GroupSize, capacities: &[DomainCapacity]) -> Option<&FabricDomain> {
    let enough = capacities.iter().filter(|it| it.idle_vms >= size.0);
    let order = |it: &&DomainCapacity| {
        (size.0.saturating_sub(it.idle_with_weights), it.idle_vms, it.domain.clone())
    };
    enough.min_by_key(order).map(|it| &it.domain)
}
