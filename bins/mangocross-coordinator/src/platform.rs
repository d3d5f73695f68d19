//! Follows the platform's list of VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::EngineVm;
use mangocross_types::FabricDomain;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use peer_platform::VmList;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the list again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        match state.platform.vms() {
            Ok(list) => take(state, &list),
            Err(error) => log::warn!("the platform's list could not be read: {error}"),
        }
        thread::sleep(READ_INTERVAL);
    }
}

fn take(state: &CoordinatorState, list: &VmList) {
    let configuration = state.configuration();
    let mut leaving = lock(&state.leaving);
    let departing = list.vms.iter().filter(|it| it.state == VmState::Leaving);
    leaving.extend(departing.map(|it| it.vm.clone()));
    let mut by_domain: BTreeMap<FabricDomain, Vec<EngineVm>> = BTreeMap::new();
    for entry in &list.vms {
        let VmRole::Engine { fabric_domain, .. } = &entry.role else { continue };
        let gone = leaving.contains(&entry.vm) || configuration.leaving_vms.contains(&entry.vm);
        by_domain.entry(fabric_domain.clone()).or_default().push(EngineVm {
            vm: entry.vm.clone(),
            address: entry.address,
            leaving: gone,
        });
    }
    drop(leaving);
    *lock(&state.engines_by_domain) = by_domain;
}
