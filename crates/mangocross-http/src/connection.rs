//! A caller's connection, driven by the thread that handles its requests.

use std::io;
use std::io::Read;
use std::net::Shutdown;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;
use std::thread;
use std::thread::Thread;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use snafu::Snafu;
use socket2::SockRef;

use crate::BodyBuffer;
use crate::BudgetClient;
use crate::BudgetExhausted;
use crate::HeldBytes;
use crate::ServerLimits;
use crate::exchange::Exchange;
use crate::exchange::ReadEnd;
use crate::exchange::ResponseBody;
use crate::exchange::StreamState;
use crate::socket::Socket;

/// Longest time for which input is discarded after the last response on a connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Most input discarded after the last response on a connection, in bytes.
const DISCARDED_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Size of one read of discarded input, in bytes.
const DISCARD_READ_BYTES: usize = 16 * 1024;
/// Smallest header limit that hyper accepts, in bytes.
const HEADER_BYTES_MIN: usize = 8 * 1024;
/// Polls after which a response that hyper has not written is abandoned.
const WRITE_POLLS_MAX: usize = 16;
/// Charge of a connection to the byte budget: its buffers, its state and the used part of its stack.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Time after which a thread that waits for room in the byte budget looks again.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two log lines about connections that are closed to make room.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// When the last such line was written.
static LAST_LOGGED: Mutex<Option<Instant>> = Mutex::new(None);
/// Replaces a request whose header cannot be read, so that hyper writes the refusal.
const PLACEHOLDER_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Why a request's header could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// The header is larger than allowed or has too many lines.
    #[snafu(display(
        "the header is larger than {bytes_max} bytes or has too many lines; send less"
    ))]
    TooLarge {
        /// The limit in bytes.
        bytes_max: usize,
    },
    /// The header was not complete in time.
    #[snafu(display("the header came too slowly; send it within {limit_ms} ms"))]
    TooSlow {
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// The header is not valid HTTP/1, or a value is not visible ASCII.
    #[snafu(display("the header is not valid HTTP/1; send ASCII lines as the protocol asks"))]
    Malformed,
}

/// Result of waiting for the next request on a connection.
pub(crate) enum NextRequest {
    /// A request whose header is complete.
    Request(Box<Request<Incoming>>),
    /// A header that cannot be read; nothing more is read from this connection.
    Unreadable(HeaderError),
    /// The connection is closed, or was idle for too long.
    Closed,
}

/// A caller's connection.
///
/// hyper does the parsing and framing. It is polled by the handling thread on a blocking socket, so
/// a response is written by the thread that produces it.
pub(crate) struct Connection {
    http1: Pin<Box<http1::Connection<Socket, Exchange>>>,
    exchange: Exchange,
    stream: Arc<TcpStream>,
    limits: ServerLimits,
    client: BudgetClient,
    /// Charge of the connection.
    held: Arc<HeldBytes>,
    /// Result of hyper's connection future, once it has completed.
    ended: Option<Result<(), hyper::Error>>,
    /// Whether the connection must end with a reset.
    reset: bool,
}

impl Connection {
    /// Wraps an accepted socket.
    pub(crate) fn new(stream: TcpStream, limits: ServerLimits, client: BudgetClient) -> Self {
        let stream = Arc::new(stream);
        let closer = Waker::from(Arc::new(Closer(Arc::clone(&stream))));
        // The waker stays registered until the client is to be closed.
        if client.poll_closed(&Context::from_waker(&closer)).is_ready() {
            closer.wake();
        }
        let held = Arc::new(client.hold(CONNECTION_BYTES));
        Self::with_prefix(stream, limits, client, held, &[])
    }

    /// Starts a new connection state on the same socket with [`PLACEHOLDER_REQUEST`] as its request.
    ///
    /// The response to that request ends the connection.
    pub(crate) fn into_placeholder(self) -> Option<(Self, Request<Incoming>)> {
        let mut placeholder = Self::with_prefix(
            self.stream,
            self.limits,
            self.client,
            self.held,
            PLACEHOLDER_REQUEST,
        );
        match placeholder.next() {
            NextRequest::Request(request) => Some((placeholder, *request)),
            NextRequest::Unreadable(_) | NextRequest::Closed => None,
        }
    }

