//! Records whether a call handed any byte to its connection.

use std::cell::Cell;

use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

thread_local! {
    /// Whether the call that runs on this thread has sent a byte.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
}

/// Forgets what earlier calls on this thread sent.
pub(crate) fn reset() {
    BYTES_SENT.set(false);
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
        Ok(chained.map(|inner| TrackingTransport { inner }))
    }
}

/// A connection that records its first write.
#[derive(Debug)]
pub(crate) struct TrackingTransport<T> {
    inner: T,
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
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
