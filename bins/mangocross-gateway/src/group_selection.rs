//! Selection of a complete group for an attempt.

use mangocross_coordination::LeasedGroup;
use mangocross_coordination::ResponseProgress;
use mangocross_policy::Candidate;
use mangocross_policy::PrefixHash;
use mangocross_policy::choose_group;
use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::DesiredState;
use mangocross_types::KindSpec;
use mangocross_types::ModelId;

use crate::handler::ValidatedRequest;
use crate::state::GatewayState;
use crate::state::lock;

/// Chooses a group with a valid health lease, preferably one that was not tried yet.
pub(crate) fn choose(
    state: &GatewayState,
    incoming: &ValidatedRequest,
    model: &ModelId,
    prefix: PrefixHash,
    progress: &ResponseProgress,
) -> Option<LeasedGroup> {
    let (untried, tried) = eligible(state, incoming, model, progress);
    let leased = match untried.is_empty() && progress.may_retry_same_group() {
        true => tried,
        false => untried,
    };
    let candidates: Vec<Candidate> =
        leased.iter().map(|it| state.routing.candidate(it, prefix)).collect();
    let chosen = choose_group(&candidates, Some(prefix), fastrand::u64(..))?;
    leased.iter().find(|it| it.group == chosen.group).cloned()
}

/// Returns whether a group that was not tried yet can serve the request.
pub(crate) fn has_untried_group(
    state: &GatewayState,
    incoming: &ValidatedRequest,
    model: &ModelId,
    progress: &ResponseProgress,
) -> bool {
    !eligible(state, incoming, model, progress).0.is_empty()
}

/// Returns the groups with a valid health lease that serve a customer's requests of a kind.
pub(crate) fn serving(
    state: &GatewayState,
    configuration: &Configuration,
    customer: &CustomerId,
    kind: &KindSpec,
    model: &ModelId,
) -> Vec<LeasedGroup> {
    let health_leases = lock(&state.health_leases);
    let leased = health_leases.valid(state.clock.now());
    leased.filter(|it| may_serve(it, configuration, customer, kind, model)).cloned().collect()
}

/// Returns the groups that may serve a request, split into untried and tried ones.
fn eligible(
    state: &GatewayState,
    incoming: &ValidatedRequest,
    model: &ModelId,
    progress: &ResponseProgress,
) -> (Vec<LeasedGroup>, Vec<LeasedGroup>) {
    let ValidatedRequest { configuration, headers, kind, .. } = incoming;
    let serving = serving(state, configuration, &headers.customer, kind, model).into_iter();
    serving.partition(|it| progress.is_untried(it))
}

fn may_serve(
    group: &LeasedGroup,
    configuration: &Configuration,
    customer: &CustomerId,
    kind: &KindSpec,
    model: &ModelId,
) -> bool {
    let Some(spec) = configuration.group(&group.group) else { return false };
    let for_customer = spec.customers.is_empty() || spec.customers.contains(customer);
    let for_kind = spec.kinds.is_empty() || spec.kinds.contains(&kind.id);
    group.accepts_new
        && group.model == *model
        && spec.model_version == group.model_version
        && spec.desired == DesiredState::Serving
        && for_customer
        && for_kind
}
