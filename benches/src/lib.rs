//! Measurements of mangocross.

pub mod policy;
