//! Operations queued by shard.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ClaimOperation;

use crate::ticket::Ticket;

/// Longest wait before the first retry of an operation.
const FIRST_RETRY_WAIT_MAX: Duration = Duration::from_millis(100);
/// Longest wait before any retry of an operation.
const RETRY_WAIT_MAX: Duration = Duration::from_millis(5_000);
/// Doublings after which the wait no longer grows.
const DOUBLINGS_MAX: u32 = 6;

/// An operation, with the ticket of the caller that waits for it.
#[derive(Debug, Clone)]
pub(crate) struct QueuedOperation {
    pub(crate) operation: ClaimOperation,
    pub(crate) ticket: Option<Arc<Ticket>>,
    pub(crate) tries: u32,
}

/// Operations on one shard that are committed together.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) store_key: Arc<str>,
    pub(crate) queued: Vec<QueuedOperation>,
}

/// Operations queued by shard; each shard has at most one commit at a time.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pending: HashMap<Arc<str>, Vec<QueuedOperation>>,
    ready: VecDeque<Arc<str>>,
    busy: HashSet<Arc<str>>,
    deferred: BTreeMap<(Instant, u64), (Arc<str>, QueuedOperation)>,
    last_deferred: u64,
    open: usize,
    pub(crate) closed: bool,
}

impl Queue {
    /// Returns the number of operations that have not ended.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// Adds an operation, which counts as open until it has ended.
    pub(crate) fn push(&mut self, store_key: Arc<str>, queued: QueuedOperation) {
        self.open += 1;
        self.enqueue(store_key, queued);
    }

    /// Queues a retry or a release to be committed after a wait that grows with each try.
    pub(crate) fn defer(&mut self, store_key: Arc<str>, mut queued: QueuedOperation, now: Instant) {
        queued.tries += 1;
        self.last_deferred += 1;
        let due = now + retry_wait(queued.tries);
        self.deferred.insert((due, self.last_deferred), (store_key, queued));
    }

    /// Records that an operation has ended.
    pub(crate) fn ended(&mut self) {
        self.open -= 1;
    }

    /// Removes all operations that wait for one shard, and marks the shard as busy.
    pub(crate) fn pop_batch(&mut self, now: Instant) -> Option<Batch> {
        while let Some(entry) = self.deferred.first_entry()
            && entry.key().0 <= now
        {
            let (store_key, queued) = entry.remove();
            self.enqueue(store_key, queued);
        }
        let store_key = self.ready.pop_front()?;
        let queued = self.pending.remove(&store_key).unwrap_or_default();
        self.busy.insert(Arc::clone(&store_key));
        Some(Batch { store_key, queued })
    }

    /// Marks a shard as free after its commit.
    pub(crate) fn mark_free(&mut self, store_key: &Arc<str>) {
        self.busy.remove(store_key);
        if self.pending.contains_key(store_key) {
            self.ready.push_back(Arc::clone(store_key));
        }
    }

    /// Returns when the next deferred operation is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.deferred.first_key_value().map(|((due, _), _)| *due)
    }

    fn enqueue(&mut self, store_key: Arc<str>, queued: QueuedOperation) {
        let waiting = self.pending.entry(Arc::clone(&store_key)).or_default();
        waiting.push(queued);
        if waiting.len() == 1 && !self.busy.contains(&store_key) {
            self.ready.push_back(store_key);
        }
    }
}

/// Returns a wait that doubles with each try, with jitter so that the retries do not reach a
/// recovering store all at once.
fn retry_wait(tries: u32) -> Duration {
    let doublings = tries.saturating_sub(1).min(DOUBLINGS_MAX);
    let longest = (FIRST_RETRY_WAIT_MAX * 2_u32.pow(doublings)).min(RETRY_WAIT_MAX);
    longest.mul_f64(0.5 + fastrand::f64() / 2.0)
}
