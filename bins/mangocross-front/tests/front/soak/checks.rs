//! Checks of the system's guarantees on what callers and backend servers observed.

use std::collections::HashMap;
use std::collections::HashSet;

use super::deployment::ConfiguredKeys;
use super::deployment::Deployment;
use super::deployment::REVOKE;
use crate::platform::EVENTS;
use crate::platform::Outcome;
use crate::platform::RequestKind;
use crate::platform::Server;
use crate::platform::lock;

/// Maximum number of runs of one caller's attempt; `max_attempts` of the routes.
const RUNS_MAX: usize = 2;
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
    for it in outcomes {
        let runs = runs.get(&it.attempt).copied().unwrap_or_default();
        let found = violation_of(it, runs, &configured);
        violations.extend(found.map(|what| format!("{what}, {runs} runs: {it:?}")));
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
