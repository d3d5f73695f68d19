//! A limit of single reads that can change while an answer is read.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ureq::unversioned::transport::NextTimeout;

/// Longest time for one read, shared by an answer and its connection; zero means no limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadLimit {
    limit_us: Arc<AtomicU64>,
}

impl ReadLimit {
    /// Sets the limit; it holds from the next read on.
    pub(crate) fn set(&self, limit: Duration) {
        let limit_us = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        self.limit_us.store(limit_us.max(1), Ordering::Relaxed);
    }

    /// Returns the time limit of a read, shortened to this limit.
    pub(crate) fn shorten(&self, timeout: NextTimeout) -> NextTimeout {
        match self.limit_us.load(Ordering::Relaxed) {
            0 => timeout,
            limit_us => {
                let limit = Duration::from_micros(limit_us).into();
                NextTimeout { per_read: Some(limit), ..timeout }
            }
        }
    }
}
