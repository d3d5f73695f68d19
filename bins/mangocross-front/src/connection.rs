//! Tracks the state of callers' connections.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use mangocross_serving::BootClock;
use mangocross_serving::CallerLimits;
use mangocross_serving::Moment;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::SystemBootClock;

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

/// The time limit that a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No limit is exceeded.
    No,
    /// Idle for too long.
    Idle,
    /// Headers not complete in time.
    Headers,
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

/// State of a caller's connection and when it was entered.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    phase: Cell<Phase>,
    since: Cell<Moment>,
    /// Longest limits that were in force since the state was entered.
    limits: Cell<TimeLimits>,
    /// Limits that were set last.
    latest_limits: Cell<TimeLimits>,
    clock: SystemBootClock,
    /// Asks the connection's task to close it as soon as it is idle.
    pub(crate) close: Notify,
}

impl ConnectionState {
    /// Creates the state of a new connection, which is idle.
    pub(crate) fn new(clock: SystemBootClock, limits: TimeLimits) -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            limits: Cell::new(limits),
            latest_limits: Cell::new(limits),
            clock,
            close: Notify::new(),
        })
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.limits.set(self.latest_limits.get());
        self.since.set(self.clock.now());
    }

    fn record_bytes_received(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Headers);
        }
    }

    /// Records that the headers of a request are complete.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.enter(Phase::Request);
        RequestGuard(Rc::clone(self))
    }

    /// Returns whether the headers of a request are arriving.
    pub(crate) fn receives_headers(&self) -> bool {
        self.phase.get() == Phase::Headers
    }

    /// Sets the limits that are in force.
    ///
    /// A caller may know only the limits under which the connection became idle or the headers
    /// began, so shorter ones apply from the next time on.
    pub(crate) fn set_limits(&self, limits: TimeLimits) {
        self.latest_limits.set(limits);
        self.limits.set(self.limits.get().longest(limits));
    }

    /// Returns the time limit that the connection has exceeded.
    pub(crate) fn overdue(&self, now: Moment) -> Overdue {
        let since = now.since(self.since.get());
        let limits = self.limits.get();
        match self.phase.get() {
            Phase::Idle if since > limits.idle_timeout => Overdue::Idle,
            Phase::Headers if since > limits.header_timeout => Overdue::Headers,
            Phase::Idle | Phase::Headers | Phase::Request => Overdue::No,
        }
    }
}

/// Guard of a request in progress; dropping it marks the connection as idle.
#[derive(Debug)]
pub(crate) struct RequestGuard(Rc<ConnectionState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// A caller's socket that records in its connection's state when bytes arrive.
#[derive(Debug)]
pub(crate) struct TrackedSocket {
    inner: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
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
            self.state.record_bytes_received();
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
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
