//! Measures a group's downtime after each fault, with real processes.

mod case;
mod sampler;
mod streams;

pub use case::FaultCase;
pub use sampler::Sampler;
pub use sampler::Samples;
pub use streams::Streams;
