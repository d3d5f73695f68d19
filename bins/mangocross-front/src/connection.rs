//! Tracks the state of connections from outside, and ends them when a limit is exceeded.

use std::cell::Cell;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Incoming;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use mangocross_http::BudgetClient;
use mangocross_http::HeldBytes;
use mangocross_serving::BootClock;
use mangocross_serving::CallerLimits;
use mangocross_serving::Moment;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::SystemBootClock;

/// Charge of a connection: its buffers, their bookkeeping and its task.
const CONNECTION_BYTES: usize = 16 << 10;
/// Charge of a request in progress: the fields of its head, its task's state and what is read ahead.
const REQUEST_BYTES: usize = 16 << 10;
/// Minimum rate at which an answer is read, over the time in which the connection takes no more of
/// it. Nobody waits for such an answer: one of 64 KB takes two minutes, and deadlines are seconds.
const READ_BYTES_PER_SECOND_MIN: u64 = 512;
/// Time of waiting for a reader after which its rate is judged, longer than a pause that TCP survives.
const READ_GRACE: Duration = Duration::from_secs(10);

/// What a connection is doing, which decides the time limit that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Idle between requests.
    Idle,
    /// Receiving the headers of a request.
    Headers,
    /// Processing a request, or sending its answer.
    Request,
}

/// The limit that a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No limit is exceeded.
    No,
    /// Idle for too long.
    Idle,
    /// Headers not complete in time.
    Headers,
    /// The answer is read too slowly.
    Reader,
}

impl Overdue {
    /// Returns the name of the limit in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::No => "none",
            Self::Idle => "idle",
            Self::Headers => "headers",
            Self::Reader => "slow_reader",
        }
    }
}

/// Time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimeLimits {
    /// Maximum time that a connection may be idle between requests.
    pub(crate) idle_timeout: Duration,
    /// Maximum time to receive the headers of a request.
    pub(crate) header_timeout: Duration,
}

impl TimeLimits {
    /// Returns the time limits among the limits on callers.
    pub(crate) fn new(limits: &CallerLimits) -> Self {
        Self { idle_timeout: limits.idle_timeout, header_timeout: limits.header_timeout }
    }

    fn longest(self, other: Self) -> Self {
        Self {
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
            header_timeout: self.header_timeout.max(other.header_timeout),
        }
    }
}

/// State of a connection and when it was entered.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    phase: Cell<Phase>,
    since: Cell<Moment>,
    /// Longest limits that were in force since the state was entered.
    limits: Cell<TimeLimits>,
    /// Limits that were set last.
    latest_limits: Cell<TimeLimits>,
    clock: SystemBootClock,
    /// Bytes of the answer that the connection has taken.
    written: Cell<u64>,
    /// Time for which the connection took no more of the answer, without the present wait.
    blocked_time: Cell<Duration>,
    /// Since when the connection takes no more.
    blocked_since: Cell<Option<Moment>>,
    /// Whom bytes are charged to.
    client: BudgetClient,
    _held: HeldBytes,
    /// Whether the connection is to be closed whatever it does.
    is_replaced: Cell<bool>,
    /// Asks the connection's task to close it as soon as it is idle.
    pub(crate) close: Notify,
}

