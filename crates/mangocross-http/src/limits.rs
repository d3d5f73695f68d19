//! Limits of a server.

use std::time::Duration;

/// Default time for one read of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time for one write of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time for a whole request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Default size of a request body, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;
/// Default number of requests handled at once.
const IN_FLIGHT_MAX: usize = 1024;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Longest time for one read, and the longest idle time of a connection.
    pub read_timeout: Duration,
    /// Longest time for one write.
    pub write_timeout: Duration,
    /// Longest time for a whole body.
    pub body_timeout: Duration,
    /// Largest body in bytes.
    pub body_bytes_max: usize,
    /// Most requests handled at once; more are answered by the overload handler.
    pub in_flight_max: usize,
}

impl ServerLimits {
    /// Sets the longest time for one read.
    #[must_use]
    pub fn read_timeout(mut self, limit: Duration) -> Self {
        self.read_timeout = limit;
        self
    }

    /// Sets the largest body in bytes.
    #[must_use]
    pub fn body_bytes_max(mut self, limit: usize) -> Self {
        self.body_bytes_max = limit;
        self
    }

    /// Sets the longest time for a whole body.
    #[must_use]
    pub fn body_timeout(mut self, limit: Duration) -> Self {
        self.body_timeout = limit;
        self
    }

    /// Sets the most requests handled at once.
    #[must_use]
    pub fn in_flight_max(mut self, limit: usize) -> Self {
        self.in_flight_max = limit;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            read_timeout: READ_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            body_bytes_max: BODY_BYTES_MAX,
            in_flight_max: IN_FLIGHT_MAX,
        }
    }
}
