//! Decides in which fabric domain each group belongs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::DomainState;
use mangocross_coordination::PlacementPlanner;
use mangocross_coordination::preferred_owner;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::Placements;
use mangocross_types::Revision;
use peer_entry::DomainSummary;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::peers::summaries;
use crate::state::CoordinatorState;
use crate::state::LivePeer;
use crate::state::lock;

/// Time between looks at the placements.
const TICK: Duration = Duration::from_millis(500);

/// Looks after the placements again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let mut planner = PlacementPlanner::new(state.probe_ttl());
    loop {
        if let Err(error) = look_after(state, &mut planner) {
            log::warn!("placements were not read or written: {error}");
        }
        thread::sleep(TICK);
    }
}

fn look_after(state: &CoordinatorState, planner: &mut PlacementPlanner) -> Result<(), StoreError> {
    let store = state.store.as_ref();
    let (read, revision) = read_json::<Placements>(store, Placements::KEY)?;
    let read = read.unwrap_or_default();
    *lock(&state.placements) = (read.clone(), revision);
    let live = state.live_coordinators();
    if preferred_owner(Placements::KEY, &live) != Some(&state.settings.vm) {
        return Ok(());
    }
    if state.freshness().in_force() == Revision(0) {
        return Ok(());
    }
    let next = decide(state, planner, &read);
    let is_first = revision == Revision(0);
    if (is_first || next != read) && swap_json(store, Placements::KEY, revision, &next)?.is_some() {
        log::info!("placements changed");
    }
    Ok(())
}

fn decide(
    state: &CoordinatorState,
    planner: &mut PlacementPlanner,
    current: &Placements,
) -> Placements {
    let assignments: Vec<DomainAssignment> =
        lock(&state.assignments).values().map(|it| it.assignment.clone()).collect();
    let (configuration, domains) = (state.configuration(), domain_states(state));
    planner.plan(&configuration, current, &assignments, &domains, state.clock.now())
}

/// Returns the newest word on each fabric domain from its prober.
fn domain_states(state: &CoordinatorState) -> Vec<DomainState> {
    let now = state.clock.now();
    let peers: Vec<LivePeer> = lock(&state.peers).values().cloned().collect();
    let live = peers.iter().filter(|it| now.duration_since(it.asked_at) < state.probe_ttl());
    let others = live.flat_map(|it| it.domains.iter().cloned());
    let mut by_domain: BTreeMap<FabricDomain, DomainState> = BTreeMap::new();
    for it in others.chain(summaries(state)) {
        let DomainSummary { domain, idle_vms, stuck_groups, .. } = it;
        by_domain.insert(domain.clone(), DomainState { domain, idle_vms, stuck_groups });
    }
    by_domain.into_values().collect()
}
