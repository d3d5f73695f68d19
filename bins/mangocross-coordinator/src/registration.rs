//! Registers this VM among the entry VMs of the configuration.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::EntryVmRegistration;
use mangocross_coordination::required_entry_vm_registration;
use mangocross_operator::OperatorRequest;
use mangocross_types::CommandId;
use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;

use crate::changes;
use crate::state::CoordinatorState;

/// Minimum time between checks of this VM's entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Bound of the random time added, so that VMs that start together do not write together.
const JITTER_MS: u64 = 1_000;

/// Registers this VM, and returns once its entry is in the configuration.
///
/// If an operator removes the VM while it runs, it stays removed; after a restart it
/// registers again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        thread::sleep(CHECK_INTERVAL + Duration::from_millis(fastrand::u64(..JITTER_MS)));
        if state.node.in_force_revision() == Revision(0) {
            // The first configuration comes from the operators.
            continue;
        }
        if required_entry_vm_registration(&state.configuration().entry_vms, &own_entry(state))
            == EntryVmRegistration::Listed
        {
            return;
        }
        match changes::execute(state, None, &request(state), |it| Ok(with_own_entry(state, it))) {
            Ok(answer) => log::info!("registered in the configuration: {}", answer.message),
            Err(refusal) => log::info!("not registered yet: {}", refusal.message),
        }
    }
}

fn with_own_entry(state: &CoordinatorState, current: &Configuration) -> Configuration {
    let mut next = current.clone();
    match required_entry_vm_registration(&current.entry_vms, &own_entry(state)) {
        EntryVmRegistration::Listed => {}
        EntryVmRegistration::Update(entry_vms) | EntryVmRegistration::Remove(entry_vms) => {
            next.entry_vms = entry_vms;
        }
    }
    next
}

fn own_entry(state: &CoordinatorState) -> EntryVmSpec {
    let settings = &state.settings;
    EntryVmSpec {
        vm: settings.vm.clone(),
        availability_zone: settings.availability_zone.clone(),
        coordinator: settings.advertised(),
    }
}

fn request(state: &CoordinatorState) -> OperatorRequest {
    OperatorRequest {
        command_id: new_command_id(),
        text: format!("register node {} at {}", state.settings.vm, state.settings.advertised()),
        configuration: None,
        based_on: None,
        dry_run: false,
    }
}

fn new_command_id() -> CommandId {
    format!("c-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
