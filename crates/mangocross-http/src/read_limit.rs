//! Time limit of single reads that can be changed while a response is being read.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ureq::unversioned::transport::NextTimeout;

/// Longest time for one read, shared by a response and its connection; zero means that the
/// call's idle limit applies.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadLimit {
    limit_us: Arc<AtomicU64>,
}

impl ReadLimit {
    /// Sets the limit, effective from the next read.
    pub(crate) fn set(&self, limit: Duration) {
        let limit_us = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        self.limit_us.store(limit_us.max(1), Ordering::Relaxed);
    }

    /// Returns `timeout` with its limit of one read replaced by this limit, if that is set.
    pub(crate) fn override_per_read(&self, timeout: NextTimeout) -> NextTimeout {
        match self.limit_us.load(Ordering::Relaxed) {
            0 => timeout,
            limit_us => {
                let limit = Duration::from_micros(limit_us).into();
                NextTimeout { per_read: Some(limit), ..timeout }
            }
        }
    }
}
