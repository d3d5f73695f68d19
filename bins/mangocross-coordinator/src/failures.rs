//! Requests that failed lately at this VM's gateway, and at those of others.

use std::collections::VecDeque;

use mangocross_operator::OperatorAnswer;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use peer_entry::PeerKey;
use peer_entry::RequestFailure;
use peer_entry::fetch_failure;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Failures remembered.
const KEPT_MAX: usize = 2_048;

/// Requests that failed lately at this VM's gateway.
#[derive(Debug, Default)]
pub(crate) struct KnownFailures {
    newest: VecDeque<RequestFailure>,
}

impl KnownFailures {
    /// Adds failures that the gateway told.
    pub(crate) fn extend(&mut self, failures: &[RequestFailure]) {
        self.newest.extend(failures.iter().cloned());
        let surplus = self.newest.len().saturating_sub(KEPT_MAX);
        self.newest.drain(..surplus);
    }

    /// Returns the failure of a request.
    pub(crate) fn find(&self, request: &RequestId) -> Option<RequestFailure> {
        self.newest.iter().rev().find(|it| it.request == *request).cloned()
    }
}

/// Says why a request was refused or failed, asking the other entry VMs if need be.
pub(crate) fn why_request(
    state: &CoordinatorState,
    request: &RequestId,
    answer: OperatorAnswer,
) -> Result<OperatorAnswer, Refusal> {
    let own = lock(&state.failures).find(request);
    let found = own.map(|it| (state.settings.vm.to_string(), it));
    let (vm, failure) = found.or_else(|| ask_others(state, request)).ok_or_else(|| {
        let text = format!(
            "no failure of request {request} is remembered; it was answered, is older, or its entry VM is gone"
        );
        Refusal::not_run(ResultCode::NotFound, text)
    })?;
    let row = vec![
        vm,
        failure.code.to_string(),
        failure.outcome.to_string(),
        failure.message,
        failure.failed_at_unix_ms.to_string(),
    ];
    Ok(answer.table(&["entry vm", "code", "outcome", "told", "unix time ms"], vec![row]))
}

fn ask_others(state: &CoordinatorState, request: &RequestId) -> Option<(String, RequestFailure)> {
    let key: PeerKey = state.settings.peer_secret.parse().ok()?;
    let configuration = state.configuration();
    let others = configuration.entry_vms.iter().filter(|it| it.vm != state.settings.vm);
    others.into_iter().find_map(|it| match fetch_failure(it.coordinator, &key, request) {
        Ok(failure) => failure.map(|found| (it.vm.to_string(), found)),
        Err(error) => {
            log::warn!("{error}");
            None
        }
    })
}
