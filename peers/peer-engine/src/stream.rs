//! A generated answer as it arrives, checked line by line.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;

use mangocross_http::CallError;
use mangocross_http::HttpAnswer;
use mangocross_types::AttemptId;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;

use crate::EngineError;
use crate::EngineErrorKind;
use crate::FinishReason;
use crate::GenerateLine;

/// Longest line, in bytes.
const LINE_BYTES_MAX: u64 = 64 * 1024;

/// A checked part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerateEvent {
    /// The next token.
    Token {
        /// Position of the token.
        token_index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    End(FinishReason),
}

/// A generated answer as it arrives.
///
/// Every line must echo the attempt, and tokens must come in order without
/// gaps; anything else ends the stream with an error. Dropping the stream closes
/// its connection, which is never used again.
pub struct GenerateStream {
    lines: BufReader<HttpAnswer>,
    attempt_id: AttemptId,
    next: TokenIndex,
}

impl GenerateStream {
    pub(crate) fn new(answer: HttpAnswer, attempt_id: AttemptId, first: TokenIndex) -> Self {
        Self { lines: BufReader::new(answer), attempt_id, next: first }
    }

    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the engine falls silent, the answer breaks off, belongs to another attempt
    /// or skips or repeats a token.
    pub fn next_event(&mut self) -> Result<GenerateEvent, EngineError> {
        let line = self.read_line()?;
        let parsed = serde_json::from_str(&line).map_err(|it| mismatch(it.to_string()))?;
        match parsed {
            GenerateLine::Token { attempt_id, token_index, text } => {
                self.check_attempt(&attempt_id)?;
                if token_index != self.next {
                    let expected = self.next;
                    return Err(mismatch(format!("token {token_index} came for {expected}")));
                }
                self.next = TokenIndex(token_index.0 + 1);
                Ok(GenerateEvent::Token { token_index, text })
            }
            GenerateLine::End { attempt_id, end, tokens } => {
                self.check_attempt(&attempt_id)?;
                if tokens != self.next.0 {
                    let seen = self.next;
                    return Err(mismatch(format!("{tokens} tokens were announced, {seen} came")));
                }
                Ok(GenerateEvent::End(end))
            }
        }
    }

    fn check_attempt(&self, attempt_id: &AttemptId) -> Result<(), EngineError> {
        if *attempt_id == self.attempt_id {
            return Ok(());
        }
        Err(mismatch(format!("the answer belongs to attempt {attempt_id}")))
    }

    fn read_line(&mut self) -> Result<String, EngineError> {
        let mut line = String::new();
        let mut bounded = (&mut self.lines).take(LINE_BYTES_MAX);
        let read = bounded
            .read_line(&mut line)
            .map_err(|it| EngineError::from_call(&CallError::from_read(&it)))?;
        if read == 0 || !line.ends_with('\n') {
            let message = "the answer ended without its end marker".to_owned();
            return Err(EngineError::new(EngineErrorKind::Broken, RunOutcome::Unknown, message));
        }
        Ok(line)
    }
}

fn mismatch(message: String) -> EngineError {
    EngineError::new(EngineErrorKind::Mismatch, RunOutcome::Unknown, message)
}
