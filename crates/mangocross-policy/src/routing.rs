//! Which group a request goes to.

use mangocross_types::GroupId;

/// A complete group that may take the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The group.
    pub group: GroupId,
    /// Requests that this gateway has in flight there.
    pub own_in_flight: u32,
    /// Requests running and waiting there, as last reported.
    pub reported_load: u32,
}

/// Chooses the less loaded of two candidates picked by `seed`.
///
/// Reported load lags, so the gateway's own requests in flight count as well.
pub fn choose_group(candidates: &[Candidate], seed: u64) -> Option<&Candidate> {
    let mut random = fastrand::Rng::with_seed(seed);
    let first = candidates.get(random.usize(..candidates.len().max(1)))?;
    let second = &candidates[random.usize(..candidates.len())];
    let load = |it: &Candidate| it.own_in_flight.max(it.reported_load);
    Some(if load(second) < load(first) { second } else { first })
}
