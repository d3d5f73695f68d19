//! The byte budget of a process.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

/// Divisor of a process's memory that gives its budget. The other half is for the program itself, its
/// view of the system, and what the allocator loses between buffers of different sizes.
const MEMORY_DIVISOR: u64 = 2;
/// Divisor of the budget that gives the reserve, which only clients that hold little may use, so that
/// a few large bodies do not keep ordinary requests out.
const RESERVE_DIVISOR: usize = 8;
/// Bytes up to which a client may use the reserve: its connection, a head and a body of usual size.
const SMALL_BYTES: usize = 64 << 10;
/// Time without a byte after which a client counts as stalled. A client that shares a link of 20 Mbit/s
/// with 2,300 others, the most that the smallest entry VM accepts, moves about 1 KB in it.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Shortest time over which a rate is computed, so that one early packet is not a high rate.
const RATE_TIME_MIN: Duration = Duration::from_millis(1);

/// The budget has no room, and no other client makes less progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the byte budget of the process has no room; send less at a time")
    }
}

impl std::error::Error for BudgetExhausted {}

/// Budget for all bytes that a process buffers for its clients.
///
/// Bytes are charged to a client as they are allocated, and given back when their guard is dropped.
/// When the budget runs short, clients that the process waits for are closed, those with the least
/// progress first.
///
/// # Examples
///
/// ```
/// # use mangocross_http::ByteBudget;
/// let budget = ByteBudget::of_memory(1 << 20);
/// let client = budget.enter();
/// let held = client.hold(4096);
/// assert_eq!(budget.used(), 4096);
/// drop(held);
/// assert_eq!(budget.used(), 0);
/// ```
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    bytes_max: usize,
    used: AtomicUsize,
    epoch: Instant,
    next_id: AtomicU64,
    clients: Mutex<BTreeMap<u64, Arc<ClientState>>>,
    /// Tasks that wait for room.
    waiting: Mutex<VecDeque<Waker>>,
    waiting_count: AtomicUsize,
    /// Clients that were closed so far.
    closed: AtomicU64,
}

/// What the choice among clients is based on. Times are microseconds since the epoch of the budget.
#[derive(Debug)]
struct ClientState {
    id: u64,
    held: AtomicUsize,
    /// Bytes received from and sent to the client since `since_us`.
    progress: AtomicU64,
    since_us: AtomicU64,
    last_progress_us: AtomicU64,
    /// Whether the next step is the client's: to send or to read.
    is_awaited: AtomicBool,
    is_closed: AtomicBool,
    /// Woken when the client is to be closed.
    closer: Mutex<Option<Waker>>,
}

/// How well a client does; the least value is closed first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Standing {
    is_moving: bool,
    bytes_per_second: f64,
}

impl ByteBudget {
    /// Creates the budget of a process with this memory.
    pub fn of_memory(memory_bytes: u64) -> Self {
        let bytes_max = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self(Arc::new(Shared {
            bytes_max,
            used: AtomicUsize::new(0),
            epoch: Instant::now(),
            next_id: AtomicU64::new(0),
            clients: Mutex::default(),
            waiting: Mutex::default(),
            waiting_count: AtomicUsize::new(0),
            closed: AtomicU64::new(0),
        }))
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns the size of the budget.
    pub fn bytes_max(&self) -> usize {
        self.0.bytes_max
    }

    /// Returns the number of clients that were closed to make room.
    pub fn closed(&self) -> u64 {
        self.0.closed.load(Ordering::Relaxed)
    }

    /// Registers a client, which holds nothing yet.
    pub fn enter(&self) -> BudgetClient {
        let now_us = self.0.now_us();
        let state = Arc::new(ClientState {
            id: self.0.next_id.fetch_add(1, Ordering::Relaxed),
            held: AtomicUsize::new(0),
            progress: AtomicU64::new(0),
            since_us: AtomicU64::new(now_us),
            last_progress_us: AtomicU64::new(now_us),
            is_awaited: AtomicBool::new(true),
            is_closed: AtomicBool::new(false),
            closer: Mutex::default(),
        });
        lock(&self.0.clients).insert(state.id, Arc::clone(&state));
        BudgetClient(Arc::new(Entered { shared: Arc::clone(&self.0), state }))
    }
}

impl Shared {
    fn now_us(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Takes bytes if they stay within a limit.
    fn try_take(&self, bytes: usize, limit: usize) -> bool {
        let taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used.checked_add(bytes)?;
            (used <= limit).then_some(used)
        });
        taken.is_ok()
    }

