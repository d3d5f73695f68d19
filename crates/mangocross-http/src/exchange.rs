//! What the HTTP library and the thread that drives it exchange.

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

/// State of one connection, shared by the library's parts and the thread that drives them.
#[derive(Debug, Clone)]
pub(crate) struct Exchange(Arc<Mutex<ExchangeState>>);

/// State of one connection.
#[derive(Debug)]
pub(crate) struct ExchangeState {
    /// Whether the next read may wait for bytes; one read uses it up.
    pub(crate) may_read: bool,
    /// When the part of the request that is being read must be whole, if that is bounded.
    pub(crate) deadline: Option<Instant>,
    /// Whether the header is being read: what the library writes meanwhile is left out.
    pub(crate) in_header: bool,
    /// How reading ended, if it did.
    pub(crate) read_end: Option<ReadEnd>,
    /// The request, until it is taken.
    pub(crate) request: Option<Request<Incoming>>,
    /// The answer, until the library takes it.
    pub(crate) answer: Option<Response<ResponseBody>>,
    /// The next piece of a streamed body, until the library takes it.
    pub(crate) piece: Option<Bytes>,
    /// State of a streamed body.
    pub(crate) stream: StreamState,
}

/// How reading from a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// The caller sends nothing more.
    Eof,
    /// The caller was too slow.
    TimedOut,
}

/// State of a streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamState {
    /// More pieces may come.
    Open,
    /// The body is whole.
    Finished,
    /// The body is not whole and ends here.
    Aborted,
}

impl Exchange {
    /// Returns the state of a connection that waits for a request.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(ExchangeState {
            may_read: false,
            deadline: None,
            in_header: true,
            read_end: None,
            request: None,
            answer: None,
            piece: None,
            stream: StreamState::Open,
        })))
    }

    /// Locks the state; no code panics while it holds the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExchangeState {
    /// Prepares for the next request's header.
    pub(crate) fn begin_header(&mut self) {
        self.in_header = true;
        self.deadline = None;
        self.stream = StreamState::Open;
    }

    /// Takes the request if its header is whole.
    pub(crate) fn take_request(&mut self) -> Option<Request<Incoming>> {
        let request = self.request.take()?;
        self.in_header = false;
        self.deadline = None;
        Some(request)
    }

    /// Returns whether the library has something to take.
    pub(crate) fn has_output(&self) -> bool {
        self.answer.is_some() || self.piece.is_some()
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

/// An answer that is ready once the handler gave one.
pub(crate) struct ResponseFuture(Exchange);

impl Future for ResponseFuture {
    type Output = Result<Response<ResponseBody>, Infallible>;

    fn poll(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Self::Output> {
        match self.0.lock().answer.take() {
            Some(answer) => Poll::Ready(Ok(answer)),
            None => Poll::Pending,
        }
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Given at once.
    Whole(Bytes),
    /// Written piece by piece.
    Streamed(Exchange),
}

/// A body was dropped before it was whole.
#[derive(Debug)]
pub(crate) struct AbortedBody;

impl fmt::Display for AbortedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was whole")
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
                if let Some(piece) = state.piece.take() {
                    return Poll::Ready(Some(Ok(Frame::data(piece))));
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
