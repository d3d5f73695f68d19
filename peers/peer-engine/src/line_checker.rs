//! Validation of the lines of a generated answer.

use mangocross_types::AttemptId;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;

use crate::EngineError;
use crate::EngineErrorKind;
use crate::FinishReason;
use crate::GenerateLine;
use crate::GenerateRequest;

/// A validated part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerateEvent {
    /// The next token.
    Token {
        /// Position of the token in the answer.
        token_index: TokenIndex,
        /// Text that the token adds to the answer.
        text: String,
    },
    /// The answer is complete, for this reason.
    End(FinishReason),
}

/// Checks that every line echoes the attempt id, that token indexes are consecutive and within the
/// limit, and that the end marker states the number of tokens.
#[derive(Debug, Clone)]
pub struct LineChecker {
    attempt_id: AttemptId,
    next_token: TokenIndex,
    max_tokens: u32,
}

impl LineChecker {
    /// Returns a checker for the answer to a request.
    pub fn new(request: &GenerateRequest) -> Self {
        Self {
            attempt_id: request.attempt_id.clone(),
            next_token: request.resume_from,
            max_tokens: request.max_tokens,
        }
    }

    /// Checks one line.
    ///
    /// # Errors
    ///
    /// Fails if the line cannot be parsed, belongs to another attempt, or is out of sequence; the
    /// rest of the answer must not be used then.
    pub fn check(&mut self, line: &[u8]) -> Result<GenerateEvent, EngineError> {
        let line = serde_json::from_slice(line).map_err(|it| mismatch(it.to_string()))?;
        match line {
            GenerateLine::Token { attempt_id, token_index, text } => {
                self.check_attempt(&attempt_id)?;
                self.check_token(token_index)?;
                self.next_token = TokenIndex(token_index.0 + 1);
                Ok(GenerateEvent::Token { token_index, text })
            }
            GenerateLine::End { attempt_id, end, tokens } => {
                self.check_attempt(&attempt_id)?;
                self.check_end(tokens)?;
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

    fn check_token(&self, token_index: TokenIndex) -> Result<(), EngineError> {
        if token_index != self.next_token {
            let expected = self.next_token;
            return Err(mismatch(format!("token {token_index} came for {expected}")));
        }
        if token_index.0 >= self.max_tokens {
            let limit = self.max_tokens;
            return Err(mismatch(format!("token {token_index} is past the limit of {limit}")));
        }
        Ok(())
    }

    fn check_end(&self, tokens: u32) -> Result<(), EngineError> {
        if tokens == self.next_token.0 {
            return Ok(());
        }
        let seen = self.next_token;
        Err(mismatch(format!("{tokens} tokens were announced, {seen} came")))
    }
}

pub(crate) fn mismatch(message: String) -> EngineError {
    EngineError::new(EngineErrorKind::Mismatch, RunOutcome::Unknown, message)
}
