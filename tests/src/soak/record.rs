//! Violations and counts that the soak recorded.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// What was observed.
    pub observed: String,
}

/// Violations and counts of a soak run.
#[derive(Debug, Default)]
pub struct Record {
    violations: Mutex<Vec<Violation>>,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Record {
    /// Records a violated guarantee.
    pub fn violation(&self, guarantee: &'static str, observed: String) {
        eprintln!("VIOLATION {guarantee}: {observed}");
        let mut violations = self.violations.lock().unwrap_or_else(PoisonError::into_inner);
        violations.push(Violation { guarantee, observed });
    }

    /// Adds one to a count.
    pub fn count(&self, what: impl Into<String>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(what.into()).or_default() += 1;
    }

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the counts.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
