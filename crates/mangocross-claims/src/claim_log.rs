//! The claim log.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimKey;
use mangocross_coordination::ClaimLayout;
use mangocross_coordination::ClaimOperation;
use mangocross_coordination::ClaimState;
use mangocross_coordination::CommitEnd;
use mangocross_types::AttemptId;
use mangocross_types::Clock;
use mangocross_types::CustomerId;
use peer_store::Store;

use crate::ClaimCounts;
use crate::ClaimError;
use crate::ClaimLimits;
use crate::commit;
use crate::completion::FollowUp;
use crate::completion::complete_operation;
use crate::counts::Counters;
use crate::counts::count;
use crate::health::StoreHealth;
use crate::queue::Batch;
use crate::queue::Queue;
use crate::queue::QueuedOperation;
use crate::ticket::Ticket;
use crate::ticket::lock;

/// Longest wait of an idle worker.
const IDLE_MAX: Duration = Duration::from_secs(1);

/// Makes, records and releases claims, batching many into one write to the store.
///
/// Dropping it stops its workers; operations that are still open are abandoned and may or may not
/// have taken effect.
pub struct ClaimLog {
    shared: Arc<Shared>,
}

struct Shared {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    limits: ClaimLimits,
    layout: ClaimLayout,
    queue: Mutex<Queue>,
    changed: Condvar,
    health: Mutex<StoreHealth>,
    counters: Counters,
}

impl ClaimLog {
    /// Starts the workers of a claim log.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn spawn(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        limits: ClaimLimits,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store,
            clock,
            limits,
            layout: ClaimLayout::CURRENT,
            queue: Mutex::default(),
            changed: Condvar::new(),
            health: Mutex::default(),
            counters: Counters::default(),
        });
        for _ in 0..limits.workers {
            let shared = Arc::clone(&shared);
            thread::Builder::new().name("claims".into()).spawn(move || shared.run_worker())?;
        }
        Ok(Self { shared })
    }

    /// Returns an attempt to send a request with a key within `time_limit` from now.
    ///
    /// It may send once [`ClaimLog::begin`] has granted the claim.
    pub fn new_attempt(
        &self,
        key: ClaimKey,
        holder: AttemptId,
        time_limit: Duration,
    ) -> ClaimAttempt {
        let clock = self.shared.clock.as_ref();
        ClaimAttempt::new(key, holder, time_limit, clock.now(), commit::wall_s(clock))
    }

    /// Returns whether a granted request may still be sent; must be called right before sending.
    pub fn may_send(&self, attempt: &ClaimAttempt) -> bool {
        let clock = self.shared.clock.as_ref();
        attempt.may_send(clock.now(), commit::wall_s(clock))
    }

    /// Claims a key, durably.
    ///
    /// # Errors
    ///
    /// Fails if no decision was received: the store failed or did not answer in time, other entry
    /// VMs kept writing the same shard, or too many operations are open. The attempt must not send
    /// the request. If the store may contain the claim, it is released in the background.
    pub fn begin(
        &self,
        attempt: &ClaimAttempt,
        customer: &CustomerId,
        request_digest: ClaimDigest,
    ) -> Result<ClaimDecision, ClaimError> {
        let now = self.shared.clock.now();
        if lock(&self.shared.queue).open() >= self.shared.limits.open_max {
            return Err(ClaimError::Overloaded);
        }
        if !lock(&self.shared.health).try_admit(now) {
            return Err(ClaimError::StoreUnavailable);
        }
        let request = attempt.claim_request(&self.shared.layout, customer.clone(), request_digest);
        let ticket = Arc::new(Ticket::default());
        self.shared.push(attempt, ClaimOperation::Begin(request), Some(Arc::clone(&ticket)));
        let limit = self.shared.limits.claim_wait.min(attempt.time_left(now));
        match ticket.wait(limit) {
            Some(Ok(Some(decision))) => Ok(decision),
            Some(Err(error)) => Err(error),
            Some(Ok(None)) | None => Err(ClaimError::TimedOut),
        }
    }

    /// Records how a sent request ended.
    ///
    /// Returns whether the store holds the record; if not, it is recorded in the background.
    pub fn finish(&self, attempt: &ClaimAttempt, state: ClaimState) -> bool {
        let ticket = Arc::new(Ticket::default());
        self.push_finish(attempt, state, Some(Arc::clone(&ticket)));
        ticket.wait(self.shared.limits.record_wait).is_some_and(|it| it.is_ok())
    }

    /// Records how a sent request ended, without waiting.
    pub fn finish_later(&self, attempt: &ClaimAttempt, state: ClaimState) {
        self.push_finish(attempt, state, None);
    }

    /// Releases a claim whose request was not sent and never will be, without waiting.
    pub fn release(&self, attempt: ClaimAttempt) {
        let key = attempt.key.digest().clone();
        let holder = attempt.holder.clone();
        let operation = ClaimOperation::Release { key, holder, lost_write_revision: None };
        self.shared.push(&attempt, operation, None);
    }

    /// Waits at most `limit` until no operation is open; returns whether none is.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut queue = lock(&self.shared.queue);
        while queue.open() > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(queue, left);
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Returns the counters since the start, and the number of operations currently open.
    pub fn counts(&self) -> ClaimCounts {
        let open = lock(&self.shared.queue).open();
        self.shared.counters.read(open)
    }

    fn push_finish(&self, attempt: &ClaimAttempt, state: ClaimState, ticket: Option<Arc<Ticket>>) {
        let key = attempt.key.digest().clone();
        let holder = attempt.holder.clone();
        self.shared.push(attempt, ClaimOperation::Finish { key, holder, state }, ticket);
    }
}

