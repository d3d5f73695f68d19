//! An HTTP response whose body is read as it arrives.

use std::io;
use std::io::Read;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::BodyReader;

use crate::CallError;
use crate::CallErrorKind;
use crate::read_limit::ReadLimit;

/// A status, headers and a body that is read as it arrives.
///
/// Dropping it closes the connection; the server's next write then fails with a broken pipe.
pub struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: BodyReader<'static>,
    pub(crate) read_limit: ReadLimit,
}

impl HttpResponse {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns all headers with lower-case names.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Sets the time limit of a single read, in place of the call's idle limit.
    ///
    /// A read that takes longer fails with [`io::ErrorKind::TimedOut`] and may be retried without
    /// losing bytes.
    pub fn set_read_limit(&self, limit: Duration) {
        self.read_limit.set(limit);
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than `bytes_max`, is truncated or stalls.
    pub fn read_all(self, bytes_max: usize) -> Result<Vec<u8>, CallError> {
        let mut body = Vec::new();
        let limit = bytes_max as u64 + 1;
        self.body.take(limit).read_to_end(&mut body).map_err(|it| CallError::from_read(&it))?;
        if body.len() > bytes_max {
            let text = format!("the answer is larger than {bytes_max} bytes");
            return Err(CallError::after_send(CallErrorKind::TooLarge, text));
        }
        Ok(body)
    }

    /// Reads the whole body as JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpResponse::read_all`] does, or if the body is not the expected JSON.
    pub fn read_json<T: DeserializeOwned>(self, bytes_max: usize) -> Result<T, CallError> {
        let body = self.read_all(bytes_max)?;
        serde_json::from_slice(&body)
            .map_err(|it| CallError::after_send(CallErrorKind::Malformed, it.to_string()))
    }
}

impl Read for HttpResponse {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.body.read(buf)
    }
}