    /// Closes clients that do worse than `standing` until what they hold makes room for `bytes`;
    /// returns whether there will be room.
    fn make_room(&self, bytes: usize, limit: usize, asking: u64, standing: Standing) -> bool {
        let now_us = self.now_us();
        let clients = lock(&self.clients);
        let closing = clients.values().filter(|it| it.is_closed.load(Ordering::Relaxed));
        let mut freed: usize = closing.map(|it| it.held.load(Ordering::Relaxed)).sum();
        let needed = (self.used.load(Ordering::Relaxed) + bytes).saturating_sub(limit);
        if freed >= needed {
            return true;
        }
        let mut candidates: Vec<(Standing, &Arc<ClientState>)> = clients
            .values()
            .filter(|it| it.id != asking && it.may_be_closed(now_us))
            .map(|it| (it.standing(now_us), it))
            .filter(|it| it.0 < standing)
            .collect();
        let available: usize = candidates.iter().map(|it| it.1.held.load(Ordering::Relaxed)).sum();
        // Nobody is closed in vain.
        if freed + available < needed {
            return false;
        }
        candidates
            .sort_unstable_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        for (_, client) in candidates {
            if freed >= needed {
                break;
            }
            freed += client.held.load(Ordering::Relaxed);
            self.closed.fetch_add(1, Ordering::Relaxed);
            client.close();
        }
        true
    }

    fn wake_one(&self) {
        if self.waiting_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut waiting = lock(&self.waiting);
        let woken = waiting.pop_front();
        self.waiting_count.store(waiting.len(), Ordering::Relaxed);
        drop(waiting);
        if let Some(waker) = woken {
            waker.wake();
        }
    }

    fn add_waiting(&self, waker: &Waker) {
        let mut waiting = lock(&self.waiting);
        if !waiting.iter().any(|it| it.will_wake(waker)) {
            waiting.push_back(waker.clone());
        }
        self.waiting_count.store(waiting.len(), Ordering::Relaxed);
    }
}

impl ClientState {
    /// Returns whether the client may be closed. One that has just begun has had no time for progress,
    /// so it stays while it holds little.
    fn may_be_closed(&self, now_us: u64) -> bool {
        let held = self.held.load(Ordering::Relaxed);
        let since_us = now_us.saturating_sub(self.since_us.load(Ordering::Relaxed));
        let has_begun = held > SMALL_BYTES || Duration::from_micros(since_us) >= STALL_TIME;
        self.is_awaited.load(Ordering::Relaxed)
            && !self.is_closed.load(Ordering::Relaxed)
            && held > 0
            && has_begun
    }

    fn standing(&self, now_us: u64) -> Standing {
        let since = |it: &AtomicU64| now_us.saturating_sub(it.load(Ordering::Relaxed));
        let time = Duration::from_micros(since(&self.since_us)).max(RATE_TIME_MIN);
        let progress = self.progress.load(Ordering::Relaxed);
        Standing {
            is_moving: Duration::from_micros(since(&self.last_progress_us)) < STALL_TIME,
            bytes_per_second: progress as f64 / time.as_secs_f64(),
        }
    }

    fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        if let Some(closer) = lock(&self.closer).take() {
            closer.wake();
        }
    }
}

/// A client of the process, as a rule one connection.
#[derive(Debug, Clone)]
pub struct BudgetClient(Arc<Entered>);

#[derive(Debug)]
struct Entered {
    shared: Arc<Shared>,
    state: Arc<ClientState>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        lock(&self.shared.clients).remove(&self.state.id);
    }
}

