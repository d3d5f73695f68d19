//! What this VM passes on of the store.

use std::cell::Cell;
use std::cell::RefCell;

use mangocross_serving::KeyChange;
use mangocross_serving::Moment;
use mangocross_serving::RelayedKeys;
use mangocross_types::StoreRevision;
use tokio::sync::Notify;

/// The keys that other entry VMs may ask this one for.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    /// Whether this VM follows the store itself and knows all keys.
    ///
    /// Only such a VM relays.
    pub(crate) is_following: Cell<bool>,
    /// Revision up to which all changes are known.
    pub(crate) revision: Cell<StoreRevision>,
    pub(crate) keys: RefCell<RelayedKeys>,
    /// Whether changes are recorded for other entry VMs.
    is_recording: Cell<bool>,
    /// Wakes the tasks that hold questions.
    pub(crate) changed: Notify,
    /// When another entry VM told that it has reached the store, which relays had lost.
    told_reached_at: Cell<Option<Moment>>,
    /// Wakes the task that waits to search for a source again.
    pub(crate) told_reached: Notify,
    /// Wakes the task that tells the other entry VMs that this one has reached the store.
    pub(crate) reached: Notify,
}

impl RelayState {
    /// Starts anew; all keys are about to be recorded.
    pub(crate) fn restart(&self) {
        self.is_following.set(false);
        self.is_recording.set(true);
        *self.keys.borrow_mut() = RelayedKeys::default();
        self.changed.notify_waiters();
    }

    /// Records that this VM no longer follows the store itself.
    pub(crate) fn stop(&self) {
        self.is_following.set(false);
        self.is_recording.set(false);
        *self.keys.borrow_mut() = RelayedKeys::default();
        self.changed.notify_waiters();
    }

    /// Records that another entry VM has reached the store, which relays had lost.
    pub(crate) fn record_store_reached(&self, now: Moment) {
        self.told_reached_at.set(Some(now));
        self.told_reached.notify_waiters();
    }

    /// Returns when another entry VM told so, once.
    pub(crate) fn take_store_reached(&self) -> Option<Moment> {
        self.told_reached_at.take()
    }

    /// Returns whether this VM follows the store itself, or reads it.
    pub(crate) fn is_recording(&self) -> bool {
        self.is_recording.get()
    }

    /// Records that removals up to a revision are not known.
    pub(crate) fn forget_until(&self, revision: StoreRevision) {
        self.keys.borrow_mut().forget_until(revision);
    }

    /// Records a change that other entry VMs need.
    pub(crate) fn record(
        &self,
        key: &str,
        value: Option<&Vec<u8>>,
        revision: StoreRevision,
        now: Moment,
    ) {
        if self.is_recording.get() {
            let change = KeyChange { key: key.into(), value: value.cloned(), revision };
            self.keys.borrow_mut().record(change, now);
        }
    }

    /// Records that all changes up to a revision are known.
    pub(crate) fn advance(&self, revision: StoreRevision) {
        if !self.is_recording.get() {
            return;
        }
        self.is_following.set(true);
        self.revision.set(self.revision.get().max(revision));
        self.changed.notify_waiters();
    }
}
