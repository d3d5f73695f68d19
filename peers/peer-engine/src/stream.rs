//! Stream of a generated answer.

use std::io::Read;
use std::time::Duration;

use mangocross_http::CallError;
use mangocross_http::CallErrorKind;
use mangocross_http::HttpResponse;
use mangocross_types::RunOutcome;

use crate::EngineError;
use crate::EngineErrorKind;
use crate::GenerateEvent;
use crate::LineChecker;
use crate::line_checker::mismatch;

/// Maximum length of a line of an answer, in bytes.
const LINE_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of bytes per read from the connection.
const READ_BYTES: usize = 4 * 1024;

/// Stream of a generated answer, validated line by line.
///
/// Dropping the stream closes its connection, which is never reused.
pub struct GenerateStream {
    answer: HttpResponse,
    checker: LineChecker,
    pending: Vec<u8>,
}

impl GenerateStream {
    pub(crate) fn new(answer: HttpResponse, checker: LineChecker) -> Self {
        Self { answer, checker, pending: Vec::new() }
    }

    /// Waits for the next part of the answer, with at most one read of at most `wait`.
    ///
    /// Returns `None` if no complete line has arrived yet; the caller decides how long to wait.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut off, belongs to another attempt, or skips or repeats a token.
    pub fn next_event(&mut self, wait: Duration) -> Result<Option<GenerateEvent>, EngineError> {
        if !self.pending.contains(&b'\n') {
            self.read(wait)?;
        }
        let Some(end) = self.pending.iter().position(|it| *it == b'\n') else { return Ok(None) };
        let event = self.checker.check(&self.pending[..end])?;
        self.pending.drain(..=end);
        Ok(Some(event))
    }

    fn read(&mut self, wait: Duration) -> Result<(), EngineError> {
        self.answer.set_read_limit(wait);
        let mut buf = [0; READ_BYTES];
        match self.answer.read(&mut buf) {
            Ok(0) => {
                let message = "the answer ended without its end marker".to_owned();
                Err(EngineError::new(EngineErrorKind::Broken, RunOutcome::Unknown, message))
            }
            Ok(length) => {
                self.pending.extend_from_slice(&buf[..length]);
                if self.pending.len() > LINE_BYTES_MAX {
                    return Err(mismatch(format!("a line is longer than {LINE_BYTES_MAX} bytes")));
                }
                Ok(())
            }
            Err(error) => match CallError::from_read(&error) {
                it if it.kind == CallErrorKind::Timeout => Ok(()),
                it => Err(EngineError::from_call(&it)),
            },
        }
    }
}
