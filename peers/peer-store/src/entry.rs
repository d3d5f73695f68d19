//! Entries of the store.

use mangocross_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key in the store.
    pub key: String,
    /// Stored text.
    pub value: String,
    /// Revision of the value's last write.
    pub revision: Revision,
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Swapped(Revision),
    /// The key has another revision; `None` means that it is absent.
    Conflict(Option<Entry>),
}
