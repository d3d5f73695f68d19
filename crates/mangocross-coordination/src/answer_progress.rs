//! How far the answer to one request has come, over all its attempts.

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;

use crate::LeasedGroup;

/// A group that was tried; while it moves, two fabric domains hold an incarnation of it each.
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

/// How far the answer to one request has come, over all its attempts.
///
/// Every token is delivered once and in order. An attempt that fails is followed by another one
/// that resumes at the next token, if the request may be repeated: at another group, at another
/// incarnation of the same group, or over a fresh connection to the same one. The outcome never falls back: once a backend server answered, the
/// request ran, whatever later attempts say.
#[derive(Debug, Clone)]
pub struct AnswerProgress {
    idempotent: bool,
    attempts_max: u32,
    tried: Vec<TriedGroup>,
    next: TokenIndex,
    outcome: RunOutcome,
    last_outcome: RunOutcome,
}

impl AnswerProgress {
    /// Returns the progress of a request that was not tried yet.
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

    /// Returns the next token to deliver, which is also where an attempt resumes.
    pub fn next_token(&self) -> TokenIndex {
        self.next
    }

    /// Returns whether any token was delivered.
    pub fn has_begun(&self) -> bool {
        self.next.0 > 0
    }

    /// Returns what is known of the request's effect.
    pub fn outcome(&self) -> RunOutcome {
        self.outcome
    }

    /// Returns the number of attempts begun.
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

    /// Returns whether a group that was tried may be tried again over a fresh connection.
    ///
    /// That is of no use where the group was out of reach or refused the newest attempt.
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

    /// Records that the current attempt failed with an outcome.
    pub fn record_failure(&mut self, outcome: RunOutcome) {
        self.last_outcome = outcome;
        self.outcome = match (self.outcome, outcome) {
            (RunOutcome::Ran, _) | (_, RunOutcome::Ran) => RunOutcome::Ran,
            (RunOutcome::Unknown, _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            (RunOutcome::NotRun, RunOutcome::NotRun) => RunOutcome::NotRun,
        };
    }
}
