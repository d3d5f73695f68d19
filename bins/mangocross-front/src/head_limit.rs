//! Ends connections on which a server sends a head without end.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes before the end of a head, interim heads and what is read ahead of the body
/// included. The HTTP library limits one head, not their number.
const HEAD_BYTES_MAX: usize = 1 << 20;

/// Counts the bytes that come while the head of an answer is awaited.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit {
    /// Bytes since the request was sent; `None` unless a head is awaited.
    received: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Begins to count, until the guard is dropped.
    pub(crate) fn begin(&self) -> HeadGuard {
        self.received.set(Some(0));
        HeadGuard(self.clone())
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let Some(received) = self.received.get() else { return Ok(()) };
        self.received.set(Some(received + bytes));
        match received + bytes > HEAD_BYTES_MAX {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, "a head without end")),
            false => Ok(()),
        }
    }
}

/// A head is awaited while the guard exists.
#[derive(Debug)]
pub(crate) struct HeadGuard(HeadLimit);

impl Drop for HeadGuard {
    fn drop(&mut self) {
        self.0.received.set(None);
    }
}

/// A socket that fails once the awaited head exceeds its limit.
#[derive(Debug)]
pub(crate) struct HeadLimitedSocket {
    inner: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedSocket {
    pub(crate) fn new(inner: TcpStream, limit: HeadLimit) -> Self {
        Self { inner, limit }
    }
}

impl AsyncRead for HeadLimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        Poll::Ready(self.limit.record(buf.filled().len() - before))
    }
}

impl AsyncWrite for HeadLimitedSocket {
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

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
