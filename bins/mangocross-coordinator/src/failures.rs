//! Recent request failures at this VM's gateway, and the search for those at other entry VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use mangocross_operator::OperatorAnswer;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use peer_entry::RequestFailure;
use peer_entry::SearchLimits;
use peer_entry::search_request_failure;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Maximum number of failures kept in memory; the oldest are dropped first.
const KEPT_MAX: usize = 2_048;
/// Limits of a search at the other entry VMs; a frozen one occupies its slot for up to 4 s.
const SEARCH_LIMITS: SearchLimits =
    SearchLimits { concurrency_max: 64, total: Duration::from_millis(5_000) };

/// Recent request failures at this VM's gateway.
#[derive(Debug, Default)]
pub(crate) struct RecentFailures {
    newest: VecDeque<RequestFailure>,
}

impl RecentFailures {
    /// Adds failures that the gateway reported.
    pub(crate) fn extend(&mut self, failures: &[RequestFailure]) {
        self.newest.extend(failures.iter().cloned());
        let surplus = self.newest.len().saturating_sub(KEPT_MAX);
        self.newest.drain(..surplus);
    }

    /// Returns the newest failure reported for a request.
    pub(crate) fn find(&self, request: &RequestId) -> Option<RequestFailure> {
        self.newest.iter().rev().find(|it| it.request == *request).cloned()
    }
}

/// Returns why a request was refused or failed, searching the other entry VMs if necessary.
pub(crate) fn why_request(
    state: &CoordinatorState,
    request: &RequestId,
    answer: OperatorAnswer,
) -> Result<OperatorAnswer, Refusal> {
    let own = lock(&state.failures).find(request);
    let (vm, failure) = match own {
        Some(failure) => (state.settings.vm.to_string(), failure),
        None => search_other_vms(state, request)?,
    };
    let row = vec![
        vm,
        failure.code.to_string(),
        failure.outcome.to_string(),
        failure.message,
        failure.failed_at_unix_ms.to_string(),
    ];
    Ok(answer.table(&["entry vm", "code", "outcome", "told", "unix time ms"], vec![row]))
}

/// Returns the failure and the entry VM at whose gateway it happened.
fn search_other_vms(
    state: &CoordinatorState,
    request: &RequestId,
) -> Result<(String, RequestFailure), Refusal> {
    let configuration = state.configuration();
    let others = configuration.entry_vms.iter().filter(|it| it.vm != state.settings.vm);
    let others: Vec<SocketAddr> = others.map(|it| it.coordinator).collect();
    let name = |address: SocketAddr| {
        let entry_vm = configuration.entry_vms.iter().find(|it| it.coordinator == address);
        entry_vm.map_or_else(|| address.to_string(), |it| it.vm.to_string())
    };
    let search = search_request_failure(&others, state.node.key(), request, SEARCH_LIMITS);
    match search.found {
        Some(it) => Ok((name(it.coordinator), it.failure)),
        None => Err(not_found(request, search.unanswered.into_iter().map(name).collect())),
    }
}

fn not_found(request: &RequestId, unanswered: Vec<String>) -> Refusal {
    let silent = match unanswered.as_slice() {
        [] => String::new(),
        names => format!("; these entry VMs did not say: {}", names.join(", ")),
    };
    let text = format!(
        "no failure of request {request} is remembered; it was answered, is older, or its entry VM is gone{silent}"
    );
    Refusal::not_run(ResultCode::NotFound, text)
}
