//! Chooses from where an entry VM learns of the store's changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::AvailabilityZone;

use crate::Moment;
use crate::RelayPlan;

/// Time for which a relay that failed is not asked again.
const FAILED_RELAY_PAUSE: Duration = Duration::from_secs(4);
/// Number of relays that are asked before the store, if none of them answers.
const RELAYS_TRIED_MAX: usize = 4;
/// Number of answers of relays that lost the store from which it counts as away for all.
const LOST_ANSWERS_MIN: usize = 2;
/// Time for which an entry VM that found no relay follows the store itself.
const STORE_DURATION: Duration = Duration::from_secs(8);
/// Expected number of entry VMs, besides the relays, that ask a store which the relays have lost,
/// at any time.
const LOST_STORE_ASKERS: f64 = 12.0;

/// Time for which another entry VM's word that it has reached the store counts.
const REACHED_NOTICE_AGE_MAX: Duration = Duration::from_secs(3);

/// From where an entry VM learns of the store's changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From a relay.
    Relay {
        /// Name of the relay.
        name: Arc<str>,
        /// Address of the relay.
        address: SocketAddr,
    },
}

/// The entry VM for which a source is chosen.
#[derive(Debug, Clone, Copy)]
pub struct VmRole<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Availability zone of the VM.
    pub zone: &'a AvailabilityZone,
    /// Whether the VM holds the planner's key; it then asks the store alone.
    pub holds_term: bool,
}

/// Chooses between the relays and the store, and remembers which relays failed.
///
/// A VM that reaches no relay follows the store itself for a while. If relays answer that
/// they have lost the store, it is probably away for all VMs, so only a few others ask it. Those that
/// reach it tell the rest, so that the time of the search does not depend on the number of VMs.
#[derive(Debug, Default)]
pub struct SourceChoice {
    /// When relays failed, or answered that they do not follow the store.
    failed: HashMap<Arc<str>, Moment>,
    /// Relays that could not be reached since the last good answer.
    unreached: usize,
    /// Relays that had lost the store since the last good answer.
    store_lost: usize,
    store_until: Option<Moment>,
    /// When another entry VM told that it has reached the store, which relays had lost.
    told_reached_at: Option<Moment>,
}

impl SourceChoice {
    /// Returns the source to use now.
    ///
    /// `draw` is a random number in `0.0..1.0`, and `entry_vms` the number of all entry VMs.
    pub fn choose(
        &mut self,
        plan: &RelayPlan,
        vm: VmRole<'_>,
        entry_vms: usize,
        now: Moment,
        draw: f64,
    ) -> Source {
        let VmRole { name, zone, holds_term } = vm;
        if holds_term || plan.follows_store(name) || self.store_until.is_some_and(|it| now < it) {
            return Source::Store;
        }
        self.failed.retain(|_, at| now.since(*at) < FAILED_RELAY_PAUSE);
        let candidates = plan.candidates(name, zone);
        let next = candidates.iter().find(|(name, _)| !self.failed.contains_key(name));
        let tried = self.unreached + self.store_lost;
        let is_exhausted = next.is_none() || tried >= RELAYS_TRIED_MAX;
        let is_told = self.told_reached_at.is_some_and(|it| now.since(it) < REACHED_NOTICE_AGE_MAX);
        let asks_store = match self.store_lost {
            0 => true,
            _ => is_told || draw < LOST_STORE_ASKERS / entry_vms.max(1) as f64,
        };
        if (is_exhausted || self.is_store_away()) && asks_store {
            return Source::Store;
        }
        match next.or(candidates.first()) {
            Some((name, address)) => Source::Relay { name: Arc::clone(name), address: *address },
            None => Source::Store,
        }
    }

    /// Records an answer of a relay that follows the store.
    pub fn record_following(&mut self) {
        self.unreached = 0;
        self.store_lost = 0;
    }

    /// Records that a relay could not be reached, or does not act as one.
    pub fn record_unreached(&mut self, relay: &Arc<str>, now: Moment) {
        self.failed.insert(Arc::clone(relay), now);
        self.unreached += 1;
    }

    /// Records that a relay has lost the store.
    pub fn record_store_lost(&mut self, relay: &Arc<str>, now: Moment) {
        self.failed.insert(Arc::clone(relay), now);
        self.store_lost += 1;
    }

    /// Returns whether the store is, or was until lately, away for all, and not only for the relay
    /// that says so.
    ///
    /// Where no other relay can be reached, the second answer of one counts as well.
    pub fn is_store_away(&self) -> bool {
        self.store_lost >= LOST_ANSWERS_MIN
    }

    /// Returns whether an answer of the store is news to the other entry VMs: relays had lost it, and
    /// none has told that it can be reached.
    pub fn is_answer_news(&self) -> bool {
        self.store_lost > 0 && self.told_reached_at.is_none()
    }

    /// Records that the store answered this VM although no relay could be used.
    pub fn record_store_answer(&mut self, now: Moment) {
        if self.unreached + self.store_lost > 0 {
            self.store_until = Some(now + STORE_DURATION);
            self.record_following();
            self.failed.clear();
        }
        self.told_reached_at = None;
    }

    /// Records that the store did not answer this VM.
    pub fn record_store_failure(&mut self) {
        self.told_reached_at = None;
    }

    /// Records that another entry VM told at a moment that it has reached the store, which relays had
    /// lost.
    pub fn record_store_reached(&mut self, told_at: Moment) {
        self.told_reached_at = Some(told_at);
    }
}
