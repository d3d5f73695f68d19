//! What may crash a backend server.

use std::fmt;

use mangocross_types::PromptPartId;
use serde::Deserialize;
use serde::Serialize;

use crate::RequestIdentity;

/// Something that requests share and that may crash the servers that run them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashCause {
    /// A shared part of the prompt.
    Part(PromptPartId),
    /// The whole request; each request has one such cause.
    Request(RequestIdentity),
}

impl CrashCause {
    /// Returns whether the cause is a whole request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(it) => write!(f, "{it}"),
            Self::Request(it) => write!(f, "request:{it}"),
        }
    }
}
