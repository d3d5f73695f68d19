//! Values of the store.

use mangocross_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A value with its key and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the value's last write.
    pub revision: Revision,
}

/// What a compare-and-swap did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written at this revision.
    Swapped(Revision),
    /// Another value stands; `None` means that the key is absent.
    Conflict(Option<Entry>),
}
