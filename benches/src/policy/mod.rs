//! Simulation of the policy and of a naive baseline over the same seeded faults and requests.
//!
//! It runs the decisions of `mangocross_policy` with a simulated clock. Engines are modelled by
//! their load time, service time and the lag of their reports.

mod assignment;
mod case;
mod engine;
mod fleet;
mod gateway;
mod outcome;
mod requests;
mod variant;
mod timeline;
mod traffic;

pub use case::Case;
pub use case::Scenario;
pub use fleet::FleetOutcome;
pub use fleet::run_fleet;
pub use outcome::AllPlaced;
pub use outcome::CaseOutcome;
pub use outcome::Comparison;
pub use outcome::compare;
pub use requests::RequestOutcome;
pub use requests::run_requests;
pub use timeline::Timeline;
pub use variant::CacheFeedMode;
pub use variant::PolicyVariant;
pub use variant::User;
