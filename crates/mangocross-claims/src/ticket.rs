//! A caller's wait for an operation.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ClaimDecision;

use crate::ClaimError;

/// Result of an operation; only a claim has a decision.
pub(crate) type OperationResult = Result<Option<ClaimDecision>, ClaimError>;

/// A caller's wait for an operation: it either receives the result or has abandoned the wait, never
/// both.
#[derive(Debug, Default)]
pub(crate) struct Ticket {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Waiting,
    Done(OperationResult),
    Abandoned,
}

impl Ticket {
    /// Sets the result; returns whether the caller still waits for it.
    pub(crate) fn set_result(&self, result: OperationResult) -> bool {
        let mut state = lock(&self.state);
        if matches!(*state, State::Abandoned) {
            return false;
        }
        *state = State::Done(result);
        self.changed.notify_all();
        true
    }

    /// Waits for the result, and abandons the wait after `limit`.
    pub(crate) fn wait(&self, limit: Duration) -> Option<OperationResult> {
        let deadline = Instant::now() + limit;
        let mut state = lock(&self.state);
        loop {
            if let State::Done(result) = &*state {
                return Some(result.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                *state = State::Abandoned;
                return None;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Locks a mutex, ignoring poisoning: each value is consistent after every statement that changes
/// it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
