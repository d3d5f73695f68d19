//! An answer's body, written piece by piece.

use std::io;
use std::io::Write;

/// A body that is written piece by piece, each piece flushed to the caller.
///
/// [`BodyStream::finish`] must be called: a chunked body without its end
/// marker leaves the caller waiting.
pub struct BodyStream {
    writer: Box<dyn Write + Send>,
    chunked: bool,
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
        Ok(Self { writer, chunked })
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
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        _ => "Status",
    }
}
