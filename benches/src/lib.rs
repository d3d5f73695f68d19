//! Measurements, printed for the documentation: slopes of cost by size, and
//! the policy beside a naive version.

pub mod fit;
pub mod machine;
pub mod policy;
pub mod sample;
