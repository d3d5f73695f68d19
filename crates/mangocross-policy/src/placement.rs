//! Which fabric domain a group goes to.

use mangocross_types::FabricDomain;
use mangocross_types::GroupSize;
use mangocross_types::PolicyWeights;

/// Idle VMs worth keeping for each group of a domain, so that a lost member is
/// replaced at once.
const SPARES_FOR_EACH_GROUP: f64 = 1.0 / 4.0;

/// Room in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRoom {
    /// The fabric domain.
    pub domain: FabricDomain,
    /// VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// How many of the idle VMs hold the group's weights.
    pub idle_with_weights: u16,
    /// Groups placed in the domain.
    pub groups: u16,
}

impl DomainRoom {
    /// Returns a domain with idle VMs and nothing else known of it.
    pub fn new(domain: FabricDomain, idle_vms: u16) -> Self {
        Self { domain, idle_vms, idle_with_weights: 0, groups: 0 }
    }

    /// Sets how many of the idle VMs hold the group's weights.
    #[must_use]
    pub fn idle_with_weights(mut self, vms: u16) -> Self {
        self.idle_with_weights = vms.min(self.idle_vms);
        self
    }

    /// Sets the number of groups placed in the domain.
    #[must_use]
    pub fn groups(mut self, groups: u16) -> Self {
        self.groups = groups;
        self
    }
}

/// Chooses the domain of a group, among those with enough idle VMs.
///
/// Domains that keep their spares after the placement come first, by as much as
/// downtime weighs against stranded accelerators; then those with fewer weights
/// to load; then the least room that is enough, so that large room stays whole.
pub fn choose_domain<'a>(
    size: GroupSize,
    rooms: &'a [DomainRoom],
    weights: &PolicyWeights,
) -> Option<&'a FabricDomain> {
    let enough = rooms.iter().filter(|it| it.idle_vms >= size.0);
    let order = |it: &&DomainRoom| {
        (
            spares_lacking(size, it, weights),
            size.0.saturating_sub(it.idle_with_weights),
            it.idle_vms,
            it.domain.clone(),
        )
    };
    enough.min_by_key(order).map(|it| &it.domain)
}

/// Returns how many spares the domain lacks once the group is placed there.
fn spares_lacking(size: GroupSize, room: &DomainRoom, weights: &PolicyWeights) -> u16 {
    let wanted = spare_target(room.groups + 1, weights);
    wanted.saturating_sub(room.idle_vms - size.0)
}

/// Returns the number of spares that a domain with so many groups should keep.
///
/// Where stranded accelerators weigh more than downtime, none is kept back.
pub(crate) fn spare_target(groups: u16, weights: &PolicyWeights) -> u16 {
    if weights.group_downtime < weights.stranded_accelerator {
        return 0;
    }
    (f64::from(groups) * SPARES_FOR_EACH_GROUP).ceil() as u16
}