    fn with_prefix(
        stream: Arc<TcpStream>,
        limits: ServerLimits,
        client: BudgetClient,
        held: Arc<HeldBytes>,
        prefix: &'static [u8],
    ) -> Self {
        let exchange = Exchange::new();
        let socket =
            Socket::new(Arc::clone(&stream), exchange.clone(), limits, client.clone(), prefix);
        let http1 = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(limits.header_bytes_max.max(HEADER_BYTES_MIN))
            .serve_connection(socket, exchange.clone());
        Self {
            http1: Box::pin(http1),
            exchange,
            stream,
            limits,
            client,
            held,
            ended: None,
            reset: false,
        }
    }

    /// Waits for the next request.
    pub(crate) fn next(&mut self) -> NextRequest {
        self.exchange.lock().begin_header();
        self.client.begin(true);
        let mut may_read = false;
        loop {
            self.poll(may_read);
            if let Some(request) = self.exchange.lock().take_request() {
                self.client.set_awaited(false);
                return NextRequest::Request(Box::new(request));
            }
            // If hyper did not use the permission to read, no further request will be received.
            let is_over = self.ended.is_some() || self.read_end().is_some();
            if is_over || (may_read && self.is_read_permission_unused()) {
                return self.missing_request_reason();
            }
            may_read = true;
        }
    }

    /// Returns why no request was received.
    fn missing_request_reason(&self) -> NextRequest {
        let bytes_max = self.limits.header_bytes_max;
        match &self.ended {
            Some(Err(error)) if error.is_parse_too_large() => {
                return NextRequest::Unreadable(HeaderError::TooLarge { bytes_max });
            }
            Some(Err(error)) if error.is_parse() => {
                return NextRequest::Unreadable(HeaderError::Malformed);
            }
            _ => {}
        }
        let state = self.exchange.lock();
        match state.read_end {
            Some(ReadEnd::TimedOut) if state.deadline.is_some() => {
                let limit_ms = self.limits.header_timeout.as_millis();
                NextRequest::Unreadable(HeaderError::TooSlow { limit_ms })
            }
            _ => NextRequest::Closed,
        }
    }

    /// Waits for the next part of a request body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, and with [`io::ErrorKind::TimedOut`] on a timeout.
    pub(crate) fn read_body(&mut self, body: &mut Incoming) -> io::Result<Option<Bytes>> {
        let mut may_read = false;
        loop {
            if let Poll::Ready(part) = poll_data(body) {
                return part;
            }
            // If hyper did not use the permission to read, no more of the body will be received.
            if self.ended.is_some() || (may_read && self.is_read_permission_unused()) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.read_end() == Some(ReadEnd::TimedOut) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.poll(may_read);
            may_read = true;
        }
    }

    /// Sets the deadline for the complete body, which is awaited from now on.
    pub(crate) fn begin_body(&self, deadline: Instant) {
        self.exchange.lock().deadline = Some(deadline);
        self.client.begin(true);
    }

    /// Records that the body is complete or that no more of it is read.
    pub(crate) fn end_body(&self) {
        self.client.set_awaited(false);
    }

    /// Returns a buffer that is charged to the caller.
    pub(crate) fn body_buffer(&self) -> BodyBuffer {
        BodyBuffer::new(self.client.clone())
    }

    /// Moves a part of the body into its buffer, as soon as there is room for it.
    ///
    /// # Errors
    ///
    /// Fails as [`BudgetClient::poll_hold`] does, and at the body's deadline.
    pub(crate) fn extend(
        &self,
        buffer: &mut BodyBuffer,
        mut part: Bytes,
    ) -> Result<(), BudgetExhausted> {
        self.wait_for_room(|context| buffer.poll_extend(context, &mut part))
    }

    /// Charges bytes, as soon as there is room for them.
    ///
    /// # Errors
    ///
    /// Fails as [`BudgetClient::poll_hold`] does, and at the body's deadline.
    pub(crate) fn hold(&self, bytes: usize) -> Result<HeldBytes, BudgetExhausted> {
        self.wait_for_room(|context| self.client.poll_hold(context, bytes))
    }

    fn wait_for_room<T>(
        &self,
        mut poll: impl FnMut(&Context<'_>) -> Poll<Result<T, BudgetExhausted>>,
    ) -> Result<T, BudgetExhausted> {
        let waker = Waker::from(Arc::new(Unpark(thread::current())));
        let context = Context::from_waker(&waker);
        let deadline = self.exchange.lock().deadline;
        // The sender is not to blame for the time until there is room.
        self.client.set_awaited(false);
        let result = loop {
            match poll(&context) {
                Poll::Ready(result) => break result,
                Poll::Pending if deadline.is_some_and(|it| it <= Instant::now()) => {
                    break Err(BudgetExhausted);
                }
                Poll::Pending => thread::park_timeout(ROOM_CHECK_INTERVAL),
            }
        };
        self.client.set_awaited(true);
        result
    }

    /// Records bytes of the body.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.client.record_progress(bytes);
    }

