//! Protocol with callers: headers, chat completions, server-sent events and refusals.

mod chat;
mod event_stream;
mod headers;
mod refusal;

pub use chat::ChatMessage;
pub use chat::ChatRequest;
pub use event_stream::EventStream;
pub use headers::CallerHeaders;
pub use refusal::RefusalBody;
pub use refusal::header_refusal;
pub use refusal::respond_refusal;
