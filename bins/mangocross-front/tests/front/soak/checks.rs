//! Checks of the system's guarantees on what callers and backend servers observed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::deployment::ConfiguredKeys;
use super::deployment::Deployment;
use super::deployment::REVOKE;
use super::deployment::front_of;
use super::faults::FAULT_MAX_MS;
use super::faults::all_servers;
use crate::platform::Arrival;
use crate::platform::EVENTS;
use crate::platform::Outcome;
use crate::platform::RequestKind;
use crate::platform::Server;
use crate::platform::lock;

/// Maximum number of runs of one caller's attempt; `max_attempts` of the routes.
const RUNS_MAX: usize = 2;
/// Time after an answer with a notice in which further requests may still reach its server.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests from one entry VM to a server that wants nothing.
const PAUSED_REQUESTS_MAX: usize = 2;
/// Statuses that guarantee that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns the violated guarantees; those that callers observed name the request.
pub(super) fn violations(deployment: &Deployment, outcomes: &[Outcome]) -> Vec<String> {
    let servers = || deployment.engines.iter().chain(&deployment.plain_servers);
    let mut runs: HashMap<String, usize> = HashMap::new();
    for attempt in servers().flat_map(Server::ran) {
        *runs.entry(attempt).or_default() += 1;
    }
    let configured = lock(&deployment.configured).clone();
    let mut violations: Vec<String> = servers().flat_map(Server::violations).collect();
    violations.extend(requests_to_leaving_servers(deployment, outcomes));
    violations.extend(requests_to_paused_servers(deployment));
    for it in outcomes {
        let runs = runs.get(&it.attempt).copied().unwrap_or_default();
        let found = violation_of(it, runs, &configured);
        violations.extend(found.map(|what| format!("{what}, {runs} runs: {it:?}")));
    }
    violations
}

/// Returns the answers that were cut although no process failed and no link was harmed.
pub(super) fn cut_answers(outcomes: &[Outcome]) -> Vec<String> {
    let is_cut = |it: &&Outcome| !it.is_whole;
    outcomes.iter().filter(is_cut).map(|it| format!("a sound answer was cut: {it:?}")).collect()
}

/// Returns whether an entry VM was disrupted between two moments, or shortly before the first.
fn is_disrupted(deployment: &Deployment, front: usize, from: Instant, to: Instant) -> bool {
    let earliest = from - Duration::from_millis(FAULT_MAX_MS);
    let fronts = &deployment.disrupted_fronts;
    fronts.iter().any(|(it, at)| *it == front && *at >= earliest && *at <= to)
}

/// Returns the requests that reached a server long after their entry VM had passed on its answer
/// that it leaves.
fn requests_to_leaving_servers(deployment: &Deployment, outcomes: &[Outcome]) -> Vec<String> {
    let sent_at: HashMap<&str, Instant> =
        outcomes.iter().map(|it| (it.attempt.as_str(), it.sent_at)).collect();
    let mut told: HashMap<(usize, String), Instant> = HashMap::new();
    for it in outcomes {
        let Some(front) = front_of(&it.attempt) else { continue };
        let Some(life) = &it.leaving_server else { continue };
        let at = told.entry((front, life.clone())).or_insert(it.answered_at);
        *at = it.answered_at.min(*at);
    }
    let arrivals = all_servers(deployment).into_iter().flat_map(Server::arrivals);
    let late = arrivals.filter_map(|it| {
        let front = front_of(&it.attempt)?;
        let told_at = *told.get(&(front, it.life.clone()))?;
        let sent_at = *sent_at.get(it.attempt.as_str())?;
        let is_late =
            sent_at > told_at + NOTICE_TIME && !is_disrupted(deployment, front, told_at, sent_at);
        is_late.then(|| format!("a request to a server that leaves: {it:?}"))
    });
    late.collect()
}

/// Returns the refusals after which more requests than allowed reached a server that wanted none.
fn requests_to_paused_servers(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, server) in all_servers(deployment).into_iter().enumerate() {
        let arrivals = server.arrivals();
        for refused in &arrivals {
            let Some(pause) = refused.pause else { continue };
            let Some(front) = front_of(&refused.attempt) else { continue };
            let (from, to) = (refused.at + NOTICE_TIME, refused.at + pause);
            let is_counted =
                |it: &&Arrival| front_of(&it.attempt) == Some(front) && it.at > from && it.at < to;
            let count = arrivals.iter().filter(is_counted).count();
            // The entry VM may not have got the refusal.
            let earliest = refused.at - Duration::from_millis(FAULT_MAX_MS);
            let harmed = &deployment.harmed_servers;
            let is_harmed =
                harmed.iter().any(|(it, at)| *it == number && *at >= earliest && *at <= to);
            if count > PAUSED_REQUESTS_MAX
                && !is_harmed
                && !is_disrupted(deployment, front, refused.at, to)
            {
                violations.push(format!("{count} requests in the time of a refusal: {refused:?}"));
            }
        }
    }
    violations
}

fn violation_of(
    outcome: &Outcome,
    runs: usize,
    configured: &[ConfiguredKeys],
) -> Option<&'static str> {
    let is_complete = outcome.status == 200 && outcome.is_whole;
    if outcome.kind == RequestKind::Booking && runs > 1 {
        return Some("a booking ran twice");
    }
    if runs > RUNS_MAX {
        return Some("more runs than the route allows");
    }
    if outcome.is_whole && NOT_RUN.contains(&outcome.status) && runs > 0 {
        return Some("a request that ran was reported as not run");
    }
    if outcome.status != 0 && outcome.named_attempt.as_deref() != Some(&*outcome.attempt) {
        return Some("an answer to another request");
    }
    if is_complete && !outcome.is_signed {
        return Some("an answer without a signature");
    }
    if is_complete && runs == 0 {
        return Some("an answer to a request that did not run");
    }
    if outcome.status == 200 && !has_expected_body(outcome) {
        return Some("a wrong body");
    }
    if runs > 0 && !was_allowed(outcome, configured) {
        return Some("a revoked key was accepted");
    }
    None
}

/// Returns whether a complete body is the expected one, and whether the events of a stream are in
/// order without repeats.
fn has_expected_body(outcome: &Outcome) -> bool {
    if outcome.kind != RequestKind::Stream {
        return !outcome.is_whole || outcome.body == "the whole body";
    }
    let ids: Vec<&str> = outcome.body.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
    let is_ordered = ids.iter().zip(1..).all(|(id, number)| *id == number.to_string());
    let unique: HashSet<&&str> = ids.iter().collect();
    let is_complete = ids.len() as u64 == EVENTS;
    is_ordered && unique.len() == ids.len() && (is_complete || !outcome.is_whole)
}

/// Returns whether a configuration that may have been in force at the time of sending has the key.
fn was_allowed(outcome: &Outcome, configured: &[ConfiguredKeys]) -> bool {
    let next = configured.iter().skip(1).map(|it| Some(it.acknowledged_at)).chain([None]);
    configured.iter().zip(next).any(|(it, replaced_at)| {
        let is_late = replaced_at.is_some_and(|at| outcome.sent_at > at + REVOKE);
        it.keys.contains(&outcome.key) && !is_late
    })
}
