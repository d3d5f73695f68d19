//! Bodies of answers to callers.

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

use crate::connection::RequestOnConnection;
use crate::outcome::RequestRecord;

/// The answer broke off; the connection is closed so that it does not look whole.
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
pub(crate) enum Piece {
    /// Whole events.
    Data(Bytes),
    /// The answer is complete.
    End,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Pieces(Receiver<Piece>, AbortHandle),
    Ended,
}

/// The body of an answer; dropping it ends the work for it.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    record: Option<RequestRecord>,
    on_connection: Option<RequestOnConnection>,
}

impl AnswerBody {
    /// Returns a body that is at hand.
    pub(crate) fn whole(data: Bytes) -> Self {
        Self { content: Content::Whole(Some(data)), record: None, on_connection: None }
    }

    /// Returns a body that a task sends.
    pub(crate) fn pieces(pieces: Receiver<Piece>, task: AbortHandle) -> Self {
        Self { content: Content::Pieces(pieces, task), record: None, on_connection: None }
    }

    /// Keeps what follows the request until the body has been sent.
    pub(crate) fn with_guards(
        mut self,
        record: Option<RequestRecord>,
        on_connection: RequestOnConnection,
    ) -> Self {
        self.record = record;
        self.on_connection = Some(on_connection);
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Content::Pieces(_, task) = &self.content {
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
            Content::Pieces(pieces, _) => match pieces.poll_recv(cx) {
                Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Piece::End)) => {
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
            Content::Pieces(..) => SizeHint::default(),
        }
    }
}
