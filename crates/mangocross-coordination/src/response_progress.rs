//! Progress of the response to one request over all its attempts.

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;

use crate::LeasedGroup;

/// A group that was tried.
///
/// While a group moves, two fabric domains each hold an incarnation of it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TriedGroup {
    group: GroupId,
    domain: FabricDomain,
    incarnation: Incarnation,
}

impl TriedGroup {
    fn of(group: &LeasedGroup) -> Self {
        Self {
            group: group.group.clone(),
            domain: group.domain.clone(),
            incarnation: group.incarnation,
        }
    }
}

/// Progress of the response to one request over all its attempts.
///
/// Every token is delivered once and in order. If the request may be repeated, a failed attempt is
/// followed by another one that resumes at the next token: at another group, at another incarnation
/// of the same group, or over a new connection to the same one. The outcome never regresses: once a
/// backend server has responded, the request ran, whatever later attempts return.
#[derive(Debug, Clone)]
pub struct ResponseProgress {
    idempotent: bool,
    attempts_max: u32,
    tried: Vec<TriedGroup>,
    next: TokenIndex,
    outcome: RunOutcome,
    last_outcome: RunOutcome,
}

impl ResponseProgress {
    /// Returns the progress of a request that has not been tried.
    pub fn new(idempotent: bool, attempts_max: u32) -> Self {
        Self {
            idempotent,
            attempts_max,
            tried: Vec::new(),
            next: TokenIndex(0),
            outcome: RunOutcome::NotRun,
            last_outcome: RunOutcome::NotRun,
        }
    }

    /// Returns the index of the next token to deliver, at which the next attempt resumes.
    pub fn next_token(&self) -> TokenIndex {
        self.next
    }

    /// Returns whether any token has been delivered.
    pub fn has_begun(&self) -> bool {
        self.next.0 > 0
    }

    /// Returns the run outcome of the request over all attempts so far.
    pub fn outcome(&self) -> RunOutcome {
        self.outcome
    }

    /// Returns the number of attempts started.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Returns whether another attempt is allowed.
    ///
    /// A request that may not be repeated is tried again only if it certainly did not run.
    pub fn may_attempt(&self) -> bool {
        let repeatable = self.idempotent || self.outcome == RunOutcome::NotRun;
        repeatable && self.tried.len() < self.attempts_max as usize
    }

    /// Returns whether an incarnation of a group has not been tried.
    pub fn is_untried(&self, group: &LeasedGroup) -> bool {
        !self.tried.contains(&TriedGroup::of(group))
    }

    /// Returns whether a group that was tried may be tried again over a new connection.
    ///
    /// That is pointless if the group could not be reached or refused the last attempt.
    pub fn may_retry_same_group(&self) -> bool {
        self.last_outcome != RunOutcome::NotRun
    }

    /// Records the start of an attempt.
    pub fn begin_attempt(&mut self, group: &LeasedGroup) {
        self.tried.push(TriedGroup::of(group));
    }

    /// Records a token of the current attempt; returns whether it is the next one to deliver.
    pub fn record_token(&mut self, index: TokenIndex) -> bool {
        self.outcome = RunOutcome::Ran;
        if index != self.next {
            return false;
        }
        self.next = TokenIndex(index.0 + 1);
        true
    }

    /// Records that the current attempt failed with this run outcome.
    pub fn record_failure(&mut self, outcome: RunOutcome) {
        self.last_outcome = outcome;
        self.outcome = match (self.outcome, outcome) {
            (RunOutcome::Ran, _) | (_, RunOutcome::Ran) => RunOutcome::Ran,
            (RunOutcome::Unknown, _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            (RunOutcome::NotRun, RunOutcome::NotRun) => RunOutcome::NotRun,
        };
    }
}
