//! Pure decisions that win the measures: placement, routing, limits, retries.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Random choices take
//! a seed from the caller.

mod pace;
mod placement;
mod routing;

pub use pace::Pace;
pub use pace::PaceLimits;
pub use pace::PaceVerdict;
pub use placement::DomainRoom;
pub use placement::choose_domain;
pub use routing::Candidate;
pub use routing::choose_group;
