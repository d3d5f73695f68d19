//! Small stand-ins for external systems, with faults that can be switched on.
//!
//! Each stand-in is a server that a test can embed, and is also available as a binary.

mod control;
mod engine;
mod platform;
mod prefix_cache;
mod service;
mod store;

pub use control::FaultControl;
pub use control::run_standin;
pub use control::serve_until_killed;
pub use engine::EngineFaults;
pub use engine::EngineOptions;
pub use engine::EngineStandin;
pub use engine::expected_text;
pub use platform::PlatformFaults;
pub use platform::PlatformStandin;
pub use service::ServiceFaults;
pub use service::ServiceStandin;
pub use store::StoreFaults;
pub use store::StoreStandin;
