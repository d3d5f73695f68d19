//! Waits until a change is accepted.

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

/// Time between looks whether a change is accepted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a revision is accepted, as far as this coordinator knows.
pub(crate) fn check(
    state: &CoordinatorState,
    revision: Revision,
    entry_vms: &[EntryVmSpec],
    accepted_base: Option<&[EntryVmSpec]>,
) -> Acceptance {
    let now = state.clock.now();
    let vouch = state.node.freshness_lease(now);
    let mut tracker = lock(&state.acceptance);
    let own =
        CoordinatorEndpoint { vm: state.settings.vm.clone(), address: state.settings.advertised() };
    let sighting = RevisionObservation {
        process_id: state.process_id,
        revision: vouch.newest_known,
        asked_at: now,
        received_at: now,
    };
    tracker.record_coordinator(own, vouch.established, &sighting);
    tracker.record_own(vouch.newest_known, now);
    tracker.check(&AcceptanceCandidate { revision, entry_vms, accepted_base }, now)
}

/// Waits until a revision is accepted and says where it is not in force.
pub(crate) fn wait(
    state: &CoordinatorState,
    revision: Revision,
    entry_vms: &[EntryVmSpec],
    accepted_base: Option<&[EntryVmSpec]>,
) -> OperatorAnswer {
    let _span = state.tracing.span_since("in_force_wait", state.clock.wall());
    let deadline = state.clock.now() + Duration::from_millis(state.settings.in_force_wait_ms);
    state.waiting_commands.fetch_add(1, Ordering::SeqCst);
    let acceptance = loop {
        let acceptance = check(state, revision, entry_vms, accepted_base);
        if acceptance.is_accepted() || state.clock.now() >= deadline {
            break acceptance;
        }
        thread::sleep(POLL_INTERVAL);
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
