//! Tracks the platform's list of VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination as coordination;
use mangocross_coordination::EngineVm;
use mangocross_coordination::ListStep;
use mangocross_coordination::is_small_fleet;
use mangocross_types::FabricDomain;
use mangocross_types::VmId;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use peer_entry::ServiceServer;
use peer_platform::VmList;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between checks of the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(3_000);
/// Age of the list at which any coordinator reads it again.
const LIST_AGE_MAX: Duration = Duration::from_millis(6_000);
/// Key by which the readers of the list are chosen.
const LIST_KEY: &str = "platform/vms";

/// Reads the list periodically, or fetches its changes from a coordinator that does.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        let now = state.clock.now();
        let step = state.vm_list.next_step(is_reader(state), LIST_AGE_MAX, now);
        match step {
            ListStep::Keep => {}
            ListStep::Read => read_vm_list(state),
            ListStep::Fetch(from) => fetch(state, from),
        }
        update_servers(state, &state.vm_list.vms());
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns whether this coordinator reads the list regardless of what others hold.
fn is_reader(state: &CoordinatorState) -> bool {
    let configuration = state.configuration();
    let (entry_vms, own) = (&configuration.entry_vms, &state.settings.vm);
    is_small_fleet(entry_vms)
        || coordination::is_reader(LIST_KEY, entry_vms, own, &state.live_coordinators())
}

fn read_vm_list(state: &CoordinatorState) {
    let sent_at = state.clock.now();
    match state.platform.vm_list() {
        Ok(list) => record_list(state, list, sent_at),
        Err(error) => log::warn!("the platform's list could not be read: {error}"),
    }
}

/// Fetches the changes of the list from a coordinator, and reads the list if that fails.
fn fetch(state: &CoordinatorState, from: SocketAddr) {
    match state.vm_list.fetch(from, state.clock.now()) {
        Ok(()) => log::info!("fetched the changes of the platform's list from {from}"),
        Err(message) => {
            log::info!(
                "reading the platform's list, as its changes could not be fetched: {message}"
            );
            read_vm_list(state);
        }
    }
}

fn record_list(state: &CoordinatorState, list: VmList, sent_at: Instant) {
    let reported_at = sent_at.checked_sub(Duration::from_millis(list.age_ms)).unwrap_or(sent_at);
    let mut leaving = lock(&state.leaving);
    for entry in list.vms.iter().filter(|it| it.state == VmState::Leaving) {
        leaving.record(&entry.vm, reported_at);
    }
    drop(leaving);
    state.vm_list.record_read(list.vms, sent_at);
}

/// Rebuilds the tables of engines and service servers from a list, with the current leaving
/// states.
fn update_servers(state: &CoordinatorState, vms: &[VmListEntry]) {
    let mut by_domain: BTreeMap<FabricDomain, Vec<EngineVm>> = BTreeMap::new();
    for entry in vms {
        let VmRole::Engine { fabric_domain, .. } = &entry.role else { continue };
        by_domain.entry(fabric_domain.clone()).or_default().push(EngineVm {
            vm: entry.vm.clone(),
            address: entry.address,
            leaving: state.is_leaving(&entry.vm),
            listed: true,
        });
    }
    *lock(&state.service_servers) = vms.iter().filter_map(service_server).collect();
    keep_unlisted_members(state, &mut by_domain);
    *lock(&state.engines_by_domain) = by_domain;
}

fn service_server(entry: &VmListEntry) -> Option<ServiceServer> {
    let VmRole::Service { service } = &entry.role else { return None };
    Some(ServiceServer { service: service.clone(), vm: entry.vm.clone(), address: entry.address })
}

/// Keeps VMs that the list no longer contains while they are members of a group.
///
/// The list may be wrong; a member that still answers probes still works.
fn keep_unlisted_members(
    state: &CoordinatorState,
    by_domain: &mut BTreeMap<FabricDomain, Vec<EngineVm>>,
) {
    let known = lock(&state.engines_by_domain).clone();
    let assignments = lock(&state.assignments);
    // A domain without VMs is still reconciled until its registered VMs are removed.
    let all = assignments.values().map(|it| &it.assignment);
    for empty in all.filter(|it| it.groups.is_empty() && !it.registered.is_empty()) {
        by_domain.entry(empty.domain.clone()).or_default();
    }
    for (domain, vms) in known {
        let Some(held) = assignments.get(&domain) else { continue };
        let is_member = |vm: &VmId| held.assignment.groups.iter().any(|it| it.members.contains(vm));
        let listed = by_domain.entry(domain).or_default();
        let unlisted = vms.into_iter().filter(|it| !listed.iter().any(|other| other.vm == it.vm));
        let members: Vec<EngineVm> = unlisted.filter(|it| is_member(&it.vm)).collect();
        listed.extend(members.into_iter().map(|it| EngineVm { listed: false, ..it }));
    }
}
