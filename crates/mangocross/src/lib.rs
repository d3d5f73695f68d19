//! Coordination crates of mangocross for embedding: types and decision logic without I/O.
//!
//! The daemons are thin wrappers around the same code.

pub use mangocross_coordination as coordination;
pub use mangocross_policy as policy;
pub use mangocross_types as types;
