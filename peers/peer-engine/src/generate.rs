//! Wire forms of a generated answer.

use mangocross_types::AttemptId;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::Priority;
use mangocross_types::RequestId;
use mangocross_types::TokenIndex;
use serde::Deserialize;
use serde::Serialize;

/// A request to generate an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// This attempt; each line of the answer echoes it.
    pub attempt_id: AttemptId,
    /// The group that is meant; another one refuses.
    pub group: GroupId,
    /// Incarnation that is meant; another one refuses.
    pub incarnation: Incarnation,
    /// The version of the weights that is meant.
    pub model_version: ModelVersion,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate, counted from the first token of the answer.
    pub max_tokens: u32,
    /// First token to send; earlier ones were delivered by another attempt.
    pub resume_from: TokenIndex,
    /// Priority.
    pub priority: Priority,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

/// One line of a generated answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GenerateLine {
    /// One token.
    Token {
        /// Echo of the attempt.
        attempt_id: AttemptId,
        /// Position of the token.
        token_index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// The end marker.
    End {
        /// Echo of the attempt.
        attempt_id: AttemptId,
        /// Why the answer ended.
        end: FinishReason,
        /// Number of tokens in the whole answer.
        tokens: u32,
    },
}
