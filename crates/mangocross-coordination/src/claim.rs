//! A durable claim on an idempotency key.

use mangocross_types::AttemptId;
use mangocross_types::CustomerId;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimDigest;

/// Largest answer body kept with a claim, in bytes.
const BODY_BYTES_MAX: usize = 2_048;
/// Longest content type kept with a claim, in bytes.
const CONTENT_TYPE_BYTES_MAX: usize = 128;

/// A claim on an idempotency key.
///
/// Only the holder may send the request, once; nobody ever takes its place.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The customer that claimed the key.
    pub customer: CustomerId,
    /// Digest of the request.
    pub request: ClaimDigest,
    /// The attempt that may send the request.
    pub holder: AttemptId,
    /// Time after which nobody expects the holder's outcome, in seconds since the Unix epoch.
    pub freeze_after_s: u64,
    /// How far the request has come.
    pub state: ClaimState,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimState {
    /// The holder may send the request, or has.
    Held,
    /// The holder recorded nothing in time; the request may have run and may still.
    Frozen,
    /// The request may have run; its answer was lost.
    Unknown,
    /// The request ran.
    Done(RecordedAnswer),
}

/// The answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    /// Status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: RecordedBody,
}

/// The body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RecordedBody {
    /// A body that is text.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
    /// The body was too large to be kept.
    NotKept,
}

impl RecordedAnswer {
    /// Returns the record of an answer; large bodies are left out.
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
