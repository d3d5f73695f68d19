//! Client of model engines: reports, orders and generated answers.

mod cache_events;
mod client;
mod error;
mod generate;
mod line_checker;
mod stream;

pub use cache_events::CacheEvents;
pub use cache_events::CachePosition;
pub use cache_events::NumberedEvent;
pub use cache_events::PrefixEvent;
pub use cache_events::ProbeAnswer;
pub use cache_events::PromptPrefix;
pub use client::EngineClient;
pub use error::EngineError;
pub use error::EngineErrorKind;
pub use generate::FinishReason;
pub use generate::GenerateLine;
pub use generate::GenerateRequest;
pub use line_checker::GenerateEvent;
pub use line_checker::LineChecker;
pub use stream::GenerateStream;
