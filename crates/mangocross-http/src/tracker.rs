//! Records whether a call handed any byte to its connection, and limits the time of its reads.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use crate::keep_waiting::KeepWaiting;
use crate::read_limit::ReadLimit;

/// Time between checks of [`KeepWaiting`] while response headers are outstanding.
const HEADERS_POLL_INTERVAL: Duration = Duration::from_millis(100);

thread_local! {
    /// Whether the current call of this thread has handed any byte to its connection.
    static ANY_BYTE_SENT: Cell<bool> = const { Cell::new(false) };
    /// Read limit for the connection that the current call of this thread opens.
    static READ_LIMIT: RefCell<ReadLimit> = RefCell::new(ReadLimit::default());
    /// Condition for waiting for the headers; `None` once they have been received.
    static KEEP_WAITING: RefCell<Option<KeepWaiting>> = const { RefCell::new(None) };
}

/// Begins a call on this thread and returns its read limit.
pub(crate) fn begin_call(keep_waiting: Option<KeepWaiting>) -> ReadLimit {
    ANY_BYTE_SENT.set(false);
    KEEP_WAITING.set(keep_waiting);
    let limit = ReadLimit::default();
    READ_LIMIT.set(limit.clone());
    limit
}

/// Ends the wait for response headers of the current call of this thread.
pub(crate) fn finish_headers() {
    KEEP_WAITING.set(None);
}

/// Returns whether the current call of this thread has handed any byte to its connection.
pub(crate) fn any_byte_sent() -> bool {
    ANY_BYTE_SENT.get()
}

/// Wraps the connection that the preceding connector opened.
#[derive(Debug)]
pub(crate) struct TrackingConnector;

impl<In: Transport> Connector<In> for TrackingConnector {
    type Out = TrackingTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| {
            let limit = READ_LIMIT.with_borrow(ReadLimit::clone);
            TrackingTransport { inner, limit }
        }))
    }
}

/// A connection that records whether anything was written and limits the time of its reads.
#[derive(Debug)]
pub(crate) struct TrackingTransport<T> {
    inner: T,
    limit: ReadLimit,
}

impl<T: Transport> TrackingTransport<T> {
    /// Waits for input in short steps while `keep_waiting` holds; no byte is lost between steps.
    fn await_headers(
        &mut self,
        timeout: NextTimeout,
        keep_waiting: &KeepWaiting,
    ) -> Result<bool, Error> {
        let started = Instant::now();
        let limit = timeout.per_read.map_or(*timeout.after, |it| (*it).min(*timeout.after));
        loop {
            let remaining = limit.saturating_sub(started.elapsed());
            let step = remaining.min(HEADERS_POLL_INTERVAL).max(Duration::from_millis(1));
            match self.inner.await_input(NextTimeout { per_read: Some(step.into()), ..timeout }) {
                Err(Error::Timeout(_))
                    if remaining > HEADERS_POLL_INTERVAL && keep_waiting.check() => {}
                result => return result,
            }
        }
    }
}

impl<T: Transport> Transport for TrackingTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        ANY_BYTE_SENT.set(true);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        match KEEP_WAITING.with_borrow(Option::clone) {
            Some(keep_waiting) => self.await_headers(timeout, &keep_waiting),
            None => self.inner.await_input(self.limit.override_per_read(timeout)),
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
