//! HTTP client calls that know whether any byte of a request was sent.
//!
//! Each call opens a connection of its own and never sends twice: no pool, no
//! redirects, no retries. A stale or half-dead connection therefore cannot
//! answer for another request, and a failed call says truthfully whether the
//! server can have received anything.

mod answer;
mod call;
mod client;
mod error;
mod timeouts;
mod tracker;

pub use answer::HttpAnswer;
pub use call::HttpCall;
pub use call::HttpMethod;
pub use client::HttpClient;
pub use error::CallError;
pub use error::CallErrorKind;
pub use timeouts::HttpTimeouts;
