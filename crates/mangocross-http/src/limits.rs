//! Limits of the HTTP server.

use std::time::Duration;

/// Default time for one read of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time for a complete header, from its first byte.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time for one write of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time for a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Default limit of a request header, in bytes.
const HEADER_BYTES_MAX: usize = 64 * 1024;
/// Default limit of a request body, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;
/// Default limit of requests handled concurrently.
const IN_FLIGHT_MAX: usize = 1024;
/// Default memory of the process, in bytes.
const MEMORY_BYTES_MAX: u64 = 256 << 20;
/// Default of [`ServerLimits::spare_connections`].
const SPARE_CONNECTIONS: usize = 1024;

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Longest time for one read, and the longest idle time of a connection.
    pub read_timeout: Duration,
    /// Longest time for a complete header, from its first byte.
    pub header_timeout: Duration,
    /// Longest time for one write.
    pub write_timeout: Duration,
    /// Longest time for a complete body.
    pub body_timeout: Duration,
    /// Largest header in bytes; values below 8 KiB are raised to 8 KiB.
    pub header_bytes_max: usize,
    /// Largest body in bytes.
    pub body_bytes_max: usize,
    /// Most requests handled concurrently; `refuse` of [`HttpServer::bind`] answers the others.
    ///
    /// [`HttpServer::bind`]: crate::HttpServer::bind
    pub in_flight_max: usize,
    /// Connections that are served beyond `in_flight_max`. As many again are accepted, and the first
    /// request on each of these is refused; further connections are closed.
    pub spare_connections: usize,
    /// Memory of the process in bytes; a quarter of it is the byte budget.
    pub memory_bytes_max: u64,
}

impl ServerLimits {
    /// Sets the longest time for one read.
    #[must_use]
    pub fn read_timeout(mut self, limit: Duration) -> Self {
        self.read_timeout = limit;
        self
    }

    /// Sets the longest time for a complete header.
    #[must_use]
    pub fn header_timeout(mut self, limit: Duration) -> Self {
        self.header_timeout = limit;
        self
    }

    /// Sets the largest body in bytes.
    #[must_use]
    pub fn body_bytes_max(mut self, limit: usize) -> Self {
        self.body_bytes_max = limit;
        self
    }

    /// Sets the longest time for a complete body.
    #[must_use]
    pub fn body_timeout(mut self, limit: Duration) -> Self {
        self.body_timeout = limit;
        self
    }

    /// Sets the most requests handled concurrently.
    #[must_use]
    pub fn in_flight_max(mut self, limit: usize) -> Self {
        self.in_flight_max = limit;
        self
    }

    /// Sets the number of connections that are served beyond `in_flight_max`.
    #[must_use]
    pub fn spare_connections(mut self, limit: usize) -> Self {
        self.spare_connections = limit;
        self
    }

    /// Sets the memory of the process in bytes.
    #[must_use]
    pub fn memory_bytes_max(mut self, limit: u64) -> Self {
        self.memory_bytes_max = limit;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            read_timeout: READ_TIMEOUT,
            header_timeout: HEADER_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            header_bytes_max: HEADER_BYTES_MAX,
            body_bytes_max: BODY_BYTES_MAX,
            in_flight_max: IN_FLIGHT_MAX,
            spare_connections: SPARE_CONNECTIONS,
            memory_bytes_max: MEMORY_BYTES_MAX,
        }
    }
}
