//! What callers and backend servers saw, held against the promises.

use std::collections::HashMap;
use std::collections::HashSet;

use super::deployment::Configured;
use super::deployment::Deployment;
use super::deployment::REVOKE;
use crate::platform::EVENTS;
use crate::platform::Kind;
use crate::platform::Outcome;
use crate::platform::Server;
use crate::platform::lock;

/// Servers that one request may run at.
const ATTEMPTS_MAX: usize = 2;
/// Statuses that promise that a request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns the promises that were broken, each with the request.
pub(super) fn broken_promises(deployment: &Deployment, outcomes: &[Outcome]) -> Vec<String> {
    let servers = || deployment.engines.iter().chain(&deployment.records);
    let mut runs: HashMap<String, usize> = HashMap::new();
    for attempt in servers().flat_map(Server::ran) {
        *runs.entry(attempt).or_default() += 1;
    }
    let configured = lock(&deployment.configured).clone();
    let mut broken: Vec<String> = servers().flat_map(Server::broken_promises).collect();
    for it in outcomes {
        let runs = runs.get(&it.attempt).copied().unwrap_or_default();
        let found = broken_by(it, runs, &configured);
        broken.extend(found.map(|what| format!("{what}, {runs} runs: {it:?}")));
    }
    broken
}

fn broken_by(outcome: &Outcome, runs: usize, configured: &[Configured]) -> Option<&'static str> {
    let is_complete = outcome.status == 200 && outcome.is_whole;
    if outcome.kind == Kind::Booking && runs > 1 {
        return Some("a booking ran twice");
    }
    if runs > ATTEMPTS_MAX {
        return Some("more attempts than the route allows");
    }
    if outcome.is_whole && NOT_RUN.contains(&outcome.status) && runs > 0 {
        return Some("a request that ran was said not to have run");
    }
    if is_complete && !outcome.is_signed {
        return Some("an answer without a signature");
    }
    if is_complete && runs == 0 {
        return Some("an answer to a request that did not run");
    }
    if outcome.status == 200 && !has_right_body(outcome) {
        return Some("a wrong body");
    }
    if runs > 0 && !was_allowed(outcome, configured) {
        return Some("a key that was taken away was trusted");
    }
    None
}

/// Returns whether events come in order and a whole answer has all of them.
fn has_right_body(outcome: &Outcome) -> bool {
    if outcome.kind != Kind::Stream {
        return !outcome.is_whole || outcome.body == "the whole body";
    }
    let ids: Vec<&str> = outcome.body.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
    let is_ordered = ids.iter().zip(1..).all(|(id, number)| *id == number.to_string());
    let unique: HashSet<&&str> = ids.iter().collect();
    let is_complete = ids.len() as u64 == EVENTS;
    is_ordered && unique.len() == ids.len() && (is_complete || !outcome.is_whole)
}

/// Returns whether a configuration that may have been in force when it was sent holds the key.
fn was_allowed(outcome: &Outcome, configured: &[Configured]) -> bool {
    let next = configured.iter().skip(1).map(|it| Some(it.acknowledged_at)).chain([None]);
    configured.iter().zip(next).any(|(it, replaced_at)| {
        let is_late = replaced_at.is_some_and(|at| outcome.sent_at > at + REVOKE);
        it.keys.contains(&outcome.key) && !is_late
    })
}
