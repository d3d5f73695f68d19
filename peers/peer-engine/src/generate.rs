//! Wire forms of generation requests and answers.

use mangocross_types::AttemptId;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::Priority;
use mangocross_types::RequestId;
use mangocross_types::TokenIndex;
use serde::Deserialize;
use serde::Serialize;

/// A request to a model group to generate an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Id of this attempt; each line of the answer echoes it.
    pub attempt_id: AttemptId,
    /// The target group; other groups refuse the request.
    pub group: GroupId,
    /// Incarnation of the target group; other incarnations refuse the request.
    pub incarnation: Incarnation,
    /// Required version of the weights.
    pub model_version: ModelVersion,
    /// Text that the model is to answer.
    pub prompt: String,
    /// Maximum number of tokens in the whole answer, including those that earlier attempts
    /// delivered.
    pub max_tokens: u32,
    /// Index of the first token to send; earlier ones were delivered by other attempts.
    pub resume_from: TokenIndex,
    /// Priority of the request at the engine.
    pub priority: Priority,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// One line of a generated answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GenerateLine {
    /// A generated token.
    Token {
        /// Id of the attempt, echoed from the request.
        attempt_id: AttemptId,
        /// Position of the token in the answer.
        token_index: TokenIndex,
        /// Text that the token adds to the answer.
        text: String,
    },
    /// The end marker, which is the last line of a complete answer.
    End {
        /// Id of the attempt, echoed from the request.
        attempt_id: AttemptId,
        /// Why the answer ended.
        end: FinishReason,
        /// Number of tokens in the complete answer.
        tokens: u32,
    },
}
