//! Group commit of claims in the platform's store.
//!
//! The decisions are made in `mangocross-coordination`; this crate queues operations by shard,
//! commits each batch with one compare-and-swap, and retries in the background what a failed store
//! has left open.

mod commit;
mod counts;
mod error;
mod health;
mod limits;
mod claim_log;
mod queue;
mod completion;
mod ticket;

pub use claim_log::ClaimLog;
pub use counts::ClaimCounts;
pub use error::ClaimError;
pub use limits::ClaimLimits;
