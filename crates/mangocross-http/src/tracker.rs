//! Records whether a call handed any byte to its connection, and bounds each of its reads.

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

/// Time between looks at whether a call still waits for its answer's headers.
const HEADERS_POLL_INTERVAL: Duration = Duration::from_millis(100);

thread_local! {
    /// Whether the call that runs on this thread has sent a byte.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
    /// Bounds the reads of the connection that the call on this thread opens.
    static READ_LIMIT: RefCell<ReadLimit> = RefCell::new(ReadLimit::default());
    /// Whether the call on this thread still waits for its answer's headers.
    static KEEP_WAITING: RefCell<Option<KeepWaiting>> = const { RefCell::new(None) };
}

/// Begins a call on this thread and returns the limit of its reads.
pub(crate) fn begin(keep_waiting: Option<KeepWaiting>) -> ReadLimit {
    BYTES_SENT.set(false);
    KEEP_WAITING.set(keep_waiting);
    let limit = ReadLimit::default();
    READ_LIMIT.set(limit.clone());
    limit
}

/// Ends the wait for the headers of the call on this thread.
pub(crate) fn finish_headers() {
    KEEP_WAITING.set(None);
}

/// Returns whether the call on this thread has sent a byte.
pub(crate) fn bytes_sent() -> bool {
    BYTES_SENT.get()
}

/// Wraps the connection that the chain before it opened.
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

/// A connection that records its first write and bounds its reads.
#[derive(Debug)]
pub(crate) struct TrackingTransport<T> {
    inner: T,
    limit: ReadLimit,
}

impl<T: Transport> TrackingTransport<T> {
    /// Waits for input in short steps, as long as the caller wants to; no byte is lost between
    /// them.
    fn await_headers(
        &mut self,
        timeout: NextTimeout,
        keep_waiting: &KeepWaiting,
    ) -> Result<bool, Error> {
        let started = Instant::now();
        let limit = timeout.per_read.map_or(*timeout.after, |it| (*it).min(*timeout.after));
        loop {
            let left = limit.saturating_sub(started.elapsed());
            let step = left.min(HEADERS_POLL_INTERVAL).max(Duration::from_millis(1));
            match self.inner.await_input(NextTimeout { per_read: Some(step.into()), ..timeout }) {
                Err(Error::Timeout(_)) if left > HEADERS_POLL_INTERVAL && keep_waiting.check() => {}
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
        BYTES_SENT.set(true);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        match KEEP_WAITING.with_borrow(Option::clone) {
            Some(keep_waiting) => self.await_headers(timeout, &keep_waiting),
            None => self.inner.await_input(self.limit.shorten(timeout)),
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
