//! The search for a server that answers a request.

mod ends;
mod limits;

use std::time::Duration;

use mangocross_types::VmId;

pub use self::ends::Obstacle;
pub use self::ends::SearchEnd;
pub use self::limits::SearchLimits;
pub use self::limits::SearchPolicy;
pub use self::limits::SearchWindow;
use crate::Moment;

/// Maximum number of times that the pause after a refusal doubles.
const REFUSAL_PAUSE_DOUBLINGS_MAX: u32 = 3;

/// One attempt of a request at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(u32);

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Send the request to a server that is not excluded.
    Send,
    /// Wait for the attempts in progress, at most until this moment, then ask again.
    Wait(Moment),
    /// End the request in this way.
    End(SearchEnd),
}

/// How an attempt that may have run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The server or the connection to it broke; there is no answer.
    Broke,
    /// The server answered with an error.
    Answered,
}

/// An attempt without a result.
#[derive(Debug, Clone)]
struct Attempt {
    id: AttemptId,
    vm: VmId,
    is_silent: bool,
}

/// The refusals of one server, which did not run the request.
#[derive(Debug, Clone)]
struct Refusals {
    vm: VmId,
    count: u32,
    last_at: Moment,
}

/// The search for a server that answers one request.
///
/// Silence of a server is a reason to ask another one beside it, never to give up its attempt. Full
/// servers, an empty retry budget and servers that cannot be used at the moment are asked for again
/// while something depends on it; what no server has run is refused at once.
#[derive(Debug, Clone)]
pub struct ServerSearch {
    limits: SearchLimits,
    attempts: Vec<Attempt>,
    /// Attempts that failed and may have run.
    failed_runs: u32,
    has_broken: bool,
    last_failure: Option<AttemptFailure>,
    sends: u32,
    last_sent_at: Moment,
    connect_failures: u32,
    /// Servers that may have run the request or could not be reached.
    tried: Vec<VmId>,
    refusals: Vec<Refusals>,
    /// Why nothing could be sent the last time, and when that was found.
    obstacle: Option<(Obstacle, Moment)>,
}

impl ServerSearch {
    /// Starts a search for a request that has not been sent yet.
    pub fn new(limits: SearchLimits) -> Self {
        Self {
            limits,
            attempts: Vec::new(),
            failed_runs: 0,
            has_broken: false,
            last_failure: None,
            sends: 0,
            last_sent_at: Moment::default(),
            connect_failures: 0,
            tried: Vec::new(),
            refusals: Vec::new(),
            obstacle: None,
        }
    }

    /// Starts a search for a server that continues a stream, which may have run `runs` times, the last
    /// time at `server`.
    pub fn continuing(limits: SearchLimits, server: VmId, runs: u32) -> Self {
        Self { failed_runs: runs, tried: vec![server], ..Self::new(limits) }
    }

    /// Returns the number of attempts that may have run.
    pub fn runs(&self) -> u32 {
        self.failed_runs + self.attempts.len() as u32
    }

    /// Returns the number of failed connections.
    pub fn connect_failures(&self) -> u32 {
        self.connect_failures
    }

    /// Returns whether the next attempt has to be paid for.
    pub fn needs_retry(&self) -> bool {
        self.sends > 0 || self.limits.policy == SearchPolicy::StreamContinuation
    }

    /// Decides what to do next.
    pub fn next(&self, now: Moment, window: &SearchWindow) -> SearchStep {
        if now >= window.deadline {
            return SearchStep::End(SearchEnd::TimeOver { may_have_run: self.runs() > 0 });
        }
        if self.attempts.iter().any(|it| !it.is_silent) {
            return SearchStep::Wait(window.deadline);
        }
        let (obstacle, ask_at) = match self.bound(now, window) {
            Some(it) => it,
            None => match self.obstacle {
                Some((it, since)) if self.is_in_force(it, since, now, window) => {
                    (it, self.ask_again_at(it, since))
                }
                Some(_) | None => return SearchStep::Send,
            },
        };
        match (self.may_change(obstacle, now, window), self.attempts.is_empty()) {
            (true, _) => SearchStep::Wait(ask_at.max(now).min(window.deadline)),
            (false, false) => SearchStep::Wait(window.deadline),
            (false, true) if self.runs() > 0 => SearchStep::End(SearchEnd::Failed(obstacle)),
            (false, true) => SearchStep::End(SearchEnd::NotRun(obstacle)),
        }
    }

