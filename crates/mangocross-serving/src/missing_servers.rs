//! Servers whose entries went missing around an outage of the store.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Time after the return of the store in which entries that expired during the outage reappear, and
/// in which others write again what a store has lost that comes back from an older copy.
pub const REAPPEARANCE_TIME: Duration = Duration::from_millis(2000);
/// Time that a request may take from the choice of its server until it arrives there.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// What the removal of a server's entry means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The server has left or ended.
    Gone,
    /// The entry may have expired because the store was away; the server is used until this
    /// moment unless the entry reappears.
    MayReappear(Moment),
}

/// Decides how long servers are used whose entries went missing around an outage of the store.
///
/// While the store is away, servers cannot renew their entries, so some expire although
/// their server lives. One period after the store's return covers all of them. It does not
/// depend on when a removal is read, and it ends before a server that really left in the
/// meantime must get no more requests.
#[derive(Debug, Default)]
pub struct MissingServers {
    is_store_lost: bool,
    reappear_until: Option<Moment>,
    gone_at: HashMap<VmId, Moment>,
}

impl MissingServers {
    /// Records that the store cannot be reached.
    pub fn record_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records an answer of the store; the first one after an outage starts the period in which
    /// entries may reappear.
    ///
    /// `leave_within` is the time within which a leaving server must stop getting requests.
    pub fn record_store_answer(&mut self, now: Moment, leave_within: Duration) {
        if std::mem::take(&mut self.is_store_lost) {
            self.begin_period(now, leave_within);
        }
    }

    /// Records the first answer of a store that came back from an older copy: entries that it lacks
    /// may reappear, whether an outage was noticed or not.
    pub fn record_new_era(&mut self, now: Moment, leave_within: Duration) {
        self.is_store_lost = false;
        self.begin_period(now, leave_within);
    }

    fn begin_period(&mut self, now: Moment, leave_within: Duration) {
        let longest = leave_within.saturating_sub(DELIVERY_MARGIN);
        self.reappear_until = Some(now + REAPPEARANCE_TIME.min(longest));
    }

    /// Records the period of the relay from which the store's changes are learned, and which was
    /// without the store.
    pub fn record_relayed_period(&mut self, until: Moment, now: Moment, leave_within: Duration) {
        let longest = leave_within.saturating_sub(DELIVERY_MARGIN);
        self.reappear_until = self.reappear_until.max(Some(until.min(now + longest)));
    }

    /// Returns until when entries may reappear, if the time has not passed.
    pub fn reappear_until(&self, now: Moment) -> Option<Moment> {
        self.reappear_until.filter(|it| now < *it)
    }

    /// Records that a server's entry was removed, or is not among all entries.
    pub fn record_removal(&mut self, vm: &VmId, now: Moment) -> Removal {
        match self.reappear_until(now) {
            Some(until) => {
                let gone_at = *self.gone_at.entry(vm.clone()).or_insert(until);
                Removal::MayReappear(gone_at)
            }
            None => {
                self.gone_at.remove(vm);
                Removal::Gone
            }
        }
    }

    /// Records a server's entry.
    pub fn record_entry(&mut self, vm: &VmId) {
        self.gone_at.remove(vm);
    }

    /// Returns whether a server's entry is missing.
    pub fn is_missing(&self, vm: &VmId) -> bool {
        self.gone_at.contains_key(vm)
    }

    /// Returns whether a server is missing and can no longer be expected to reappear.
    pub fn is_gone(&self, vm: &VmId, now: Moment) -> bool {
        self.gone_at.get(vm).is_some_and(|it| now >= *it)
    }

    /// Removes and returns the servers that have not reappeared in time.
    pub fn take_gone(&mut self, now: Moment) -> Vec<VmId> {
        self.gone_at.extract_if(|_, it| now >= *it).map(|(vm, _)| vm).collect()
    }
}
