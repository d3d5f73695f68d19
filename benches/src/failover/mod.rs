//! How long a group of real processes is down after each fault.

mod case;
mod sampler;
mod streams;

pub use case::FaultCase;
pub use sampler::Sampler;
pub use sampler::Samples;
pub use streams::Streams;
