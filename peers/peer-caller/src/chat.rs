//! Wire forms of chat completions, as common clients of model servers use them.

use mangocross_types::ModelId;
use mangocross_types::RequestId;
use mangocross_types::TokenIndex;
use serde::Deserialize;
use serde::Serialize;

/// Default limit of tokens in an answer.
const MAX_TOKENS_DEFAULT: u32 = 256;

/// A chat completion request; unknown fields are ignored, since clients send many.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ChatRequest {
    /// Model that is to answer.
    pub model: ModelId,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default = "max_tokens_default")]
    pub max_tokens: u32,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

fn max_tokens_default() -> u32 {
    MAX_TOKENS_DEFAULT
}

impl ChatRequest {
    /// Returns the conversation as one prompt.
    pub fn prompt(&self) -> String {
        let lines = self.messages.iter().map(|it| format!("{}: {}\n", it.role, it.content));
        lines.collect()
    }

    /// Returns one chunk of a streamed answer as JSON.
    pub fn chunk(
        &self,
        id: &RequestId,
        token_index: TokenIndex,
        text: &str,
        finish_reason: Option<&str>,
    ) -> String {
        let chunk = serde_json::json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "token_index": token_index,
            "choices": [{
                "index": 0,
                "delta": {"content": text},
                "finish_reason": finish_reason,
            }],
        });
        chunk.to_string()
    }

    /// Returns a complete answer as JSON.
    pub fn completion(
        &self,
        id: &RequestId,
        text: &str,
        tokens: u32,
        finish_reason: &str,
    ) -> String {
        let completion = serde_json::json!({
            "id": id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }],
            "usage": {"completion_tokens": tokens},
        });
        completion.to_string()
    }
}
