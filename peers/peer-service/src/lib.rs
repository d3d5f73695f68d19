//! Plain services: calls forwarded to their backend servers.

mod client;

pub use client::ServiceAnswer;
pub use client::ServiceCall;
pub use client::ServiceClient;
pub use client::ServiceError;
