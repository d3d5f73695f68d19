//! Settles operations when their commit has ended.

use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimOperation;
use mangocross_coordination::CommitEnd;
use mangocross_types::Revision;

use crate::ClaimError;
use crate::queue::Queued;
use crate::ticket::Settled;

/// What remains to be done for one operation.
#[derive(Debug)]
pub(crate) enum FollowUp {
    /// Nothing is left to do.
    Ended,
    /// The operation is retried later.
    Retry(Queued),
    /// The claim was not sent and never will be; it is released.
    Release(Queued),
}

/// Notifies the waiting caller of an operation how its commit ended; returns what remains to be
/// done.
pub(crate) fn settle(queued: Queued, end: &CommitEnd, number: usize) -> FollowUp {
    match (end, &queued.operation) {
        (CommitEnd::Committed(decisions), ClaimOperation::Begin(_)) => {
            let decision = decisions.get(number).cloned().flatten();
            claim_ended(queued, decision)
        }
        (CommitEnd::Committed(_), _) => {
            notify(&queued, Ok(None));
            FollowUp::Ended
        }
        (CommitEnd::Failed { store_failed, lost_write }, ClaimOperation::Begin(_)) => {
            claim_failed(queued, *store_failed, *lost_write)
        }
        (CommitEnd::Failed { .. }, _) => FollowUp::Retry(queued),
    }
}

fn claim_ended(queued: Queued, decision: Option<ClaimDecision>) -> FollowUp {
    let granted = decision == Some(ClaimDecision::Granted);
    let overdue = decision == Some(ClaimDecision::Overdue);
    let received = notify(&queued, Ok(decision));
    match overdue || (granted && !received) {
        true => release(queued, None),
        false => FollowUp::Ended,
    }
}

fn claim_failed(queued: Queued, store_failed: bool, lost_write: Option<Revision>) -> FollowUp {
    let error = match lost_write {
        Some(_) => ClaimError::AnswerLost,
        None if store_failed => ClaimError::StoreUnavailable,
        None => ClaimError::Contended,
    };
    notify(&queued, Err(error));
    match lost_write {
        Some(_) => release(queued, lost_write),
        None => FollowUp::Ended,
    }
}

fn release(queued: Queued, lost_write: Option<Revision>) -> FollowUp {
    let ClaimOperation::Begin(request) = queued.operation else { return FollowUp::Ended };
    let (key, holder) = (request.key, request.claim.holder);
    let operation = ClaimOperation::Release { key, holder, lost_write };
    FollowUp::Release(Queued { operation, ticket: None, tries: 0 })
}

/// Notifies the caller of an operation; returns whether it was still waiting.
fn notify(queued: &Queued, settled: Settled) -> bool {
    queued.ticket.as_ref().is_some_and(|it| it.settle(settled))
}
