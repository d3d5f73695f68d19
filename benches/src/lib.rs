//! Measurements: slopes of cost by size, printed for the documentation.

pub mod fit;
pub mod machine;
pub mod sample;
