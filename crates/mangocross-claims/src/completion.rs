//! Completes operations when their commit has ended.

use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimOperation;
use mangocross_coordination::CommitEnd;
use mangocross_types::Revision;

use crate::ClaimError;
use crate::queue::QueuedOperation;
use crate::ticket::OperationResult;

/// What remains to be done for one operation.
#[derive(Debug)]
pub(crate) enum FollowUp {
    /// Nothing is left to do.
    Ended,
    /// The operation is retried later.
    Retry(QueuedOperation),
    /// The claim was not sent and never will be; it is released.
    Release(QueuedOperation),
}

/// Notifies the waiting caller of an operation how its commit ended; returns what remains to be
/// done.
///
/// `index` is the position of the operation in the commit.
pub(crate) fn complete_operation(
    queued: QueuedOperation,
    end: &CommitEnd,
    index: usize,
) -> FollowUp {
    match (end, &queued.operation) {
        (CommitEnd::Committed(decisions), ClaimOperation::Begin(_)) => {
            let decision = decisions.get(index).cloned().flatten();
            claim_ended(queued, decision)
        }
        (CommitEnd::Committed(_), _) => {
            notify(&queued, Ok(None));
            FollowUp::Ended
        }
        (CommitEnd::Failed { store_failed, lost_write_revision }, ClaimOperation::Begin(_)) => {
            claim_failed(queued, *store_failed, *lost_write_revision)
        }
        (CommitEnd::Failed { .. }, _) => FollowUp::Retry(queued),
    }
}

fn claim_ended(queued: QueuedOperation, decision: Option<ClaimDecision>) -> FollowUp {
    let granted = decision == Some(ClaimDecision::Granted);
    let overdue = decision == Some(ClaimDecision::Overdue);
    let received = notify(&queued, Ok(decision));
    match overdue || (granted && !received) {
        true => release(queued, None),
        false => FollowUp::Ended,
    }
}

fn claim_failed(
    queued: QueuedOperation,
    store_failed: bool,
    lost_write_revision: Option<Revision>,
) -> FollowUp {
    let error = match lost_write_revision {
        Some(_) => ClaimError::AnswerLost,
        None if store_failed => ClaimError::StoreUnavailable,
        None => ClaimError::Contended,
    };
    notify(&queued, Err(error));
    match lost_write_revision {
        Some(_) => release(queued, lost_write_revision),
        None => FollowUp::Ended,
    }
}

fn release(queued: QueuedOperation, lost_write_revision: Option<Revision>) -> FollowUp {
    let ClaimOperation::Begin(request) = queued.operation else { return FollowUp::Ended };
    let (key, holder) = (request.key, request.claim.holder);
    let operation = ClaimOperation::Release { key, holder, lost_write_revision };
    FollowUp::Release(QueuedOperation { operation, ticket: None, tries: 0 })
}

/// Notifies the caller of an operation; returns whether it was still waiting.
fn notify(queued: &QueuedOperation, result: OperationResult) -> bool {
    queued.ticket.as_ref().is_some_and(|it| it.set_result(result))
}
