//! Idempotency keys of requests that may run at most once.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Bytes of a digest that are kept.
const DIGEST_BYTES: usize = 16;

/// Digest of a key or of a request, in hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimDigest(Arc<str>);

impl ClaimDigest {
    /// Returns the digest of several parts, including the boundaries between them.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        let hex: String = bytes.iter().map(|it| format!("{it:02x}")).collect();
        Self(hex.into())
    }

    /// Returns a number below `count` that depends on the digest alone.
    pub(crate) fn bucket(&self, count: u64) -> u64 {
        let head = self.0.get(..8).unwrap_or_default();
        u64::from_str_radix(head, 16).unwrap_or_default() % count
    }
}

/// An idempotency key does not have the required form.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the idempotency key must be `<unix seconds when it was made>.<opaque text>`; send such a key"
))]
pub struct ClaimKeyError;

/// A caller's idempotency key: the second in which it was created and a digest of its whole text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    issued_s: u64,
    digest: ClaimDigest,
}

impl ClaimKey {
    /// Returns when the caller created the key, in seconds since the Unix epoch.
    pub fn issued_s(&self) -> u64 {
        self.issued_s
    }

    /// Returns the digest of the key's whole text.
    pub fn digest(&self) -> &ClaimDigest {
        &self.digest
    }
}

impl FromStr for ClaimKey {
    type Err = ClaimKeyError;

    fn from_str(text: &str) -> Result<Self, ClaimKeyError> {
        let (seconds, opaque) = text.split_once('.').ok_or(ClaimKeyError)?;
        let digits = !seconds.is_empty() && seconds.bytes().all(|it| it.is_ascii_digit());
        if !digits || opaque.is_empty() {
            return Err(ClaimKeyError);
        }
        let issued_s = seconds.parse().map_err(|_| ClaimKeyError)?;
        Ok(Self { issued_s, digest: ClaimDigest::of(&[text.as_bytes()]) })
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.issued_s, self.digest.0)
    }
}
