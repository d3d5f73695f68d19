//! An HTTP call and its options.

use std::net::SocketAddr;

use serde::Serialize;

use crate::HttpTimeouts;
use crate::keep_waiting::KeepWaiting;

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpMethod {
    /// Reads.
    Get,
    /// Creates or runs.
    Post,
    /// Replaces.
    Put,
    /// Removes.
    Delete,
}

impl HttpMethod {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// An HTTP call to one address.
#[derive(Debug, Clone)]
pub struct HttpCall {
    pub(crate) method: HttpMethod,
    pub(crate) url: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) timeouts: HttpTimeouts,
    pub(crate) keep_waiting: Option<KeepWaiting>,
}

impl HttpCall {
    /// Creates a call without headers and body.
    ///
    /// `path` must start with a slash and be percent-encoded.
    pub fn new(method: HttpMethod, address: SocketAddr, path: &str) -> Self {
        Self {
            method,
            url: format!("http://{address}{path}"),
            headers: Vec::new(),
            body: Vec::new(),
            timeouts: HttpTimeouts::default(),
            keep_waiting: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Sets a JSON body and its content type.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be serialized as JSON, such as a map with keys that are not
    /// strings.
    #[must_use]
    pub fn json<T: Serialize>(self, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("the value has a JSON form");
        self.header("content-type", "application/json").body(body)
    }

    /// Sets the time limits.
    #[must_use]
    pub fn timeouts(mut self, timeouts: HttpTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Fails the call with a timeout once `keep_waiting` returns false while the response headers
    /// are outstanding; it is called about ten times a second.
    #[must_use]
    pub fn wait_while(mut self, keep_waiting: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        self.keep_waiting = Some(KeepWaiting::new(keep_waiting));
        self
    }
}
