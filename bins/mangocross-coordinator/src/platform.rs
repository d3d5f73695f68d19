//! Follows the platform's list of VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::EngineVm;
use mangocross_types::FabricDomain;
use mangocross_types::VmId;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use peer_entry::ServiceServer;
use peer_platform::VmList;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(3_000);

/// Reads the list again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        let asked_at = state.clock.now();
        match state.platform.vms() {
            Ok(list) => take(state, &list, asked_at),
            Err(error) => log::warn!("the platform's list could not be read: {error}"),
        }
        thread::sleep(READ_INTERVAL);
    }
}

fn take(state: &CoordinatorState, list: &VmList, asked_at: Instant) {
    let said_at = asked_at.checked_sub(Duration::from_millis(list.age_ms)).unwrap_or(asked_at);
    let mut leaving = lock(&state.leaving);
    for entry in list.vms.iter().filter(|it| it.state == VmState::Leaving) {
        leaving.said(&entry.vm, said_at);
    }
    drop(leaving);
    let mut by_domain: BTreeMap<FabricDomain, Vec<EngineVm>> = BTreeMap::new();
    for entry in &list.vms {
        let VmRole::Engine { fabric_domain, .. } = &entry.role else { continue };
        by_domain.entry(fabric_domain.clone()).or_default().push(EngineVm {
            vm: entry.vm.clone(),
            address: entry.address,
            leaving: state.is_leaving(&entry.vm),
            listed: true,
        });
    }
    *lock(&state.service_servers) = list.vms.iter().filter_map(service_server).collect();
    keep_unlisted_members(state, &mut by_domain);
    *lock(&state.engines_by_domain) = by_domain;
}

fn service_server(entry: &VmListEntry) -> Option<ServiceServer> {
    let VmRole::Service { service } = &entry.role else { return None };
    Some(ServiceServer { service: service.clone(), vm: entry.vm.clone(), address: entry.address })
}

/// Keeps the VMs that the list no longer names and that are members of a group.
///
/// The list may be wrong; a member that still answers probes still works.
fn keep_unlisted_members(
    state: &CoordinatorState,
    by_domain: &mut BTreeMap<FabricDomain, Vec<EngineVm>>,
) {
    let known = lock(&state.engines_by_domain).clone();
    let assignments = lock(&state.assignments);
    // A domain that is left without VMs is looked after until it has dropped them.
    let all = assignments.values().map(|it| &it.assignment);
    for left in all.filter(|it| it.groups.is_empty() && !it.registered.is_empty()) {
        by_domain.entry(left.domain.clone()).or_default();
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
