//! Revisions of the platform's store across its eras.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::StoreEra;

/// A revision of the platform's store in the era that gave it out.
///
/// A store that comes back from an older copy gives revisions out again, so they can only be
/// compared together with their eras.
///
/// # Examples
///
/// ```
/// use mangocross_types::Revision;
/// use mangocross_types::StoreEra;
/// use mangocross_types::StoreRevision;
///
/// let lost = StoreRevision { era: StoreEra(1), revision: Revision(90) };
/// let again = StoreRevision { era: StoreEra(2), revision: Revision(85) };
/// assert!(again > lost);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    // Comes first: the derived order compares eras before revisions.
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within the era; zero means absent.
    pub revision: Revision,
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
