//! Model engines: reports, orders and generated answers.

mod client;
mod error;
mod generate;
mod line_checker;
mod stream;

pub use client::EngineClient;
pub use error::EngineError;
pub use error::EngineErrorKind;
pub use generate::FinishReason;
pub use generate::GenerateLine;
pub use generate::GenerateRequest;
pub use line_checker::GenerateEvent;
pub use line_checker::LineChecker;
pub use stream::GenerateStream;