    /// Returns whether the request may still be sent, for example after a connection was opened.
    pub fn may_send(&self, now: Moment, window: &SearchWindow) -> bool {
        now < window.deadline && self.bound(now, window).is_none()
    }

    /// Returns whether another server is asked once the attempts in progress are silent.
    pub fn may_ask_beside(&self, window: &SearchWindow) -> bool {
        self.runs() < self.limits.attempts_max && window.may_move
    }

    /// Returns whether the head of an attempt's answer is passed on before its first event, since no
    /// other attempt can come first.
    pub fn takes_head(&self) -> bool {
        match self.limits.policy {
            SearchPolicy::Once => true,
            SearchPolicy::StreamStart => {
                self.attempts.len() == 1 && self.runs() >= self.limits.attempts_max
            }
            SearchPolicy::StreamContinuation | SearchPolicy::Repeatable => false,
        }
    }

    /// Returns the servers that are not to be asked now.
    pub fn excluded(&self, now: Moment) -> Vec<VmId> {
        let is_held_back =
            |it: &&Refusals| !self.asks_again() || now < it.last_at + self.refusal_pause(it.count);
        let refused = self.refusals.iter().filter(is_held_back).map(|it| &it.vm);
        self.tried.iter().chain(refused).cloned().collect()
    }

    /// Returns whether a server has refused the request. It is asked again on a new connection: on one
    /// from before, the refusal could come once more and would name the right attempt.
    pub fn has_refused(&self, vm: &VmId) -> bool {
        self.refusals.iter().any(|it| it.vm == *vm)
    }

    /// Returns whether a server is never asked again.
    pub fn has_tried(&self, vm: &VmId) -> bool {
        self.tried.contains(vm)
    }

    /// Records that the request cannot be sent at the moment.
    pub fn cannot_send(&mut self, obstacle: Obstacle, now: Moment) {
        self.obstacle = Some((obstacle, now));
    }

    /// Records that no connection to a server could be opened.
    pub fn connect_failed(&mut self, vm: VmId) {
        self.connect_failures += 1;
        self.tried.push(vm);
        self.obstacle = None;
    }

    /// Records that the request was sent to a server.
    pub fn sent(&mut self, vm: VmId, now: Moment) -> AttemptId {
        let id = AttemptId(self.sends);
        self.sends += 1;
        self.last_sent_at = now;
        self.obstacle = None;
        self.tried.push(vm.clone());
        self.attempts.push(Attempt { id, vm, is_silent: false });
        id
    }

    /// Records that an attempt's server is silent.
    pub fn silent(&mut self, id: AttemptId) {
        if let Some(it) = self.attempts.iter_mut().find(|it| it.id == id) {
            it.is_silent = true;
        }
    }

    /// Records that an attempt's server did not run the request.
    pub fn refused(&mut self, id: AttemptId, now: Moment) {
        let Some(attempt) = self.take(id) else { return };
        self.tried.retain(|it| *it != attempt.vm);
        match self.refusals.iter_mut().find(|it| it.vm == attempt.vm) {
            Some(it) => {
                it.count += 1;
                it.last_at = now;
            }
            None => self.refusals.push(Refusals { vm: attempt.vm, count: 1, last_at: now }),
        }
    }

    /// Records that an attempt failed.
    pub fn failed(&mut self, id: AttemptId, failure: AttemptFailure) {
        if self.take(id).is_some() {
            self.failed_runs += 1;
            self.has_broken |= failure == AttemptFailure::Broke;
            self.last_failure = Some(failure);
        }
    }

