//! What the soak saw.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub guarantee: &'static str,
    /// What was seen.
    pub observed: String,
}

/// What the soak saw.
#[derive(Debug, Default)]
pub struct Record {
    violations: Mutex<Vec<Violation>>,
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Record {
    /// Records a broken promise.
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

    /// Returns the broken promises.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the counts.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
