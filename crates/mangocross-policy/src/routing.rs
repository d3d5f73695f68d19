//! Chooses the group that a request is sent to.

use std::cmp::Reverse;
use std::time::Duration;

use mangocross_types::GroupId;

use crate::PrefixHash;
use crate::PrefixResidency;

/// How many more own requests in flight a holder or home of the prefix may have than the default
/// choice.
const AFFINITY_OWN_SLACK: u32 = 0;
/// How much more load a holder or home of the prefix may have than the default choice.
const AFFINITY_LOAD_SLACK: u32 = 2;
/// Number of home groups of each prefix.
const HOMES: usize = 2;
/// Largest difference between two lagging loads that is ignored.
const LAG_MARGIN: u32 = 3;
/// A group whose first token takes this many times the median is avoided.
const STRAGGLER_FACTOR: u32 = 3;
/// First-token time up to which a group never counts as a straggler.
const STRAGGLER_TIME_MIN: Duration = Duration::from_millis(800);
/// One request in this many, on average, may still go to a straggler, so that its recovery is
/// noticed.
const STRAGGLER_REQUEST_DIVISOR: u64 = 64;

/// A complete group that may serve the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Group that may be chosen.
    pub group: GroupId,
    /// Requests that this gateway has in flight there.
    pub own_in_flight: u32,
    /// Estimated requests running and waiting there, from
    /// [`LoadEstimate::load`](crate::LoadEstimate::load).
    pub estimated_load: u32,
    /// Whether the group holds the request's prefix, as far as known.
    pub prefix_residency: PrefixResidency,
    /// First-token time that this gateway observed, if any.
    pub first_token: Option<Duration>,
    /// Whether own requests in flight have reached the group's concurrency limit.
    pub at_limit: bool,
}

impl Candidate {
    /// Returns a candidate with its load and nothing else set.
    pub fn new(group: GroupId, own_in_flight: u32, estimated_load: u32) -> Self {
        Self {
            group,
            own_in_flight,
            estimated_load,
            prefix_residency: PrefixResidency::Unknown,
            first_token: None,
            at_limit: false,
        }
    }

    /// Sets whether the group holds the request's prefix.
    #[must_use]
    pub fn prefix_residency(mut self, residency: PrefixResidency) -> Self {
        self.prefix_residency = residency;
        self
    }

    /// Sets the observed first-token time.
    #[must_use]
    pub fn first_token(mut self, time: Option<Duration>) -> Self {
        self.first_token = time;
        self
    }

    /// Sets whether the group has reached its concurrency limit.
    #[must_use]
    pub fn at_limit(mut self, at_limit: bool) -> Self {
        self.at_limit = at_limit;
        self
    }

    fn load(&self) -> u32 {
        self.own_in_flight.max(self.estimated_load)
    }
}

/// Chooses a group.
///
/// Stragglers and groups at their limit are excluded while others remain. Own
/// requests in flight are exact, so only the groups with the fewest are considered. Two of
/// them are drawn at random: the second is chosen if its load, which lags, is clearly lower,
/// otherwise the first. Each prefix has a few home groups, the same at each gateway, so that
/// each cache keeps its own part of the prefixes. A group that is likely to hold the
/// prefix or, if no cache confirms that, a home group is chosen instead if it has no
/// more own requests in flight and only slightly more load.
pub fn choose_group(
    candidates: &[Candidate],
    prefix: Option<PrefixHash>,
    seed: u64,
) -> Option<&Candidate> {
    let mut random = fastrand::Rng::with_seed(seed);
    let eligible = eligible(candidates, &mut random);
    let chosen = least_loaded(&eligible, &mut random)?;
    let is_within_slack = |it: &&Candidate| {
        it.own_in_flight <= chosen.own_in_flight + AFFINITY_OWN_SLACK
            && it.load() <= chosen.load().saturating_add(AFFINITY_LOAD_SLACK)
    };
    let holder = holder(&eligible, is_within_slack, &mut random);
    let home = || prefix.and_then(|it| home(&eligible, it)).filter(is_within_slack);
    Some(holder.or_else(home).unwrap_or(chosen))
}

/// Returns a random group among those within the slack that are likely to hold the prefix; `None`
/// if none of them is confirmed.
///
/// The choice is random: if all gateways chose the least loaded one, its load
/// would be reported too late to prevent overload.
fn holder<'a>(
    eligible: &[&'a Candidate],
    is_within_slack: impl Fn(&&'a Candidate) -> bool,
    random: &mut fastrand::Rng,
) -> Option<&'a Candidate> {
    let holds = |it: &&Candidate| it.prefix_residency > PrefixResidency::Unknown;
    let within_slack: Vec<&Candidate> =
        eligible.iter().copied().filter(holds).filter(is_within_slack).collect();
    let any_confirmed =
        within_slack.iter().any(|it| it.prefix_residency == PrefixResidency::Confirmed);
    if any_confirmed { within_slack.get(random.usize(..within_slack.len())).copied() } else { None }
}

fn least_loaded<'a>(
    eligible: &[&'a Candidate],
    random: &mut fastrand::Rng,
) -> Option<&'a Candidate> {
    let least = eligible.iter().map(|it| it.own_in_flight).min()?;
    let least_used: Vec<&Candidate> =
        eligible.iter().copied().filter(|it| it.own_in_flight == least).collect();
    let first = least_used[random.usize(..least_used.len())];
    let second = least_used[random.usize(..least_used.len())];
    let clearly_less = second.load().saturating_add(LAG_MARGIN) < first.load();
    Some(if clearly_less { second } else { first })
}

/// Returns the candidates that are neither stragglers nor at their limit; a condition that would
/// exclude all is ignored.
fn eligible<'a>(candidates: &'a [Candidate], random: &mut fastrand::Rng) -> Vec<&'a Candidate> {
    let limit = straggler_limit(candidates);
    let probe = random.u64(..STRAGGLER_REQUEST_DIVISOR) == 0;
    let fast = |it: &&Candidate| probe || it.first_token.is_none_or(|time| time <= limit);
    let open: Vec<&Candidate> = candidates.iter().filter(|it| !it.at_limit).collect();
    let open = if open.is_empty() { candidates.iter().collect() } else { open };
    let eligible: Vec<&Candidate> = open.iter().copied().filter(fast).collect();
    if eligible.is_empty() { open } else { eligible }
}

fn straggler_limit(candidates: &[Candidate]) -> Duration {
    let mut times: Vec<Duration> = candidates.iter().filter_map(|it| it.first_token).collect();
    times.sort();
    let median = times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or_default();
    (median * STRAGGLER_FACTOR).max(STRAGGLER_TIME_MIN)
}

/// Returns the less used of a prefix's home groups, which rendezvous hashing determines.
fn home<'a>(eligible: &[&'a Candidate], prefix: PrefixHash) -> Option<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = eligible.to_vec();
    ranked.sort_by_key(|it| Reverse((rendezvous(&it.group, prefix), &it.group)));
    let homes = ranked.into_iter().take(HOMES);
    homes.min_by_key(|it| (it.own_in_flight, Reverse(it.prefix_residency)))
}

fn rendezvous(group: &GroupId, prefix: PrefixHash) -> u64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = group.as_str().bytes().fold(0xcbf2_9ce4_8422_2325 ^ prefix.0, fnv);
    fastrand::Rng::with_seed(hash).u64(..)
}
