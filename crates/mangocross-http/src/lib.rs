//! HTTP plumbing: a client that knows whether it sent anything, and a server
//! with bounded headers, bodies, times and concurrency.
//!
//! Each client call opens a connection of its own and never sends twice: no
//! pool, no redirects, no retries. A stale or half-dead connection therefore
//! cannot answer for another request, and a failed call says truthfully whether
//! the server can have received anything.

mod body_stream;
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

pub use body_stream::BodyStream;
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
