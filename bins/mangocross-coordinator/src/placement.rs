//! Decides in which fabric domain each group belongs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::preferred_owner;
use mangocross_policy::DomainRoom;
use mangocross_policy::choose_domain;
use mangocross_types::DesiredState;
use mangocross_types::FabricDomain;
use mangocross_types::GroupSpec;
use mangocross_types::Placement;
use mangocross_types::Placements;
use mangocross_types::PolicyWeights;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::peers::summaries;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between looks at the placements.
const TICK: Duration = Duration::from_millis(500);

/// Looks after the placements again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        if let Err(error) = look_after(state) {
            log::warn!("placements were not read or written: {error}");
        }
        thread::sleep(TICK);
    }
}

fn look_after(state: &CoordinatorState) -> Result<(), StoreError> {
    let store = state.store.as_ref();
    let (read, revision) = read_json::<Placements>(store, Placements::KEY)?;
    let read = read.unwrap_or_default();
    *lock(&state.placements) = (read.clone(), revision);
    let live = state.live_coordinators();
    if preferred_owner(Placements::KEY, &live) != Some(&state.settings.vm) {
        return Ok(());
    }
    let next = decide(state, &read);
    if next != read && swap_json(store, Placements::KEY, revision, &next)?.is_some() {
        log::info!("placements changed");
    }
    Ok(())
}

fn decide(state: &CoordinatorState, current: &Placements) -> Placements {
    let configuration = state.configuration();
    let mut rooms = all_rooms(state);
    let mut next = Placements::default();
    let wanted = configuration.groups.iter().filter(|it| it.desired != DesiredState::Stopped);
    for spec in wanted {
        if let Some(domain) = place(spec, current, &mut rooms, &configuration.policy) {
            next.entries.push(Placement { group: spec.id.clone(), domain });
        }
    }
    next
}

fn place(
    spec: &GroupSpec,
    current: &Placements,
    rooms: &mut BTreeMap<FabricDomain, DomainRoom>,
    weights: &PolicyWeights,
) -> Option<FabricDomain> {
    if spec.domain.is_some() {
        return spec.domain.clone();
    }
    if let Some(domain) = current.domain_of(&spec.id) {
        return Some(domain.clone());
    }
    let free: Vec<DomainRoom> = rooms.values().cloned().collect();
    let domain = choose_domain(spec.size, &free, weights)?.clone();
    let room = rooms.get_mut(&domain)?;
    room.idle_vms = room.idle_vms.saturating_sub(spec.size.0);
    Some(domain)
}

fn all_rooms(state: &CoordinatorState) -> BTreeMap<FabricDomain, DomainRoom> {
    let mut all = summaries(state);
    for peer in lock(&state.peers).values() {
        all.extend(peer.domains.iter().cloned());
    }
    let rooms =
        all.into_iter().map(|it| (it.domain.clone(), DomainRoom::new(it.domain, it.idle_vms)));
    rooms.collect()
}