    /// Starts the response and writes the part of it that is available.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or takes longer than the write time limit.
    pub(crate) fn respond(&mut self, response: Response<ResponseBody>) -> io::Result<()> {
        let length = usize::try_from(response.body().size_hint().lower()).unwrap_or(usize::MAX);
        let _held = self.client.hold(length);
        self.client.begin(true);
        self.exchange.lock().response = Some(response);
        let written = self.write();
        self.client.set_awaited(false);
        written
    }

    /// Returns a response body that is written in chunks.
    pub(crate) fn streamed_body(&self) -> ResponseBody {
        ResponseBody::Streamed(self.exchange.clone())
    }

    /// Writes one chunk of a streamed body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or takes longer than the write time limit.
    pub(crate) fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.exchange.lock().chunk = Some(chunk);
        self.write()
    }

    /// Ends a complete streamed body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub(crate) fn finish_stream(&mut self) -> io::Result<()> {
        self.exchange.lock().stream = StreamState::Finished;
        self.write()
    }

    /// Ends an incomplete streamed body.
    ///
    /// If the end of the connection marks the end of the body, the connection is reset, so that the
    /// body cannot be mistaken for a complete one.
    pub(crate) fn abort_stream(&mut self, ends_with_connection: bool) {
        self.exchange.lock().stream = StreamState::Aborted;
        self.poll(false);
        if ends_with_connection {
            self.reset = true;
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        } else {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Closes the connection in a way that lets the last response arrive.
    ///
    /// Closing a socket with unread input resets the connection, which may destroy a response in
    /// transit, so input is discarded until the caller closes, within limits.
    pub(crate) fn close(self) {
        let closes_now = self.reset || self.read_end() == Some(ReadEnd::Eof);
        if closes_now || self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        let mut buf = [0; DISCARD_READ_BYTES];
        let mut discarded_bytes = 0;
        while discarded_bytes < DISCARDED_BYTES_MAX {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.stream.set_read_timeout(Some(remaining)).is_err() {
                return;
            }
            match (&*self.stream).read(&mut buf) {
                Ok(0) | Err(_) => return,
                Ok(length) => discarded_bytes += length,
            }
        }
    }

    /// Polls until hyper has written all pending output.
    fn write(&mut self) -> io::Result<()> {
        for _ in 0..WRITE_POLLS_MAX {
            self.poll(false);
            if let Some(Err(error)) = &self.ended {
                return Err(io::Error::other(error.to_string()));
            }
            if !self.exchange.lock().has_output() {
                return Ok(());
            }
        }
        Err(io::ErrorKind::BrokenPipe.into())
    }

    /// Lets hyper make progress; it may block on one read if `may_read` is set.
    fn poll(&mut self, may_read: bool) {
        if self.ended.is_some() {
            return;
        }
        self.exchange.lock().may_read = may_read;
        let mut context = Context::from_waker(Waker::noop());
        if let Poll::Ready(ended) = self.http1.as_mut().poll(&mut context) {
            self.ended = Some(ended);
        }
    }

    /// Returns whether hyper did not use the last permission to read.
    fn is_read_permission_unused(&self) -> bool {
        self.exchange.lock().may_read
    }

    fn read_end(&self) -> Option<ReadEnd> {
        self.exchange.lock().read_end
    }
}

/// Closes the socket of a client when it is woken, so that the thread which reads or writes it goes on.
struct Closer(Arc<TcpStream>);

impl Wake for Closer {
    fn wake(self: Arc<Self>) {
        let now = Instant::now();
        let mut last_logged = LAST_LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
        if last_logged.is_none_or(|it| now.duration_since(it) >= LOG_INTERVAL) {
            *last_logged = Some(now);
            log::warn!(
                "closed connections: the byte budget is used up and others make more progress"
            );
        }
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Wakes a thread.
struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

fn poll_data(body: &mut Incoming) -> Poll<io::Result<Option<Bytes>>> {
    let mut context = Context::from_waker(Waker::noop());
    match Pin::new(body).poll_frame(&mut context) {
        Poll::Pending => Poll::Pending,
        Poll::Ready(None) => Poll::Ready(Ok(None)),
        Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
            Ok(bytes) => Poll::Ready(Ok(Some(bytes))),
            Err(_trailers) => Poll::Ready(Ok(None)),
        },
        Poll::Ready(Some(Err(error))) => Poll::Ready(Err(io::Error::other(error.to_string()))),
    }
}
