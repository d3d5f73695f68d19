//! A request that the server received.

use std::io;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::BodyStream;
use crate::HeaderError;
use crate::HeldBytes;
use crate::HttpMethod;
use crate::ServerLimits;
use crate::exchange::ResponseBody;
use crate::held::ConnectionGuard;

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
    /// The byte budget of the process has no room for it.
    #[snafu(display("no memory is left for the body; send it again later"))]
    NoMemory,
    /// The connection broke, the body does not match its headers, or it is not the expected JSON.
    #[snafu(display("the body broke off: {message}"))]
    Broken {
        /// Error message of the connection or of the JSON parser.
        message: String,
    },
}

/// A request that is waiting for its response.
///
/// Dropping it without a response sends status 500.
pub struct ServerRequest {
    method: Method,
    uri: Uri,
    version: Version,
    headers: HeaderMap,
    header_error: Option<HeaderError>,
    /// Declared before `connection` so that it is dropped first; hyper then stops reading it.
    body: Incoming,
    connection: ConnectionGuard,
    limits: ServerLimits,
    /// Charge of the body, which the handler has until it responds.
    held: Option<HeldBytes>,
}

impl ServerRequest {
    pub(crate) fn new(
        request: Request<Incoming>,
        header_error: Option<HeaderError>,
        connection: ConnectionGuard,
        limits: ServerLimits,
    ) -> Self {
        let (head, body) = request.into_parts();
        Self {
            method: head.method,
            uri: head.uri,
            version: head.version,
            headers: head.headers,
            header_error,
            body,
            connection,
            limits,
            held: None,
        }
    }

    /// Returns why the header could not be read; the other accessors may then return
    /// placeholders.
    pub fn header_error(&self) -> Option<HeaderError> {
        self.header_error
    }

    /// Returns the method, or `None` if it is not one of [`HttpMethod`].
    pub fn method(&self) -> Option<HttpMethod> {
        match self.method {
            Method::GET => Some(HttpMethod::Get),
            Method::POST => Some(HttpMethod::Post),
            Method::PUT => Some(HttpMethod::Put),
            Method::DELETE => Some(HttpMethod::Delete),
            _ => None,
        }
    }

    /// Returns the path without the query, still percent-encoded.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns the query without its question mark.
    pub fn query(&self) -> &str {
        self.uri.query().unwrap_or_default()
    }

    /// Returns a query parameter, still percent-encoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query().split('&').filter_map(|it| it.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a header; names are case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the whole body within the server's limits.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, too slow or broken.
    pub fn read_body(&mut self) -> Result<Vec<u8>, BodyError> {
        let bytes_max = self.limits.body_bytes_max;
        if self.body.size_hint().lower() > bytes_max as u64 {
            return Err(BodyError::TooLarge { bytes_max });
        }
        self.connection.begin_body(Instant::now() + self.limits.body_timeout);
        let body = self.receive_body(bytes_max);
        self.connection.end_body();
        body
    }

    /// Receives a body in parts of equal size, since buffers that grow leave gaps in the allocator's
    /// arenas, and joins them once it is complete.
    fn receive_body(&mut self, bytes_max: usize) -> Result<Vec<u8>, BodyError> {
        let limit = self.limits.body_timeout;
        let mut buffer = self.connection.body_buffer();
        loop {
            match self.connection.read_body(&mut self.body) {
                Ok(None) => break,
                Ok(Some(part)) => {
                    self.connection.record_received(part.len());
                    let extended = self.connection.extend(&mut buffer, part);
                    extended.map_err(|_| BodyError::NoMemory)?;
                }
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return Err(BodyError::TooSlow { limit_ms: limit.as_millis() });
                }
                Err(error) => return Err(BodyError::Broken { message: error.to_string() }),
            }
            if buffer.length() > bytes_max {
                return Err(BodyError::TooLarge { bytes_max });
            }
        }
        let mut parts = buffer.finish();
        let held = self.connection.hold(parts.length()).map_err(|_| BodyError::NoMemory)?;
        self.held = Some(held);
        let mut body = Vec::with_capacity(parts.length());
        while let Some(part) = parts.next_part() {
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Reads the whole body as JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`ServerRequest::read_body`] does; a body that is not the expected JSON
    /// is [`BodyError::Broken`].
    pub fn read_json<T: DeserializeOwned>(&mut self) -> Result<T, BodyError> {
        let body = self.read_body()?;
        serde_json::from_slice(&body).map_err(|it| BodyError::Broken { message: it.to_string() })
    }

    /// Sends a response with a complete body.
    ///
    /// A failed delivery is only logged, since the caller has disconnected.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let Self { body: unread, mut connection, .. } = self;
        drop(unread);
        let response = build_response(status, headers, ResponseBody::Whole(body.into()));
        if let Err(error) = connection.respond(response) {
            log::debug!("the response could not be delivered: {error}");
        }
    }

    /// Sends a JSON response.
    pub fn respond_json<T: Serialize>(self, status: u16, value: &T) {
        match serde_json::to_vec(value) {
            Ok(body) => self.respond(status, &[("content-type", "application/json")], body),
            Err(error) => self.respond(500, &[], error.to_string().into_bytes()),
        }
    }

    /// Starts a response whose body is written in chunks.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn respond_stream(self, status: u16, headers: &[(&str, &str)]) -> io::Result<BodyStream> {
        let Self { body: unread, mut connection, version, .. } = self;
        drop(unread);
        let body = connection.begin_stream(version < Version::HTTP_11);
        connection.respond(build_response(status, headers, body))?;
        Ok(BodyStream::new(connection))
    }
}

fn build_response(
    status: u16,
    headers: &[(&str, &str)],
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    match status.try_into() {
        Ok(status) => *response.status_mut() = status,
        Err(_) => log::warn!("invalid status {status}; sent 200 instead"),
    }
    for (name, value) in headers {
        match (HeaderName::try_from(*name), HeaderValue::try_from(*value)) {
            (Ok(name), Ok(value)) => {
                response.headers_mut().append(name, value);
            }
            _ => log::warn!("invalid header {name} was omitted"),
        }
    }
    response
}
