//! Waits until a change is accepted.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_coordination::Acceptance;
use mangocross_coordination::AcceptanceCandidate;
use mangocross_coordination::Lacking;
use mangocross_coordination::Sighting;
use mangocross_coordination::Voucher;
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
    let vouch = state.node.vouch(now);
    let mut tracker = lock(&state.acceptance);
    let own = Voucher { vm: state.settings.vm.clone(), address: state.settings.listen };
    let sighting = Sighting {
        process_id: state.process_id,
        revision: vouch.newest_known,
        asked_at: now,
        heard_at: now,
    };
    tracker.coordinator_said(own, vouch.established, &sighting);
    tracker.own_knows(vouch.newest_known, now);
    tracker.check(&AcceptanceCandidate { revision, entry_vms, accepted_base }, now)
}

/// Waits until a revision is accepted and says where it is not in force.
pub(crate) fn wait(
    state: &CoordinatorState,
    revision: Revision,
    entry_vms: &[EntryVmSpec],
    accepted_base: Option<&[EntryVmSpec]>,
) -> OperatorAnswer {
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
        Acceptance::Accepted { lacking } if lacking.is_empty() => {
            OperatorAnswer::message(revision, format!("revision {revision} is in force"))
        }
        Acceptance::Accepted { lacking } => {
            let text = format!(
                "revision {revision} is in force; nothing is served until it arrives at {}",
                names(lacking)
            );
            OperatorAnswer::message(revision, text)
        }
        Acceptance::Pending { lacking, .. } => {
            let text = format!(
                "revision {revision} is stored and not yet in force at {}; send the same command id again",
                names(lacking)
            );
            OperatorAnswer::message(revision, text).code(ResultCode::NotYetInForce)
        }
    }
}

fn names(lacking: &[Lacking]) -> String {
    if lacking.is_empty() {
        return "entry VMs that restarted lately".to_owned();
    }
    lacking.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
