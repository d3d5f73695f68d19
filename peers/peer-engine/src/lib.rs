//! Model engines: reports, orders and generated answers.

mod client;
mod error;
mod generate;
mod stream;

pub use client::EngineClient;
pub use error::EngineError;
pub use error::EngineErrorKind;
pub use generate::FinishReason;
pub use generate::GenerateLine;
pub use generate::GenerateRequest;
pub use stream::GenerateEvent;
pub use stream::GenerateStream;
