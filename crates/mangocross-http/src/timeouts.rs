//! Timeouts of a call.

use std::time::Duration;

/// Default time to open a connection.
const CONNECT_DEFAULT: Duration = Duration::from_millis(1_000);
/// Default time for one read or write on the connection.
const IDLE_DEFAULT: Duration = Duration::from_millis(2_000);
/// Default time for the whole call, including the response body.
const TOTAL_DEFAULT: Duration = Duration::from_millis(10_000);

/// Timeouts of a call; each of them always applies.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimeouts {
    /// Longest time to open the connection.
    pub connect: Duration,
    /// Longest time for one read or write.
    pub idle: Duration,
    /// Longest time for the whole call, including the response body.
    pub total: Duration,
}

impl HttpTimeouts {
    /// Sets the longest time to open the connection.
    #[must_use]
    pub fn connect(mut self, limit: Duration) -> Self {
        self.connect = limit;
        self
    }

    /// Sets the longest time for one read or write.
    #[must_use]
    pub fn idle(mut self, limit: Duration) -> Self {
        self.idle = limit;
        self
    }

    /// Sets the longest time for the whole call.
    #[must_use]
    pub fn total(mut self, limit: Duration) -> Self {
        self.total = limit;
        self
    }
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self { connect: CONNECT_DEFAULT, idle: IDLE_DEFAULT, total: TOTAL_DEFAULT }
    }
}
