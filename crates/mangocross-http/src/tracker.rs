//! Records whether a call handed any byte to its connection, and bounds each of its reads.

use std::cell::Cell;
use std::cell::RefCell;

use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use crate::read_limit::ReadLimit;

thread_local! {
    /// Whether the call that runs on this thread has sent a byte.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
    /// Bounds the reads of the connection that the call on this thread opens.
    static READ_LIMIT: RefCell<ReadLimit> = RefCell::new(ReadLimit::default());
}

/// Forgets what earlier calls on this thread sent, and returns the limit of the next one's reads.
pub(crate) fn reset() -> ReadLimit {
    BYTES_SENT.set(false);
    let limit = ReadLimit::default();
    READ_LIMIT.set(limit.clone());
    limit
}

/// Returns whether a byte was sent since [`reset`] on this thread.
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

impl<T: Transport> Transport for TrackingTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        BYTES_SENT.set(true);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(self.limit.shorten(timeout))
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