impl BudgetClient {
    /// Begins to measure the client's progress anew, at the start of a request or of its answer.
    pub fn begin(&self, is_awaited: bool) {
        let Entered { shared, state } = &*self.0;
        let now_us = shared.now_us();
        state.progress.store(0, Ordering::Relaxed);
        state.since_us.store(now_us, Ordering::Relaxed);
        state.last_progress_us.store(now_us, Ordering::Relaxed);
        state.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// Records bytes that the client has sent or read.
    pub fn record_progress(&self, bytes: usize) {
        let Entered { shared, state } = &*self.0;
        state.progress.fetch_add(bytes as u64, Ordering::Relaxed);
        state.last_progress_us.store(shared.now_us(), Ordering::Relaxed);
    }

    /// Sets whether the process waits for the client, which may then be closed.
    pub fn set_awaited(&self, is_awaited: bool) {
        self.0.state.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// Returns whether the process waits for the client.
    pub fn is_awaited(&self) -> bool {
        self.0.state.is_awaited.load(Ordering::Relaxed)
    }

    /// Returns the bytes of progress and the time since `begin`.
    pub fn progress(&self) -> (u64, Duration) {
        let Entered { shared, state } = &*self.0;
        let since_us = state.since_us.load(Ordering::Relaxed);
        let time = Duration::from_micros(shared.now_us().saturating_sub(since_us));
        (state.progress.load(Ordering::Relaxed), time)
    }

    /// Returns whether the client is to be closed to make room.
    pub fn is_closed(&self) -> bool {
        self.0.state.is_closed.load(Ordering::SeqCst)
    }

    /// Waits until the client is to be closed to make room.
    pub fn poll_closed(&self, cx: &Context<'_>) -> Poll<()> {
        let mut closer = lock(&self.0.state.closer);
        if self.is_closed() {
            return Poll::Ready(());
        }
        if !closer.as_ref().is_some_and(|it| it.will_wake(cx.waker())) {
            *closer = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Charges bytes that are bounded otherwise, such as those of a connection, even beyond the budget.
    /// Stalled clients are closed for them.
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        let Entered { shared, state } = &*self.0;
        let used = shared.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        state.held.fetch_add(bytes, Ordering::Relaxed);
        if used > shared.bytes_max {
            let standing = Standing { is_moving: true, bytes_per_second: 0.0 };
            shared.make_room(0, shared.bytes_max, state.id, standing);
        }
        HeldBytes { client: self.clone(), bytes }
    }

    /// Charges bytes, and waits for those of clients that are being closed.
    ///
    /// # Errors
    ///
    /// Fails if there is no room and no client with less progress, or if this client is to be closed.
    pub fn poll_hold(
        &self,
        cx: &Context<'_>,
        bytes: usize,
    ) -> Poll<Result<HeldBytes, BudgetExhausted>> {
        let Entered { shared, state } = &*self.0;
        let own = state.held.load(Ordering::Relaxed) + bytes;
        let limit = match own <= SMALL_BYTES {
            true => shared.bytes_max,
            false => shared.bytes_max - shared.bytes_max / RESERVE_DIVISOR,
        };
        if shared.try_take(bytes, limit) {
            state.held.fetch_add(bytes, Ordering::Relaxed);
            shared.wake_one();
            return Poll::Ready(Ok(HeldBytes { client: self.clone(), bytes }));
        }
        let standing = state.standing(shared.now_us());
        if self.is_closed() || !shared.make_room(bytes, limit, state.id, standing) {
            shared.wake_one();
            return Poll::Ready(Err(BudgetExhausted));
        }
        shared.add_waiting(cx.waker());
        // What was freed before the waker was added woke nobody.
        if shared.try_take(bytes, limit) {
            state.held.fetch_add(bytes, Ordering::Relaxed);
            return Poll::Ready(Ok(HeldBytes { client: self.clone(), bytes }));
        }
        Poll::Pending
    }
}

/// Bytes that a client holds; dropping the guard gives them back.
#[derive(Debug)]
pub struct HeldBytes {
    client: BudgetClient,
    bytes: usize,
}

impl HeldBytes {
    /// Adds the bytes of another guard of the same client.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let Entered { shared, state } = &*self.client.0;
        state.held.fetch_sub(self.bytes, Ordering::Relaxed);
        shared.used.fetch_sub(self.bytes, Ordering::Relaxed);
        shared.wake_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
