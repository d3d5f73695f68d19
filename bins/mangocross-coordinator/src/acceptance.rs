//! Checks whether a configuration change is accepted and waits until it is.
//!
//! A revision is accepted once no process can ever serve under an older one again; answers to
//! operators call it "in force".

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_coordination::Acceptance;
use mangocross_coordination::AcceptanceCandidate;
use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::OutdatedProcess;
use mangocross_coordination::RevisionObservation;
use mangocross_operator::OperatorAnswer;
use mangocross_types::EntryVmSpec;
use mangocross_types::ResultCode;
use mangocross_types::Revision;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between checks whether a change is accepted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a revision is accepted, from the reports received by this coordinator.
///
/// `previous_entry_vms`: entry VMs of the previous revision, if that one is known to be accepted.
pub(crate) fn check(
    state: &CoordinatorState,
    revision: Revision,
    entry_vms: &[EntryVmSpec],
    previous_entry_vms: Option<&[EntryVmSpec]>,
) -> Acceptance {
    let now = state.clock.now();
    let lease = state.node.freshness_lease(now);
    let mut tracker = lock(&state.acceptance);
    let endpoint =
        CoordinatorEndpoint { vm: state.settings.vm.clone(), address: state.settings.advertised() };
    let observation = RevisionObservation {
        process_id: state.process_id,
        revision: lease.newest_known,
        sent_at: now,
        received_at: now,
    };
    tracker.record_coordinator(endpoint, lease.established, &observation);
    tracker.record_own(lease.newest_known, now);
    tracker.update_acceptance(&AcceptanceCandidate { revision, entry_vms, previous_entry_vms }, now)
}

/// Waits until a revision is accepted or the wait times out, and names the processes at which it
/// is not in force.
pub(crate) fn wait(
    state: &CoordinatorState,
    revision: Revision,
    entry_vms: &[EntryVmSpec],
    previous_entry_vms: Option<&[EntryVmSpec]>,
) -> OperatorAnswer {
    let _span = state.tracing.span_since("in_force_wait", state.clock.wall());
    let deadline = state.clock.now() + Duration::from_millis(state.settings.in_force_wait_ms);
    state.waiting_commands.fetch_add(1, Ordering::SeqCst);
    let acceptance = loop {
        let acceptance = check(state, revision, entry_vms, previous_entry_vms);
        if acceptance.is_accepted() || state.clock.now() >= deadline {
            break acceptance;
        }
        thread::sleep(CHECK_INTERVAL);
    };
    state.waiting_commands.fetch_sub(1, Ordering::SeqCst);
    answer(revision, &acceptance)
}

fn answer(revision: Revision, acceptance: &Acceptance) -> OperatorAnswer {
    match acceptance {
        Acceptance::Accepted { outdated } if outdated.is_empty() => {
            OperatorAnswer::message(revision, format!("revision {revision} is in force"))
        }
        Acceptance::Accepted { outdated } => {
            let text = format!(
                "revision {revision} is in force; nothing is served until it arrives at {}",
                names(outdated)
            );
            OperatorAnswer::message(revision, text)
        }
        Acceptance::Pending { outdated, .. } => {
            let text = format!(
                "revision {revision} is stored and not yet in force at {}; send the same command id again",
                names(outdated)
            );
            OperatorAnswer::message(revision, text).code(ResultCode::NotYetInForce)
        }
    }
}

fn names(outdated: &[OutdatedProcess]) -> String {
    if outdated.is_empty() {
        return "entry VMs that restarted lately".to_owned();
    }
    outdated.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
