//! Measurement programs whose output goes into the documentation: cost by size, downtime after
//! faults, and the policy compared with a naive baseline.

pub mod failover;
pub mod fit;
pub mod machine;
pub mod policy;
pub mod sample;
