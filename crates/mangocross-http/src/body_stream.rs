//! An answer's body, written piece by piece.

use std::io;

use hyper::body::Bytes;

use crate::held::HeldConnection;

/// A body that is written piece by piece, each piece flushed to the caller.
///
/// A body that is dropped before [`BodyStream::finish`] ends without its end marker, so that the
/// caller sees at once that it is not whole.
pub struct BodyStream {
    connection: HeldConnection,
}

impl BodyStream {
    pub(crate) fn new(connection: HeldConnection) -> Self {
        Self { connection }
    }

    /// Writes a piece and flushes it.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone or takes longer than the write time limit.
    pub fn write_chunk(&mut self, piece: &[u8]) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        self.connection.write_chunk(Bytes::copy_from_slice(piece))
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.connection.finish_stream()
    }
}
