//! What makes two requests the same.

use std::fmt;

use mangocross_types::CustomerId;
use serde::Deserialize;
use serde::Serialize;

/// Number of bytes of an identity.
const IDENTITY_BYTES: usize = 16;
/// Number of bytes of an identity that are shown.
const SHOWN_BYTES: usize = 8;

/// A hash over what requests with the same effect have in common: method, host, path with query,
/// customer and body. Attempts of one request and its repeats by the caller share it.
///
/// # Examples
///
/// ```
/// # use mangocross_serving::RequestIdentity;
/// let identity = |path| RequestIdentity::new("GET", "a.example", path, None, b"");
/// assert_eq!(identity("/x?y=1"), identity("/x?y=1"));
/// assert_ne!(identity("/x?y=1"), identity("/x?y=2"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestIdentity([u8; IDENTITY_BYTES]);

impl RequestIdentity {
    /// Computes the identity of a request; `target` is its path with the query, `customer` the
    /// holder of its key, if it needs one.
    pub fn new(
        method: &str,
        host: &str,
        target: &str,
        customer: Option<&CustomerId>,
        body: &[u8],
    ) -> Self {
        Self::of_parts(method, host, target, customer, std::iter::once(body))
    }

    /// Like `new`, with the body in parts.
    pub fn of_parts<'a>(
        method: &str,
        host: &str,
        target: &str,
        customer: Option<&CustomerId>,
        body: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let customer = customer.map_or("", CustomerId::as_str);
        let mut hasher = blake3::Hasher::new();
        for field in [method, host, target, customer] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        for part in body {
            hasher.update(part);
        }
        let mut identity = [0; IDENTITY_BYTES];
        hasher.finalize_xof().fill(&mut identity);
        Self(identity)
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(SHOWN_BYTES).try_for_each(|it| write!(f, "{it:02x}"))
    }
}