impl ConnectionState {
    /// Creates the state of a new connection, which is idle.
    pub(crate) fn new(
        clock: SystemBootClock,
        limits: TimeLimits,
        client: BudgetClient,
    ) -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            limits: Cell::new(limits),
            latest_limits: Cell::new(limits),
            clock,
            written: Cell::new(0),
            blocked_time: Cell::new(Duration::ZERO),
            blocked_since: Cell::new(None),
            _held: client.hold(CONNECTION_BYTES),
            client,
            is_replaced: Cell::new(false),
            close: Notify::new(),
        })
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.limits.set(self.latest_limits.get());
        self.since.set(self.clock.now());
    }

    /// Records that bytes arrived. Those of a body are counted where it is read.
    fn record_received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Headers);
            self.client.begin(true);
        }
        if self.phase.get() == Phase::Headers {
            self.client.record_progress(1);
        }
    }

    /// Records what became of an attempt to write to the connection.
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.written.set(self.written.get() + *bytes as u64);
                self.client.record_progress(*bytes);
                if let Some(since) = self.blocked_since.take() {
                    let blocked = self.clock.now().since(since);
                    self.blocked_time.set(self.blocked_time.get() + blocked);
                    self.client.set_awaited(false);
                }
            }
            Poll::Pending if self.blocked_since.get().is_none() => {
                self.blocked_since.set(Some(self.clock.now()));
                self.client.set_awaited(true);
            }
            Poll::Pending | Poll::Ready(Err(_)) => {}
        }
    }

    /// Records that the headers of a request are complete.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.enter(Phase::Request);
        self.client.set_awaited(false);
        RequestGuard { _held: self.client.hold(REQUEST_BYTES), state: Rc::clone(self) }
    }

    /// Returns whether the headers of a request are arriving.
    pub(crate) fn receives_headers(&self) -> bool {
        self.phase.get() == Phase::Headers
    }

    /// Returns whether the next step is the other side's, so that another connection may take the place
    /// of this one without an effect on a request that is being run.
    pub(crate) fn is_replaceable(&self) -> bool {
        self.client.is_awaited() && !self.is_replaced.get()
    }

    /// Closes the connection at once.
    pub(crate) fn close_now(&self) {
        self.is_replaced.set(true);
        self.close.notify_one();
    }

    /// Returns since when the connection does what it does.
    pub(crate) fn since(&self) -> Moment {
        self.since.get()
    }

    /// Sets the limits that are in force.
    ///
    /// A caller may know only the limits under which the connection became idle or the headers
    /// began, so shorter ones apply from the next time on.
    pub(crate) fn set_limits(&self, limits: TimeLimits) {
        self.latest_limits.set(limits);
        self.limits.set(self.limits.get().longest(limits));
    }

    /// Returns the limit that the connection has exceeded.
    pub(crate) fn overdue(&self, now: Moment) -> Overdue {
        let since = now.since(self.since.get());
        let limits = self.limits.get();
        match self.phase.get() {
            Phase::Idle | Phase::Request if self.is_read_too_slowly(now) => Overdue::Reader,
            Phase::Idle if since > limits.idle_timeout => Overdue::Idle,
            Phase::Headers if since > limits.header_timeout => Overdue::Headers,
            Phase::Idle | Phase::Headers | Phase::Request => Overdue::No,
        }
    }

    fn is_read_too_slowly(&self, now: Moment) -> bool {
        let Some(since) = self.blocked_since.get() else { return false };
        let blocked = self.blocked_time.get() + now.since(since);
        let bytes_min = blocked.as_secs_f64() * READ_BYTES_PER_SECOND_MIN as f64;
        blocked > READ_GRACE && (self.written.get() as f64) < bytes_min
    }
}

/// Guard of a request in progress; dropping it marks the connection as idle.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Rc<ConnectionState>,
    _held: HeldBytes,
}

impl RequestGuard {
    /// Returns whom the request's bytes are charged to.
    pub(crate) fn client(&self) -> &BudgetClient {
        &self.state.client
    }

    /// Records that the answer is about to be sent.
    pub(crate) fn begin_answer(&self) {
        self.state.written.set(0);
        self.state.blocked_time.set(Duration::ZERO);
        self.state.client.begin(false);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.enter(Phase::Idle);
        self.state.client.begin(true);
    }
}

/// Why a connection was ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// By either side, or since it was idle.
    Normally,
    /// To make room in the byte budget.
    ForMemory,
}

/// Serves a connection until it ends, exceeds a limit or is to make room for others.
pub(crate) async fn serve<S>(
    connection: http1::Connection<TrackedSocket, S>,
    state: &ConnectionState,
) -> Ended
where
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::ResBody: Body + 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    tokio::pin!(connection);
    let mut is_closing = false;
    let ended = loop {
        // The connection is polled before `close`, so that a request that has arrived is read before
        // the connection counts as idle.
        tokio::select! {
            biased;
            () = poll_fn(|cx| state.client.poll_closed(cx)) => return Ended::ForMemory,
            it = &mut connection => break it,
            () = state.close.notified() => {}
        }
        match state.overdue(state.clock.now()) {
            _ if state.is_replaced.get() => return Ended::Normally,
            Overdue::Headers | Overdue::Reader => return Ended::Normally,
            _ if !state.receives_headers() && !is_closing => {
                connection.as_mut().graceful_shutdown();
                is_closing = true;
            }
            _ => {}
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "connection ended");
    }
    Ended::Normally
}

/// A socket that records in its connection's state when bytes arrive and are taken.
pub(crate) struct TrackedSocket {
    inner: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
}

impl fmt::Debug for TrackedSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("TrackedSocket").field(&self.inner).finish()
    }
}

impl TrackedSocket {
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { inner: TokioIo::new(stream), state }
    }
}

impl Read for TrackedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.state.record_received();
        }
        polled
    }
}

impl Write for TrackedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.state.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    // Without vectored writes the parts of a body are copied into one buffer, which the byte budget
    // does not cover.
    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.state.record_write(&polled);
        polled
    }
}
