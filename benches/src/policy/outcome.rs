//! Compares the policy variants in a case over several seeds.

use mangocross_types::PolicyParameters;
use serde::Serialize;

use super::CacheFeedMode;
use super::Case;
use super::FleetOutcome;
use super::PolicyVariant;
use super::RequestOutcome;
use super::User;
use super::requests::FIRST_TOKEN_PROMISE_MS;
use super::run_fleet;
use super::run_requests;
use super::traffic::KINDS;

/// Distribution of a figure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Smallest.
    pub min: f64,
    /// Largest.
    pub max: f64,
}

impl Spread {
    fn of(values: &[f64]) -> Self {
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// First-token times of one class of customers and one kind.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FirstTokenRow {
    /// Class of customers.
    pub class: &'static str,
    /// Kind of request.
    pub kind: &'static str,
    /// Median first-token time over all seeds.
    pub p50_ms: u64,
    /// 95th percentile of the first-token time over all seeds.
    pub p95_ms: u64,
    /// Share of all requests, refused ones included, whose first token came
    /// within the promised time from the client's first try.
    pub good_share: f64,
}

/// Outcome of a case with one policy variant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CaseOutcome {
    /// Seconds in which groups that should serve did not.
    pub group_downtime_s: Spread,
    /// Seconds of service lost to slow members.
    pub slow_s: Spread,
    /// Accelerator-seconds in no complete group.
    pub stranded_accelerator_s: Spread,
    /// Groups re-formed.
    pub moves: Spread,
    /// Median first-token time.
    pub first_token_p50_ms: Spread,
    /// 95th percentile of the first-token time.
    pub first_token_p95_ms: Spread,
    /// Share of the prefixes of started requests that were in the group's cache.
    pub cached_share: Spread,
    /// Share of first tokens of admitted requests within the promised time.
    pub first_token_kept_share: Spread,
    /// Share of all requests with a first token within the promised time from the first try.
    pub good_share: Spread,
    /// Refused tries of large customers.
    pub refused_large: Spread,
    /// Refused tries of small customers.
    pub refused_small: Spread,
    /// Requests never admitted.
    pub given_up: Spread,
    /// Requests that were admitted but got no complete answer.
    pub failed: Spread,
    /// Attempts beyond the first one.
    pub retries: Spread,
    /// First-token times by class of customers and kind.
    pub first_tokens: Vec<FirstTokenRow>,
}

/// Comparison of the policy variants in a case under one user's policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the case.
    pub case: &'static str,
    /// Name of the user.
    pub user: &'static str,
    /// Weight of group downtime.
    pub weight_group_downtime: f64,
    /// Weight of stranded accelerators.
    pub weight_stranded_accelerator: f64,
    /// The naive variant.
    pub naive: CaseOutcome,
    /// The project's policy.
    pub project: CaseOutcome,
    /// The project's policy without cache events.
    pub without_events: CaseOutcome,
    /// The ratios without the seeds under which a variant left a group unplaced at the start.
    pub all_placed: AllPlaced,
}

/// Ratios over the seeds under which both variants placed all groups at the start.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AllPlaced {
    /// Number of such seeds.
    pub seeds: usize,
    /// Group downtime, slow service included, as a share of the naive one's.
    pub downtime_ratio: f64,
    /// Stranded accelerator time as a share of the naive one's.
    pub stranded_ratio: f64,
}

impl Comparison {
    /// Returns the project's group downtime, slow service included, as a share of the naive one's.
    pub fn downtime_ratio(&self) -> f64 {
        downtime_ratio(&self.naive, &self.project)
    }

    /// Returns the project's stranded accelerator time as a share of the naive one's.
    pub fn stranded_ratio(&self) -> f64 {
        stranded_ratio(&self.naive, &self.project)
    }
}

fn downtime_ratio(naive: &CaseOutcome, project: &CaseOutcome) -> f64 {
    let downtime = |it: &CaseOutcome| it.group_downtime_s.mean + it.slow_s.mean;
    ratio(downtime(project), downtime(naive))
}

fn stranded_ratio(naive: &CaseOutcome, project: &CaseOutcome) -> f64 {
    ratio(project.stranded_accelerator_s.mean, naive.stranded_accelerator_s.mean)
}

fn ratio(project: f64, naive: f64) -> f64 {
    if naive == 0.0 { 1.0 } else { project / naive }
}

/// Run of one variant with one seed.
type Run = (FleetOutcome, RequestOutcome);

