//! Preferred owners of fabric domains, and the owners that each gateway has to poll.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;

use mangocross_coordination::groups_for_gateway;
use mangocross_coordination::preferred_owner;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Caches the preferred owners of fabric domains until the live coordinators change.
#[derive(Debug, Default)]
pub(crate) struct OwnerCache(Mutex<CachedOwners>);

#[derive(Debug, Default)]
struct CachedOwners {
    live: Vec<VmId>,
    by_domain: HashMap<FabricDomain, VmId>,
}

impl OwnerCache {
    /// Returns the preferred owner of a domain among the live coordinators.
    pub(crate) fn owner(&self, domain: &FabricDomain, live: &[VmId]) -> Option<VmId> {
        let mut owners = lock(&self.0);
        if owners.live != live {
            *owners = CachedOwners { live: live.to_vec(), by_domain: HashMap::new() };
        }
        if let Some(owner) = owners.by_domain.get(domain) {
            return Some(owner.clone());
        }
        let owner = preferred_owner(domain.as_str(), live)?;
        owners.by_domain.insert(domain.clone(), owner.clone());
        Some(owner.clone())
    }
}

/// Caches the groups whose owners each gateway polls, until the configuration changes.
#[derive(Debug, Default)]
pub(crate) struct ChosenGroupCache(Mutex<ChosenGroups>);

#[derive(Debug, Default)]
struct ChosenGroups {
    revision: Revision,
    by_gateway: HashMap<VmId, HashSet<GroupId>>,
}

impl ChosenGroupCache {
    fn groups_for(&self, state: &CoordinatorState, gateway: &VmId) -> HashSet<GroupId> {
        let revision = state.node.in_force_revision();
        let configuration = state.configuration();
        let mut chosen = lock(&self.0);
        if chosen.revision != revision {
            *chosen = ChosenGroups { revision, by_gateway: HashMap::new() };
        }
        let choose =
            || groups_for_gateway(&configuration.groups, &configuration.entry_vms, gateway);
        let groups = chosen.by_gateway.entry(gateway.clone());
        groups.or_insert_with(|| choose().into_iter().cloned().collect()).clone()
    }
}

/// Returns the addresses of the coordinators that issue health leases for the groups chosen for a
/// gateway.
pub(crate) fn owner_addresses(state: &CoordinatorState, gateway: &VmId) -> Vec<SocketAddr> {
    let groups = state.chosen_groups.groups_for(state, gateway);
    let live = state.live_coordinators();
    let domains = domains_of(state, &groups);
    let owners: BTreeSet<VmId> =
        domains.iter().filter_map(|it| state.owners.owner(it, &live)).collect();
    let peers = lock(&state.peers);
    let address = |it: &VmId| match *it == state.settings.vm {
        true => Some(state.settings.listen),
        false => peers.get(it).map(|it| it.address),
    };
    owners.iter().filter_map(address).collect()
}

/// Returns the domains that the groups are assigned to, placed in or moving from.
fn domains_of(state: &CoordinatorState, groups: &HashSet<GroupId>) -> BTreeSet<FabricDomain> {
    let placements = lock(&state.placements).0.clone();
    let placed = placements.entries.into_iter().filter(|it| groups.contains(&it.group));
    let mut domains: BTreeSet<FabricDomain> =
        placed.flat_map(|it| [Some(it.domain), it.moving_from]).flatten().collect();
    let assignments = lock(&state.assignments);
    let assigned = assignments
        .iter()
        .filter(|(_, it)| it.assignment.groups.iter().any(|it| groups.contains(&it.group)));
    domains.extend(assigned.map(|(domain, _)| domain.clone()));
    domains
}