    /// Returns the time for which a server is not asked again after so many refusals. It grows, so
    /// that servers that stay full do not use up the retries, unless the caller of a stream would
    /// abandon it meanwhile.
    fn refusal_pause(&self, count: u32) -> Duration {
        let doublings = match self.limits.policy {
            SearchPolicy::StreamContinuation => 0,
            _ => count.saturating_sub(1).min(REFUSAL_PAUSE_DOUBLINGS_MAX),
        };
        self.limits.refusal_pause * (1 << doublings)
    }

    fn take(&mut self, id: AttemptId) -> Option<Attempt> {
        let at = self.attempts.iter().position(|it| it.id == id)?;
        self.obstacle = self.obstacle.filter(|(it, _)| it.is_lasting());
        Some(self.attempts.remove(at))
    }

    /// Returns what prevents every further attempt, and when that may be over.
    fn bound(&self, now: Moment, window: &SearchWindow) -> Option<(Obstacle, Moment)> {
        let limits = &self.limits;
        let is_continuation = limits.policy == SearchPolicy::StreamContinuation;
        let may_crash_another = is_continuation || self.has_broken || !self.attempts.is_empty();
        if self.runs() >= limits.attempts_max {
            return Some((Obstacle::AttemptsUsed, now));
        }
        if may_crash_another && !window.may_move {
            return Some((Obstacle::MayNotMove, now));
        }
        if now >= window.send_until {
            let last = self.obstacle.map_or(Obstacle::NoRoom, |it| it.0);
            return Some((last, now));
        }
        if self.connect_failures > limits.connect_failures_max {
            return Some((Obstacle::Unreachable, now));
        }
        let refused_until = self.last_sent_at + limits.refusal_pause;
        let is_held_back = !self.asks_again() || now < refused_until;
        let refusals: u32 = self.refusals.iter().map(|it| it.count).sum();
        (refusals >= limits.refusals_max && is_held_back)
            .then_some((Obstacle::Refused, refused_until))
    }

    /// Returns whether nothing is sent because of an obstacle that was found before.
    fn is_in_force(
        &self,
        obstacle: Obstacle,
        since: Moment,
        now: Moment,
        window: &SearchWindow,
    ) -> bool {
        obstacle.is_lasting()
            || now < self.ask_again_at(obstacle, since)
            || (self.attempts.is_empty() && !self.may_change(obstacle, now, window))
    }

    fn ask_again_at(&self, obstacle: Obstacle, since: Moment) -> Moment {
        match obstacle == Obstacle::NoRoom && since < self.limits.admission_until {
            true => since + self.limits.admission_delay,
            false => since + self.limits.ask_again_delay,
        }
    }

    /// Returns whether it is worth while to wait for the end of an obstacle.
    fn may_change(&self, obstacle: Obstacle, now: Moment, window: &SearchWindow) -> bool {
        let is_bound = matches!(
            obstacle,
            Obstacle::AttemptsUsed
                | Obstacle::MayNotMove
                | Obstacle::Unreachable
                | Obstacle::Quarantined
                | Obstacle::NotAdmitted
        );
        if is_bound || now >= window.send_until {
            return false;
        }
        match obstacle {
            Obstacle::NoServer => {
                !self.attempts.is_empty() || self.limits.policy == SearchPolicy::StreamContinuation
            }
            Obstacle::NoRoom if now < self.limits.admission_until => true,
            _ => self.asks_again(),
        }
    }

    /// Returns whether a momentary obstacle is waited for: an attempt is in progress, or one broke and
    /// left no answer that could be passed on.
    fn asks_again(&self) -> bool {
        !self.attempts.is_empty()
            || self.limits.policy == SearchPolicy::StreamContinuation
            || (self.failed_runs > 0 && self.last_failure == Some(AttemptFailure::Broke))
    }
}
