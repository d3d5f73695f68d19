//! A soak test of bounded length: real processes under traffic and random
//! faults, with checks of the system's guarantees.

mod faults;
mod monitor;
mod record;
mod traffic;

pub use faults::FaultPlan;
pub use monitor::monitor_groups;
pub use record::Record;
pub use record::Violation;
pub use traffic::Traffic;
