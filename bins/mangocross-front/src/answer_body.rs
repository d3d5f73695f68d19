//! Bodies of the answers to callers, whole or streamed.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
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
    /// Complete events.
    Data(Bytes),
    /// The answer is complete.
    End,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Chunks(Receiver<Chunk>, AbortHandle),
    Ended,
}

/// The body of an answer; dropping it aborts the task that produces it.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    record: Option<RequestRecord>,
    request_guard: Option<RequestGuard>,
}

impl AnswerBody {
    /// Returns a body that is already complete.
    pub(crate) fn whole(data: Bytes) -> Self {
        Self { content: Content::Whole(Some(data)), record: None, request_guard: None }
    }

    /// Returns a body that a task produces in chunks.
    pub(crate) fn chunks(chunks: Receiver<Chunk>, task: AbortHandle) -> Self {
        Self { content: Content::Chunks(chunks, task), record: None, request_guard: None }
    }

    /// Attaches guards that are released when the body has been sent.
    pub(crate) fn with_guards(
        mut self,
        record: Option<RequestRecord>,
        request_guard: RequestGuard,
    ) -> Self {
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
        match &mut self.content {
            Content::Whole(data) => {
                let data = data.take();
                self.content = Content::Ended;
                Poll::Ready(data.map(|it| Ok(Frame::data(it))))
            }
            Content::Chunks(chunks, _) => match chunks.poll_recv(cx) {
                Poll::Ready(Some(Chunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Chunk::End)) => {
                    self.content = Content::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(BrokenAnswer))),
                Poll::Pending => Poll::Pending,
            },
            Content::Ended => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Ended | Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(Some(data)) => SizeHint::with_exact(data.len() as u64),
            Content::Whole(None) | Content::Ended => SizeHint::with_exact(0),
            Content::Chunks(..) => SizeHint::default(),
        }
    }
}
