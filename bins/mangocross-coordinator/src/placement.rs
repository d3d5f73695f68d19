//! Plans the fabric domain of each group.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::DomainState;
use mangocross_coordination::PlacementPlanner;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::Placements;
use mangocross_types::Revision;
use peer_entry::DomainSummary;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::health_leases::summaries;
use crate::liveness::PeerStatus;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between updates of the placements.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Base interval between reads of the placements when no newer one is reported; see
/// `CoordinatorState::read_interval`.
const READ_INTERVAL: Duration = Duration::from_millis(5_000);
/// Average time between these reads of all coordinators together, if there are many.
const READ_SPACING: Duration = Duration::from_millis(20);

/// Reads and updates the placements periodically.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let mut planner = PlacementPlanner::new(state.probe_ttl());
    let mut read_at: Option<Instant> = None;
    loop {
        let now = state.clock.now();
        let interval = state.read_interval(READ_INTERVAL, READ_SPACING);
        let is_due = read_at.is_none_or(|it| now.duration_since(it) >= interval);
        if is_due || lock(&state.placements).1 < state.known_placements_revision.newest() {
            match read_placements(state) {
                Ok(()) => read_at = Some(now),
                Err(error) => log::warn!("placements were not read: {error}"),
            }
        }
        if let Err(error) = update_placements(state, &mut planner) {
            log::warn!("placements were not written: {error}");
        }
        thread::sleep(UPDATE_INTERVAL);
    }
}

fn read_placements(state: &CoordinatorState) -> Result<(), StoreError> {
    let (read, revision) = read_json::<Placements>(state.store.as_ref(), Placements::KEY)?;
    set_placements(state, read.unwrap_or_default(), revision);
    Ok(())
}

fn set_placements(state: &CoordinatorState, placements: Placements, revision: Revision) {
    *lock(&state.placements) = (placements, revision);
    state.known_placements_revision.record(revision);
}

fn update_placements(
    state: &CoordinatorState,
    planner: &mut PlacementPlanner,
) -> Result<(), StoreError> {
    if !state.is_placement_leader() {
        return Ok(());
    }
    if state.node.in_force_revision() == Revision(0) || !state.has_fresh_configuration() {
        return Ok(());
    }
    let (current, revision) = lock(&state.placements).clone();
    let next = plan_placements(state, planner, &current);
    let is_first = revision == Revision(0);
    if !is_first && next == current {
        return Ok(());
    }
    match swap_json(state.store.as_ref(), Placements::KEY, revision, &next)? {
        Some(written) => {
            log::info!("placements changed");
            set_placements(state, next, written);
            Ok(())
        }
        None => read_placements(state),
    }
}

fn plan_placements(
    state: &CoordinatorState,
    planner: &mut PlacementPlanner,
    current: &Placements,
) -> Placements {
    let assignments: Vec<DomainAssignment> =
        lock(&state.assignments).values().map(|it| it.assignment.clone()).collect();
    let (configuration, domains) = (state.configuration(), domain_states(state));
    planner.plan(&configuration, current, &assignments, &domains, state.clock.now())
}

/// Returns the summary of each fabric domain from the coordinator that probes it.
fn domain_states(state: &CoordinatorState) -> Vec<DomainState> {
    let now = state.clock.now();
    let peers: Vec<PeerStatus> = lock(&state.peers).values().cloned().collect();
    let live = peers.iter().filter(|it| now.duration_since(it.sent_at) < state.live_age());
    let others = live.flat_map(|it| it.domains.iter().cloned());
    let mut by_domain: BTreeMap<FabricDomain, DomainState> = BTreeMap::new();
    for it in others.chain(summaries(state)) {
        let DomainSummary { domain, idle_vms, stuck_groups, incomplete_groups, .. } = it;
        let domain_state =
            DomainState { domain, idle_vms, groups_to_move: stuck_groups, incomplete_groups };
        by_domain.insert(domain_state.domain.clone(), domain_state);
    }
    by_domain.into_values().collect()
}
