//! Which fabric domain a group goes to.

use mangocross_types::FabricDomain;
use mangocross_types::GroupSize;

/// Room in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRoom {
    /// The fabric domain.
    pub domain: FabricDomain,
    /// VMs that answer probes and are in no group.
    pub idle_vms: u16,
}

/// Chooses the domain with the least room that is enough, so that large room stays whole.
pub fn choose_domain(size: GroupSize, rooms: &[DomainRoom]) -> Option<&FabricDomain> {
    let enough = rooms.iter().filter(|it| it.idle_vms >= size.0);
    enough.min_by_key(|it| (it.idle_vms, it.domain.clone())).map(|it| &it.domain)
}
