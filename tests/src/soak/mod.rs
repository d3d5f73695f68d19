//! A bounded soak: real processes under traffic and random faults, with the
//! promises checked.

mod faults;
mod monitor;
mod record;
mod traffic;

pub use faults::FaultPlan;
pub use monitor::monitor_groups;
pub use record::Record;
pub use record::Violation;
pub use traffic::Traffic;
