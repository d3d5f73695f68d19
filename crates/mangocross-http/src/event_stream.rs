//! An answer's body, written piece by piece.

use std::io;
use std::io::Write;

/// Not the length of a chunk; ends a body that is not whole.
const INVALID_CHUNK: &[u8] = b"!\r\n";

/// A body that is written piece by piece, each piece flushed to the caller.
///
/// A chunked body that is dropped before [`BodyStream::finish`] ends in a chunk that is not valid,
/// so that the caller sees at once that it is not whole.
pub struct BodyStream {
    writer: Box<dyn Write + Send>,
    chunked: bool,
    finished: bool,
}

impl BodyStream {
    pub(crate) fn open(
        mut writer: Box<dyn Write + Send>,
        status: u16,
        headers: &[(&str, &str)],
        chunked: bool,
    ) -> io::Result<Self> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if chunked {
            head.push_str("transfer-encoding: chunked\r\n");
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer, chunked, finished: false })
    }

    /// Writes a piece and flushes it.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone or takes longer than the write time limit.
    pub fn write_piece(&mut self, piece: &[u8]) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        let mut frame = Vec::with_capacity(piece.len() + 16);
        if self.chunked {
            frame.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            frame.extend_from_slice(piece);
            frame.extend_from_slice(b"\r\n");
        } else {
            frame.extend_from_slice(piece);
        }
        self.writer.write_all(&frame)?;
        self.writer.flush()
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.finished = true;
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        if self.chunked && !self.finished {
            let _ = self.writer.write_all(INVALID_CHUNK).and_then(|()| self.writer.flush());
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        _ => "Status",
    }
}
