//! Coordination parts of mangocross for embedding: types and pure decisions.
//!
//! The daemons are thin drivers of the same code.

pub use mangocross_coordination as coordination;
pub use mangocross_policy as policy;
pub use mangocross_types as types;