impl fmt::Debug for ClaimLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimLog").field("counts", &self.counts()).finish_non_exhaustive()
    }
}

impl Drop for ClaimLog {
    fn drop(&mut self) {
        lock(&self.shared.queue).closed = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn push(&self, attempt: &ClaimAttempt, operation: ClaimOperation, ticket: Option<Arc<Ticket>>) {
        let store_key = self.layout.store_key(&attempt.key).into();
        lock(&self.queue).push(store_key, QueuedOperation { operation, ticket, tries: 0 });
        self.changed.notify_all();
    }

    fn run_worker(&self) {
        while let Some(mut batch) = self.next_batch() {
            let (store, clock) = (self.store.as_ref(), self.clock.as_ref());
            let end = commit::execute(store, clock, &self.counters, &batch);
            self.record_health(&end);
            let queued = std::mem::take(&mut batch.queued);
            count(&self.counters.operations, queued.len());
            let next = queued.into_iter().enumerate();
            let next = next.map(|(index, it)| complete_operation(it, &end, index)).collect();
            self.process_results(&batch, next);
        }
    }

    fn next_batch(&self) -> Option<Batch> {
        let mut queue = lock(&self.queue);
        loop {
            if queue.closed {
                return None;
            }
            let now = self.clock.now();
            if let Some(batch) = queue.pop_batch(now) {
                return Some(batch);
            }
            let due = queue.next_due().map_or(IDLE_MAX, |it| it.saturating_duration_since(now));
            let waited = self.changed.wait_timeout(queue, due.min(IDLE_MAX));
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn record_health(&self, end: &CommitEnd) {
        let mut health = lock(&self.health);
        match end {
            CommitEnd::Failed { store_failed: true, .. } => health.failed(self.clock.now()),
            CommitEnd::Failed { .. } | CommitEnd::Committed(_) => health.succeeded(),
        }
    }

    fn process_results(&self, batch: &Batch, next: Vec<FollowUp>) {
        let now = self.clock.now();
        let mut queue = lock(&self.queue);
        for next in next {
            match next {
                FollowUp::Ended => queue.ended(),
                FollowUp::Retry(queued) | FollowUp::Release(queued) => {
                    count(&self.counters.deferred, 1);
                    queue.defer(Arc::clone(&batch.store_key), queued, now);
                }
            }
        }
        queue.mark_free(&batch.store_key);
        drop(queue);
        self.changed.notify_all();
    }
}
