//! Which group a request goes to.

use std::cmp::Reverse;
use std::time::Duration;

use mangocross_types::GroupId;

use crate::PrefixHash;
use crate::PrefixResidency;

/// Own requests in flight that a holder or home of the prefix may have more than the other choice.
const AFFINITY_OWN_SLACK: u32 = 0;
/// Load that a holder or home of the prefix may have more than the other choice.
const AFFINITY_LOAD_SLACK: u32 = 2;
/// Home groups of each prefix.
const HOMES: usize = 2;
/// Difference of lagging loads below which they say nothing.
const LAG_MARGIN: u32 = 3;
/// A group whose first token takes this many times the median is avoided.
const STRAGGLER_FACTOR: u32 = 3;
/// First-token times below this are never a straggler's.
const STRAGGLER_TIME_MIN: Duration = Duration::from_millis(800);
/// One request in this many may still go to a straggler, so that its recovery is seen.
const STRAGGLER_PROBE: u64 = 64;

/// A complete group that may take the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The group.
    pub group: GroupId,
    /// Requests that this gateway has in flight there.
    pub own_in_flight: u32,
    /// Requests running and waiting there: the last report, or better
    /// [`LoadEstimate::load`](crate::LoadEstimate::load).
    pub reported_load: u32,
    /// What is known about the request's prefix at the group.
    pub prefix: PrefixResidency,
    /// Own observed first-token time, if any.
    pub first_token: Option<Duration>,
    /// Whether own requests in flight are at the group's concurrency limit.
    pub at_limit: bool,
}

impl Candidate {
    /// Returns a candidate of which only the load is known.
    pub fn new(group: GroupId, own_in_flight: u32, reported_load: u32) -> Self {
        Self {
            group,
            own_in_flight,
            reported_load,
            prefix: PrefixResidency::Unknown,
            first_token: None,
            at_limit: false,
        }
    }

    /// Sets what is known about the request's prefix at the group.
    #[must_use]
    pub fn prefix(mut self, knowledge: PrefixResidency) -> Self {
        self.prefix = knowledge;
        self
    }

    /// Sets the observed first-token time.
    #[must_use]
    pub fn first_token(mut self, time: Option<Duration>) -> Self {
        self.first_token = time;
        self
    }

    /// Sets whether the group is at its concurrency limit.
    #[must_use]
    pub fn at_limit(mut self, at_limit: bool) -> Self {
        self.at_limit = at_limit;
        self
    }

    fn load(&self) -> u32 {
        self.own_in_flight.max(self.reported_load)
    }
}

/// Chooses a group.
///
/// Stragglers and groups at their limit are left out while others remain. Own
/// requests in flight are exact, so the groups with the fewest come first; of
/// two of them at random the second is taken if its load, which is lagging, is
/// clearly lower. Each prefix has a few home groups, the same at each gateway,
/// so that each cache keeps its own part of the prefixes. Where caches
/// publish what they hold, a group that is likely to hold the prefix, and else a
/// home, is taken instead if it is loaded little more.
pub fn choose_group(
    candidates: &[Candidate],
    prefix: Option<PrefixHash>,
    seed: u64,
) -> Option<&Candidate> {
    let mut random = fastrand::Rng::with_seed(seed);
    let fit = fit(candidates, &mut random);
    let chosen = least_loaded(&fit, &mut random)?;
    let is_near = |it: &&Candidate| {
        it.own_in_flight <= chosen.own_in_flight + AFFINITY_OWN_SLACK
            && it.load() <= chosen.load().saturating_add(AFFINITY_LOAD_SLACK)
    };
    let holder = holder(&fit, is_near, &mut random);
    let home = || prefix.and_then(|it| home(&fit, it)).filter(is_near);
    Some(holder.or_else(home).unwrap_or(chosen))
}

/// Returns a near group that is likely to hold the prefix, if the cache of any said so.
///
/// It is a random one: if all gateways took the least loaded one, its load would
/// only be seen when it is too late.
fn holder<'a>(
    fit: &[&'a Candidate],
    is_near: impl Fn(&&'a Candidate) -> bool,
    random: &mut fastrand::Rng,
) -> Option<&'a Candidate> {
    let holds = |it: &&Candidate| it.prefix > PrefixResidency::Unknown;
    let near: Vec<&Candidate> = fit.iter().copied().filter(holds).filter(is_near).collect();
    let told = near.iter().any(|it| it.prefix == PrefixResidency::Confirmed);
    if told { near.get(random.usize(..near.len())).copied() } else { None }
}

fn least_loaded<'a>(fit: &[&'a Candidate], random: &mut fastrand::Rng) -> Option<&'a Candidate> {
    let least = fit.iter().map(|it| it.own_in_flight).min()?;
    let few: Vec<&Candidate> = fit.iter().copied().filter(|it| it.own_in_flight == least).collect();
    let first = few[random.usize(..few.len())];
    let second = few[random.usize(..few.len())];
    let clearly_less = second.load().saturating_add(LAG_MARGIN) < first.load();
    Some(if clearly_less { second } else { first })
}

/// Returns the candidates without stragglers and full groups, if any remain.
fn fit<'a>(candidates: &'a [Candidate], random: &mut fastrand::Rng) -> Vec<&'a Candidate> {
    let limit = straggler_limit(candidates);
    let probe = random.u64(..STRAGGLER_PROBE) == 0;
    let fast = |it: &&Candidate| probe || it.first_token.is_none_or(|time| time <= limit);
    let open: Vec<&Candidate> = candidates.iter().filter(|it| !it.at_limit).collect();
    let open = if open.is_empty() { candidates.iter().collect() } else { open };
    let fit: Vec<&Candidate> = open.iter().copied().filter(fast).collect();
    if fit.is_empty() { open } else { fit }
}

fn straggler_limit(candidates: &[Candidate]) -> Duration {
    let mut times: Vec<Duration> = candidates.iter().filter_map(|it| it.first_token).collect();
    times.sort();
    let median = times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or_default();
    (median * STRAGGLER_FACTOR).max(STRAGGLER_TIME_MIN)
}

/// Returns the better one of a prefix's homes, found by rendezvous hashing.
fn home<'a>(fit: &[&'a Candidate], prefix: PrefixHash) -> Option<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = fit.to_vec();
    ranked.sort_by_key(|it| Reverse((rendezvous(&it.group, prefix), &it.group)));
    let homes = ranked.into_iter().take(HOMES);
    homes.min_by_key(|it| (it.own_in_flight, Reverse(it.prefix)))
}

fn rendezvous(group: &GroupId, prefix: PrefixHash) -> u64 {
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = group.as_str().bytes().fold(0xcbf2_9ce4_8422_2325 ^ prefix.0, fnv);
    fastrand::Rng::with_seed(hash).u64(..)
}
