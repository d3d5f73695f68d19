//! State shared by hyper and the thread that drives it.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::service::Service;

/// Handle to the state of one connection, shared by hyper and the driving thread.
#[derive(Debug, Clone)]
pub(crate) struct Exchange(Arc<Mutex<ExchangeState>>);

/// State of one connection.
#[derive(Debug)]
pub(crate) struct ExchangeState {
    /// Whether the next read may block; reset by that read.
    pub(crate) may_read: bool,
    /// Deadline for the part of the request that is being read, if any.
    pub(crate) deadline: Option<Instant>,
    /// Whether the header is being read; output of hyper is discarded meanwhile.
    pub(crate) in_header: bool,
    /// How reading ended, if it has.
    pub(crate) read_end: Option<ReadEnd>,
    /// The received request, until the driving thread takes it.
    pub(crate) request: Option<Request<Incoming>>,
    /// The response, until hyper takes it.
    pub(crate) response: Option<Response<ResponseBody>>,
    /// The next chunk of a streamed body, until hyper takes it.
    pub(crate) chunk: Option<Bytes>,
    /// State of a streamed body.
    pub(crate) stream: StreamState,
}

/// How reading from a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// The caller closed its sending side.
    Eof,
    /// A time limit passed.
    TimedOut,
}

/// State of a streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamState {
    /// More chunks may follow.
    Open,
    /// The body is complete.
    Finished,
    /// The body is incomplete and ends here.
    Aborted,
}

impl Exchange {
    /// Returns the state of a connection that is waiting for a request.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(ExchangeState {
            may_read: false,
            deadline: None,
            in_header: true,
            read_end: None,
            request: None,
            response: None,
            chunk: None,
            stream: StreamState::Open,
        })))
    }

    /// Locks the state; no code panics while holding the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExchangeState {
    /// Prepares for reading the next request header.
    pub(crate) fn begin_header(&mut self) {
        self.in_header = true;
        self.deadline = None;
        self.stream = StreamState::Open;
    }

    /// Takes the request if its header is complete.
    pub(crate) fn take_request(&mut self) -> Option<Request<Incoming>> {
        let request = self.request.take()?;
        self.in_header = false;
        self.deadline = None;
        Some(request)
    }

    /// Returns whether there is output that hyper has not taken.
    pub(crate) fn has_output(&self) -> bool {
        self.response.is_some() || self.chunk.is_some()
    }
}

impl Service<Request<Incoming>> for Exchange {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn call(&self, request: Request<Incoming>) -> ResponseFuture {
        self.lock().request = Some(request);
        ResponseFuture(self.clone())
    }
}

/// Resolves to the response once the handler has set it.
pub(crate) struct ResponseFuture(Exchange);

impl Future for ResponseFuture {
    type Output = Result<Response<ResponseBody>, Infallible>;

    fn poll(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Self::Output> {
        match self.0.lock().response.take() {
            Some(response) => Poll::Ready(Ok(response)),
            None => Poll::Pending,
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete when the response is sent.
    Whole(Bytes),
    /// Written in chunks.
    Streamed(Exchange),
}

/// A body was dropped before it was complete.
#[derive(Debug)]
pub(crate) struct AbortedBody;

impl fmt::Display for AbortedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was dropped before it was complete")
    }
}

impl std::error::Error for AbortedBody {}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(exchange) => {
                let mut state = exchange.lock();
                if let Some(chunk) = state.chunk.take() {
                    return Poll::Ready(Some(Ok(Frame::data(chunk))));
                }
                match state.stream {
                    StreamState::Open => Poll::Pending,
                    StreamState::Finished => Poll::Ready(None),
                    StreamState::Aborted => Poll::Ready(Some(Err(AbortedBody))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
