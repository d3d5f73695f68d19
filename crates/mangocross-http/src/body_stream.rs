//! A response body that is written in chunks.

use std::io;

use hyper::body::Bytes;

use crate::held::ConnectionGuard;

/// A response body that is written in chunks, each flushed to the caller.
///
/// A body that is dropped before [`BodyStream::finish`] ends without its end marker, so that the
/// caller immediately detects that it is incomplete.
pub struct BodyStream {
    connection: ConnectionGuard,
}

impl BodyStream {
    pub(crate) fn new(connection: ConnectionGuard) -> Self {
        Self { connection }
    }

    /// Writes a chunk and flushes it.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or takes longer than the write time limit.
    pub fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.connection.write_chunk(Bytes::copy_from_slice(chunk))
    }

    /// Ends the body with its end marker.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.connection.finish_stream()
    }
}
