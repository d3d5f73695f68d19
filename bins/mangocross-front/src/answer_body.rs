//! Bodies of the answers to callers, whole or streamed.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use mangocross_http::BodyParts;
use mangocross_http::HeldBytes;
use tokio::sync::mpsc::Receiver;
use tokio::task::AbortHandle;

use crate::connection::RequestGuard;
use crate::outcome::RequestRecord;

/// The answer is incomplete; the connection is closed so that the caller can tell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenAnswer;

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenAnswer {}

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// Complete events, and their charge to the byte budget.
    Data(Bytes, HeldBytes),
    /// The answer is complete.
    End,
}

#[derive(Debug)]
enum Content {
    Whole(BodyParts),
    Chunks(Receiver<Chunk>, AbortHandle),
    Ended,
}

/// The body of an answer; dropping it aborts the task that produces it.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    /// Charge of the chunk that the connection has taken last, until it takes the next one.
    held: Option<HeldBytes>,
    record: Option<RequestRecord>,
    request_guard: Option<RequestGuard>,
}

impl AnswerBody {
    /// Returns a body that is already complete.
    pub(crate) fn whole(data: impl Into<BodyParts>) -> Self {
        Self::new(Content::Whole(data.into()))
    }

    /// Returns a body that a task produces in chunks.
    pub(crate) fn chunks(chunks: Receiver<Chunk>, task: AbortHandle) -> Self {
        Self::new(Content::Chunks(chunks, task))
    }

    fn new(content: Content) -> Self {
        Self { content, held: None, record: None, request_guard: None }
    }

    /// Attaches guards that are released when the body has been sent.
    pub(crate) fn with_guards(
        mut self,
        record: Option<RequestRecord>,
        request_guard: RequestGuard,
    ) -> Self {
        request_guard.begin_answer();
        self.record = record;
        self.request_guard = Some(request_guard);
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Content::Chunks(_, task) = &self.content {
            task.abort();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let this = &mut *self;
        match &mut this.content {
            Content::Whole(parts) => Poll::Ready(parts.next_part().map(|it| Ok(Frame::data(it)))),
            Content::Chunks(chunks, _) => match chunks.poll_recv(cx) {
                Poll::Ready(Some(Chunk::Data(data, held))) => {
                    this.held = Some(held);
                    Poll::Ready(Some(Ok(Frame::data(data))))
                }
                Poll::Ready(Some(Chunk::End)) => {
                    this.content = Content::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(BrokenAnswer))),
                Poll::Pending => Poll::Pending,
            },
            Content::Ended => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(parts) => parts.length() == 0,
            Content::Ended => true,
            Content::Chunks(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(parts) => SizeHint::with_exact(parts.length() as u64),
            Content::Ended => SizeHint::with_exact(0),
            Content::Chunks(..) => SizeHint::default(),
        }
    }
}
