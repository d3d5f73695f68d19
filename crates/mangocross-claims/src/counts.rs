//! Counters of a claim log.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of a claim log since it was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Operations in batches whose commit has ended, counting each try.
    pub operations: u64,
    /// Batches whose commit was started.
    pub commits: u64,
    /// Writes to the store.
    pub swaps: u64,
    /// Writes refused because another one came first.
    pub conflicts: u64,
    /// Reads from the store.
    pub reads: u64,
    /// Calls to the store that failed.
    pub failures: u64,
    /// Releases and records deferred to a later commit, counting each try.
    pub deferred: u64,
    /// Operations currently open.
    pub open: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) operations: AtomicU64,
    pub(crate) commits: AtomicU64,
    pub(crate) swaps: AtomicU64,
    pub(crate) conflicts: AtomicU64,
    pub(crate) reads: AtomicU64,
    pub(crate) failures: AtomicU64,
    pub(crate) deferred: AtomicU64,
}

impl Counters {
    pub(crate) fn read(&self, open: usize) -> ClaimCounts {
        let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
        ClaimCounts {
            operations: load(&self.operations),
            commits: load(&self.commits),
            swaps: load(&self.swaps),
            conflicts: load(&self.conflicts),
            reads: load(&self.reads),
            failures: load(&self.failures),
            deferred: load(&self.deferred),
            open: open as u64,
        }
    }
}

pub(crate) fn count(counter: &AtomicU64, by: usize) {
    counter.fetch_add(by as u64, Ordering::Relaxed);
}