/// Runs all variants of a case over seeds `0..seeds`.
pub fn compare(case: Case, user: User, seeds: u64) -> Comparison {
    let policy = user.policy();
    let naive = run(case, user, PolicyVariant::Naive, CacheFeedMode::None, &policy, seeds);
    let project = run(case, user, PolicyVariant::Project, CacheFeedMode::Events, &policy, seeds);
    let without_events =
        run(case, user, PolicyVariant::Project, CacheFeedMode::None, &policy, seeds);
    Comparison {
        case: case.name(),
        user: user.name(),
        weight_group_downtime: policy.group_downtime,
        weight_stranded_accelerator: policy.stranded_accelerator,
        all_placed: all_placed(&naive, &project),
        naive: summarise(&naive),
        project: summarise(&project),
        without_events: summarise(&without_events),
    }
}

/// Compares over the seeds under which both variants placed all groups at the start.
fn all_placed(naive: &[Run], project: &[Run]) -> AllPlaced {
    let has_all = |it: &Run| it.0.unplaced_groups == 0;
    let both =
        naive.iter().zip(project).filter(|(naive, project)| has_all(naive) && has_all(project));
    let (naive, project): (Vec<Run>, Vec<Run>) =
        both.map(|(naive, project)| (naive.clone(), project.clone())).unzip();
    let seeds = naive.len();
    let (naive, project) = (summarise(&naive), summarise(&project));
    AllPlaced {
        seeds,
        downtime_ratio: downtime_ratio(&naive, &project),
        stranded_ratio: stranded_ratio(&naive, &project),
    }
}

fn run(
    case: Case,
    user: User,
    variant: PolicyVariant,
    feed_mode: CacheFeedMode,
    policy: &PolicyParameters,
    seeds: u64,
) -> Vec<Run> {
    let one = |seed| {
        let fleet = run_fleet(&case.scenario(seed), variant, policy);
        let requests = run_requests(case, user, variant, feed_mode, &fleet.timelines, seed);
        (fleet, requests)
    };
    (0..seeds).map(one).collect()
}

fn summarise(runs: &[Run]) -> CaseOutcome {
    let of_fleet = |get: &dyn Fn(&FleetOutcome) -> f64| {
        Spread::of(&runs.iter().map(|(it, _)| get(it)).collect::<Vec<_>>())
    };
    let of_requests = |get: &dyn Fn(&RequestOutcome) -> f64| {
        Spread::of(&runs.iter().map(|(_, it)| get(it)).collect::<Vec<_>>())
    };
    CaseOutcome {
        group_downtime_s: of_fleet(&|it| it.group_downtime_s),
        slow_s: of_fleet(&|it| it.slow_s),
        stranded_accelerator_s: of_fleet(&|it| it.stranded_accelerator_s),
        moves: of_fleet(&|it| it.moves.into()),
        first_token_p50_ms: of_requests(&|it| percentile(&it.all_first_token_ms(), 0.5) as f64),
        cached_share: of_requests(&|it| it.cached_share),
        first_token_p95_ms: of_requests(&|it| percentile(&it.all_first_token_ms(), 0.95) as f64),
        first_token_kept_share: of_requests(&kept_share),
        good_share: of_requests(&RequestOutcome::good_share),
        refused_large: of_requests(&|it| it.refused_tries[0].into()),
        refused_small: of_requests(&|it| it.refused_tries[1].into()),
        given_up: of_requests(&|it| it.given_up.iter().sum::<u32>().into()),
        failed: of_requests(&|it| it.failed.into()),
        retries: of_requests(&|it| it.retries.into()),
        first_tokens: first_token_rows(runs),
    }
}

fn kept_share(outcome: &RequestOutcome) -> f64 {
    let all = outcome.all_first_token_ms();
    let kept = all.partition_point(|it| *it <= FIRST_TOKEN_PROMISE_MS);
    kept as f64 / all.len().max(1) as f64
}

fn first_token_rows(runs: &[Run]) -> Vec<FirstTokenRow> {
    let mut rows = Vec::new();
    for (class, class_name) in ["large", "small"].into_iter().enumerate() {
        for (kind, kind_name) in KINDS.into_iter().enumerate() {
            let times = runs.iter().flat_map(|(_, it)| &it.first_token_ms[class][kind]);
            let mut times: Vec<u64> = times.copied().collect();
            times.sort_unstable();
            let total: u32 = runs.iter().map(|(_, it)| it.total[class][kind]).sum();
            let good: u32 = runs.iter().map(|(_, it)| it.good[class][kind]).sum();
            rows.push(FirstTokenRow {
                class: class_name,
                kind: kind_name,
                p50_ms: percentile(&times, 0.5),
                p95_ms: percentile(&times, 0.95),
                good_share: f64::from(good) / f64::from(total.max(1)),
            });
        }
    }
    rows
}

fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}
