//! The newest revision of a value that is known to exist.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mangocross_types::Revision;

/// The newest revision of a value that the store or a peer has reported.
#[derive(Debug, Default)]
pub(crate) struct KnownRevision(AtomicU64);

impl KnownRevision {
    /// Records that a revision exists; an older one than the newest known has no effect.
    pub(crate) fn record(&self, revision: Revision) {
        self.0.fetch_max(revision.0, Ordering::SeqCst);
    }

    /// Returns the newest known revision; zero if none.
    pub(crate) fn newest(&self) -> Revision {
        Revision(self.0.load(Ordering::SeqCst))
    }
}
