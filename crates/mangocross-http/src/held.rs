//! A connection in the hands of a request or its answer.

use std::io;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::connection::Connection;
use crate::exchange::ResponseBody;

/// A connection that is held until its request is answered.
///
/// Dropping it ends the answer, unless that was done, and hands the connection back for the next
/// request: without an answer, status 500 is sent; a stream that is not whole is broken off.
pub(crate) struct HeldConnection {
    connection: Option<Connection>,
    back: SyncSender<Connection>,
    progress: Progress,
}

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Nothing was sent.
    Unanswered,
    /// A body is being written piece by piece.
    Streaming { ends_with_connection: bool },
    /// Nothing is left to send.
    Done,
}

impl HeldConnection {
    /// Holds a connection; the receiver gets it back.
    pub(crate) fn new(connection: Connection) -> (Self, Receiver<Connection>) {
        let (back, returned) = mpsc::sync_channel(1);
        let progress = Progress::Unanswered;
        (Self { connection: Some(connection), back, progress }, returned)
    }

    pub(crate) fn set_deadline(&mut self, deadline: Instant) {
        self.connection().set_deadline(deadline);
    }

    pub(crate) fn read_body(&mut self, body: &mut Incoming) -> io::Result<Option<Bytes>> {
        self.connection().read_body(body)
    }

    /// Prepares for a body that is written piece by piece.
    pub(crate) fn begin_stream(&mut self, ends_with_connection: bool) -> ResponseBody {
        self.progress = Progress::Streaming { ends_with_connection };
        self.connection().streamed_body()
    }

    pub(crate) fn answer(&mut self, answer: Response<ResponseBody>) -> io::Result<()> {
        if self.progress == Progress::Unanswered {
            self.progress = Progress::Done;
        }
        self.connection().answer(answer)
    }

    pub(crate) fn write_chunk(&mut self, piece: Bytes) -> io::Result<()> {
        self.connection().write_chunk(piece)
    }

    pub(crate) fn finish_stream(&mut self) -> io::Result<()> {
        self.progress = Progress::Done;
        self.connection().finish_stream()
    }

    fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the connection is held until the drop")
    }

    /// Sends what is missing of the answer.
    fn end(&mut self) {
        match self.progress {
            Progress::Done => {}
            Progress::Unanswered => {
                let mut answer = Response::new(ResponseBody::Whole(Bytes::new()));
                *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                if let Err(error) = self.answer(answer) {
                    log::debug!("the answer could not be delivered: {error}");
                }
            }
            Progress::Streaming { ends_with_connection } => {
                self.connection().abort_stream(ends_with_connection);
            }
        }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.end();
        if let Some(connection) = self.connection.take() {
            // Fails if the thread that waits for it has ended; the connection is then closed.
            let _ = self.back.send(connection);
        }
    }
}
