//! The keys of the store that a relay passes on.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::StoreRevision;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Time for which removals are passed on one by one.
const REMOVAL_RETENTION: Duration = Duration::from_secs(30);

/// The last change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key in the store.
    pub key: Arc<str>,
    /// Stored bytes; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: StoreRevision,
}

/// What a relay answers to an entry VM that knows the changes up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChanges {
    /// The last change of each key that changed since, in the order of their revisions.
    pub changes: Vec<KeyChange>,
    /// Whether `changes` has all keys that exist, and a key that is not among them was removed.
    pub is_complete: bool,
}

impl RelayedChanges {
    /// Returns whether keys may have been removed.
    pub fn may_remove(&self) -> bool {
        self.is_complete || self.changes.iter().any(|it| it.value.is_none())
    }
}

/// The last change of each key that entry VMs need.
///
/// An entry VM can start from any revision: it gets the last change of each key that
/// changed later, or all keys if removals since then are no longer known.
#[derive(Debug, Default)]
pub struct RelayedKeys {
    changes: HashMap<Arc<str>, KeyChange>,
    by_revision: BTreeSet<(StoreRevision, Arc<str>)>,
    removals: VecDeque<(Moment, KeyChange)>,
    /// Changes after this revision are known, including removals.
    known_after: StoreRevision,
}

impl RelayedKeys {
    /// Records that removals up to a revision may be missing, as after all keys were read anew.
    pub fn forget_until(&mut self, revision: StoreRevision) {
        self.known_after = self.known_after.max(revision);
    }

    /// Records a change of a key, unless a later one is known.
    pub fn record(&mut self, change: KeyChange, now: Moment) {
        if let Some(known) = self.changes.get(&change.key) {
            if known.revision >= change.revision {
                return;
            }
            self.by_revision.remove(&(known.revision, Arc::clone(&known.key)));
        }
        if change.value.is_none() {
            self.removals.push_back((now, change.clone()));
        }
        self.by_revision.insert((change.revision, Arc::clone(&change.key)));
        self.changes.insert(Arc::clone(&change.key), change);
    }

    /// Returns whether a key changed after a revision.
    pub fn has_changes_since(&self, after: StoreRevision) -> bool {
        let last = self.by_revision.last();
        after < self.known_after || last.is_some_and(|(revision, _)| *revision > after)
    }

    /// Returns the changes after a revision.
    pub fn changes_since(&self, after: StoreRevision) -> RelayedChanges {
        let is_complete = after < self.known_after;
        let later = self.by_revision.iter().rev();
        let keys = later.take_while(|(revision, _)| is_complete || *revision > after);
        let found = keys.filter_map(|(_, key)| self.changes.get(key));
        let mut changes: Vec<KeyChange> =
            found.filter(|it| !is_complete || it.value.is_some()).cloned().collect();
        changes.reverse();
        RelayedChanges { changes, is_complete }
    }

    /// Forgets removals that are older than the retention time.
    pub fn expire(&mut self, now: Moment) {
        while let Some((removed_at, removal)) = self.removals.front() {
            if now.since(*removed_at) < REMOVAL_RETENTION {
                return;
            }
            if self.changes.get(&removal.key) == Some(removal) {
                self.by_revision.remove(&(removal.revision, Arc::clone(&removal.key)));
                self.changes.remove(&removal.key);
                self.known_after = self.known_after.max(removal.revision);
            }
            self.removals.pop_front();
        }
    }
}
