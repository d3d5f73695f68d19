//! Measurements, printed for the documentation: slopes of cost by size, downtime after faults, and
//! the policy beside a naive version.

pub mod failover;
pub mod fit;
pub mod machine;
pub mod policy;
pub mod sample;
