//! A request at the server.

use std::io;
use std::thread;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::StatusCode;

use crate::BodyStream;
use crate::HttpMethod;
use crate::ServerLimits;

/// Size of one read of a body, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why a request body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than {bytes_max} bytes; send less"))]
    TooLarge {
        /// The limit in bytes.
        bytes_max: usize,
    },
    /// The sender was too slow.
    #[snafu(display("the body came too slowly; send it within {limit_ms} ms"))]
    TooSlow {
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// The connection broke, or the body is not what its headers say.
    #[snafu(display("the body broke off: {message}"))]
    Broken {
        /// What the transport said.
        message: String,
    },
}

/// A request that waits for its answer.
///
/// Dropping it unanswered answers with status 500.
pub struct ServerRequest {
    request: Request,
    limits: ServerLimits,
    path: String,
    query: String,
    body_failed: bool,
}

impl ServerRequest {
    pub(crate) fn new(request: Request, limits: ServerLimits) -> Self {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        Self { path: path.to_owned(), query: query.to_owned(), request, limits, body_failed: false }
    }

    /// Returns the method, or `None` for one that is not served anywhere here.
    pub fn method(&self) -> Option<HttpMethod> {
        match self.request.method() {
            tiny_http::Method::Get => Some(HttpMethod::Get),
            tiny_http::Method::Post => Some(HttpMethod::Post),
            tiny_http::Method::Put => Some(HttpMethod::Put),
            tiny_http::Method::Delete => Some(HttpMethod::Delete),
            _ => None,
        }
    }

    /// Returns the path without the query, still percent-encoded.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the query without its question mark.
    pub fn query(&self) -> &str {
        &self.query
    }

    /// Returns a query parameter, still percent-encoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a header; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .request
            .headers()
            .iter()
            .find(|it| it.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|it| it.value.as_str())
    }

    /// Reads the whole body within the server's limits.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, too slow or broken.
    pub fn read_body(&mut self) -> Result<Vec<u8>, BodyError> {
        let body = self.read_bounded();
        self.body_failed = body.is_err();
        body
    }

    fn read_bounded(&mut self) -> Result<Vec<u8>, BodyError> {
        let bytes_max = self.limits.body_bytes_max;
        if self.request.body_length().is_some_and(|it| it > bytes_max) {
            return Err(BodyError::TooLarge { bytes_max });
        }
        let limit = self.limits.body_timeout;
        let too_slow = BodyError::TooSlow { limit_ms: limit.as_millis() };
        let started = Instant::now();
        let mut body = Vec::new();
        let mut buf = [0; READ_BYTES];
        loop {
            let read = match self.request.as_reader().read(&mut buf) {
                Ok(0) => return Ok(body),
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(too_slow),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return Err(too_slow),
                Err(error) => return Err(BodyError::Broken { message: error.to_string() }),
            };
            body.extend_from_slice(&buf[..read]);
            if body.len() > bytes_max {
                return Err(BodyError::TooLarge { bytes_max });
            }
            if started.elapsed() > limit {
                return Err(too_slow);
            }
        }
    }

    /// Reads the whole body as JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`ServerRequest::read_body`] does; a body that is not the JSON expected
    /// is [`BodyError::Broken`].
    pub fn read_json<T: DeserializeOwned>(&mut self) -> Result<T, BodyError> {
        let body = self.read_body()?;
        serde_json::from_slice(&body).map_err(|it| BodyError::Broken { message: it.to_string() })
    }

    /// Answers with a whole body.
    ///
    /// A caller that is gone is not an error: nobody is left to be told.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let mut response = Response::from_data(body).with_status_code(StatusCode(status));
        for (name, value) in headers {
            match Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                Ok(header) => response.add_header(header),
                Err(()) => log::warn!("header {name} is not valid and was left out"),
            }
        }
        let request = self.request;
        let deliver = move || {
            if let Err(error) = request.respond(response) {
                log::debug!("the answer could not be delivered: {error}");
            }
        };
        // The library reads what is left of a body after the answer, for as long as its sender
        // likes; the thread that counts as in flight does not wait for that.
        if !self.body_failed {
            deliver();
        } else if let Err(error) = thread::Builder::new().name("http-drain".into()).spawn(deliver) {
            log::error!("no thread for the rest of a body: {error}");
        }
    }

    /// Answers with JSON.
    pub fn respond_json<T: Serialize>(self, status: u16, value: &T) {
        match serde_json::to_vec(value) {
            Ok(body) => self.respond(status, &[("content-type", "application/json")], body),
            Err(error) => self.respond(500, &[], error.to_string().into_bytes()),
        }
    }

    /// Starts an answer whose body is written piece by piece.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn respond_stream(self, status: u16, headers: &[(&str, &str)]) -> io::Result<BodyStream> {
        let chunked = *self.request.http_version() >= (1, 1);
        BodyStream::open(self.request.into_writer(), status, headers, chunked)
    }
}
