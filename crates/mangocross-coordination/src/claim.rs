//! A durable claim on an idempotency key.

use mangocross_types::AttemptId;
use mangocross_types::CustomerId;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimDigest;

/// Largest response body kept with a claim, in bytes.
const BODY_BYTES_MAX: usize = 2_048;
/// Longest content type kept with a claim, in bytes.
const CONTENT_TYPE_BYTES_MAX: usize = 128;

/// A claim on an idempotency key.
///
/// Only the holder may send the request, once. A claim is never transferred to another holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The customer that claimed the key.
    pub customer: CustomerId,
    /// Digest of the request.
    pub request: ClaimDigest,
    /// The attempt that may send the request.
    pub holder: AttemptId,
    /// Time after which the claim may be frozen, in seconds since the Unix epoch.
    pub freeze_after_s: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimState {
    /// The holder may send the request or has sent it.
    Held,
    /// The holder recorded no outcome in time; the request may have run or may still run.
    Frozen,
    /// The request may have run; its response was lost.
    Unknown,
    /// The request ran.
    Done(RecordedResponse),
}

/// The response to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if it is present and short enough to be kept.
    pub content_type: Option<String>,
    /// Body, or a mark that it was too large to be kept.
    pub body: RecordedBody,
}

/// The body of a recorded response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RecordedBody {
    /// A body that is valid UTF-8.
    Text(String),
    /// A body that is not valid UTF-8.
    Bytes(Vec<u8>),
    /// The body was too large to be kept.
    NotKept,
}

impl RecordedResponse {
    /// Returns the record of a response; large bodies are left out.
    pub fn new(status: u16, content_type: Option<&str>, body: &[u8]) -> Self {
        let content_type = content_type.filter(|it| it.len() <= CONTENT_TYPE_BYTES_MAX);
        Self {
            status,
            content_type: content_type.map(str::to_owned),
            body: RecordedBody::new(body),
        }
    }

    /// Returns the same record without its body.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self { body: RecordedBody::NotKept, ..self.clone() }
    }
}

impl RecordedBody {
    fn new(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            _ if body.len() > BODY_BYTES_MAX => Self::NotKept,
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(body.to_vec()),
        }
    }

    /// Returns the body's bytes, or `None` if they were not kept.
    pub fn bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Bytes(bytes) => Some(bytes),
            Self::NotKept => None,
        }
    }
}
