//! The blocking socket that hyper uses, with a time limit on every wait.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::BudgetClient;
use crate::ServerLimits;
use crate::exchange::Exchange;
use crate::exchange::ReadEnd;

/// Largest read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// A blocking socket.
///
/// A read blocks only if [`ExchangeState::may_read`] is set, and clears it; otherwise the read is
/// pending. Writes block up to the socket's write timeout.
///
/// [`ExchangeState::may_read`]: crate::exchange::ExchangeState::may_read
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    exchange: Exchange,
    limits: ServerLimits,
    client: BudgetClient,
    /// Bytes that are read before those from the socket.
    prefix: &'static [u8],
}

impl Socket {
    pub(crate) fn new(
        stream: Arc<TcpStream>,
        exchange: Exchange,
        limits: ServerLimits,
        client: BudgetClient,
        prefix: &'static [u8],
    ) -> Self {
        Self { stream, exchange, limits, client, prefix }
    }

    /// Reads some bytes within the time limits; `None` on a timeout.
    fn read_with_timeout(&self, buf: &mut [u8]) -> io::Result<Option<usize>> {
        let deadline = self.exchange.lock().deadline;
        let remaining = deadline.map(|it| it.saturating_duration_since(Instant::now()));
        let limit = remaining.unwrap_or(Duration::MAX).min(self.limits.read_timeout);
        if limit.is_zero() {
            return Ok(None);
        }
        self.stream.set_read_timeout(Some(limit))?;
        loop {
            match (&*self.stream).read(buf) {
                Ok(length) => return Ok(Some(length)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// Records the end of input, or starts the header's time limit at its first byte.
    fn record_read(&self, length: usize) {
        let mut state = self.exchange.lock();
        if length == 0 {
            state.read_end = Some(ReadEnd::Eof);
        } else if state.in_header && state.deadline.is_none() {
            state.deadline = Some(Instant::now() + self.limits.header_timeout);
        }
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.prefix.is_empty() {
            buf.put_slice(std::mem::take(&mut self.prefix));
            return Poll::Ready(Ok(()));
        }
        if !std::mem::take(&mut self.exchange.lock().may_read) {
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BYTES];
        let length_max = buf.remaining().min(READ_BYTES);
        match self.read_with_timeout(&mut bytes[..length_max]) {
            Ok(Some(length)) => {
                self.record_read(length);
                buf.put_slice(&bytes[..length]);
                Poll::Ready(Ok(()))
            }
            Ok(None) => {
                self.exchange.lock().read_end = Some(ReadEnd::TimedOut);
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // hyper's own response to an unreadable header; the server sends another one.
        if self.exchange.lock().in_header {
            return Poll::Ready(Ok(buf.len()));
        }
        loop {
            match (&*self.stream).write(buf) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_timeout(&error) => {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                written => {
                    self.client.record_progress(*written.as_ref().unwrap_or(&0));
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
