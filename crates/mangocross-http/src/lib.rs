//! HTTP client that reports whether anything was sent, and HTTP server with limits on headers,
//! bodies, times and concurrency.
//!
//! Each client call opens its own connection and sends its request at most once: there is no
//! connection pool, no redirect and no retry. A stale or half-open connection therefore cannot
//! deliver the response of another request, and the error of a failed call tells reliably whether
//! the server can have received anything.

mod body_buffer;
mod body_stream;
mod budget;
mod call;
mod client;
mod connection;
mod error;
mod exchange;
mod held;
mod keep_waiting;
mod limits;
mod read_limit;
mod request;
mod response;
mod server;
mod socket;
mod timeouts;
mod tracker;

pub use body_buffer::BodyBuffer;
pub use body_buffer::BodyParts;
pub use body_stream::BodyStream;
pub use budget::BudgetClient;
pub use budget::BudgetExhausted;
pub use budget::ByteBudget;
pub use budget::HeldBytes;
pub use call::HttpCall;
pub use call::HttpMethod;
pub use client::HttpClient;
pub use connection::HeaderError;
pub use error::CallError;
pub use error::CallErrorKind;
pub use limits::ServerLimits;
pub use request::BodyError;
pub use request::ServerRequest;
pub use response::HttpResponse;
pub use server::HttpServer;
pub use timeouts::HttpTimeouts;
