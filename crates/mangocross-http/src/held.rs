//! A connection that is lent to a request or its response.

use std::io;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::BodyBuffer;
use crate::BudgetExhausted;
use crate::HeldBytes;
use crate::connection::Connection;
use crate::exchange::ResponseBody;

/// A connection that its thread lends to a request or response.
///
/// Dropping the guard completes the response if necessary and returns the connection for the next
/// request: if no response was sent, status 500 is sent; an incomplete stream is aborted.
pub(crate) struct ConnectionGuard {
    connection: Option<Connection>,
    return_to: SyncSender<Connection>,
    progress: Progress,
}

/// Progress of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing was sent.
    Unanswered,
    /// A body is being written in chunks.
    Streaming { ends_with_connection: bool },
    /// Nothing is left to send.
    Done,
}

impl ConnectionGuard {
    /// Guards a connection, which is sent to the receiver on drop.
    pub(crate) fn new(connection: Connection) -> (Self, Receiver<Connection>) {
        let (return_to, returned) = mpsc::sync_channel(1);
        let progress = Progress::Unanswered;
        (Self { connection: Some(connection), return_to, progress }, returned)
    }

    pub(crate) fn begin_body(&mut self, deadline: Instant) {
        self.connection().begin_body(deadline);
    }

    pub(crate) fn end_body(&mut self) {
        self.connection().end_body();
    }

    pub(crate) fn body_buffer(&mut self) -> BodyBuffer {
        self.connection().body_buffer()
    }

    pub(crate) fn extend(
        &mut self,
        buffer: &mut BodyBuffer,
        part: Bytes,
    ) -> Result<(), BudgetExhausted> {
        self.connection().extend(buffer, part)
    }

    pub(crate) fn hold(&mut self, bytes: usize) -> Result<HeldBytes, BudgetExhausted> {
        self.connection().hold(bytes)
    }

    pub(crate) fn record_received(&mut self, bytes: usize) {
        self.connection().record_received(bytes);
    }

    pub(crate) fn read_body(&mut self, body: &mut Incoming) -> io::Result<Option<Bytes>> {
        self.connection().read_body(body)
    }

    /// Prepares for a body that is written in chunks.
    pub(crate) fn begin_stream(&mut self, ends_with_connection: bool) -> ResponseBody {
        self.progress = Progress::Streaming { ends_with_connection };
        self.connection().streamed_body()
    }

    pub(crate) fn respond(&mut self, response: Response<ResponseBody>) -> io::Result<()> {
        if self.progress == Progress::Unanswered {
            self.progress = Progress::Done;
        }
        self.connection().respond(response)
    }

    pub(crate) fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.connection().write_chunk(chunk)
    }

    pub(crate) fn finish_stream(&mut self) -> io::Result<()> {
        self.progress = Progress::Done;
        self.connection().finish_stream()
    }

    fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the connection is present until the drop")
    }

    /// Sends status 500 if there is no response, and aborts an incomplete stream.
    fn complete_response(&mut self) {
        match self.progress {
            Progress::Done => {}
            Progress::Unanswered => {
                let mut response = Response::new(ResponseBody::Whole(Bytes::new()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                if let Err(error) = self.respond(response) {
                    log::debug!("the response could not be delivered: {error}");
                }
            }
            Progress::Streaming { ends_with_connection } => {
                self.connection().abort_stream(ends_with_connection);
            }
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.complete_response();
        if let Some(connection) = self.connection.take() {
            // Fails if the waiting thread has ended; the connection is then closed.
            let _ = self.return_to.send(connection);
        }
    }
}
