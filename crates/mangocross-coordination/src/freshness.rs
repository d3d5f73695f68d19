//! Whether a process (a gateway or a coordinator) may serve under its configuration.
//!
//! A process serves only while it holds a freshness lease, which guarantees that no newer revision
//! can have been accepted without it. A lease is granted by either of two sources. Its duration
//! counts from the time at which the process *sent* its request, on its own monotonic clock:
//!
//! 1. the store, directly or through a peer that read it;
//! 2. a majority of the coordinators of the entry VMs in the configuration in force, none of which
//!    knows a newer revision.
//!
//! A lease contains the newest revision that the coordinator *knows of*, whether or not it has the
//! document yet. A coordinator that restarted has lost the leases that it granted, so it grants
//! leases only once it is *established*: the store confirmed its revision after its start, or a
//! majority of the entry VMs, not counting itself, are established and know of nothing newer.
//!
//! A coordinator relays the confirmations of the store and of a majority together with their age. A
//! process accepts a relayed confirmation only if it is newer than the start of the process. A
//! revision may be accepted early because every gateway had it in force, and a process that starts
//! after that must learn of it.
//!
//! [`crate::AcceptanceTracker`] is the counterpart that decides when a revision is accepted.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::CoordinatorEndpoint;
use crate::quorum::majority;

/// Time limits of freshness leases.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessBounds {
    /// How long a lease is valid.
    pub lease_duration: Duration,
}

/// Whether requests may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// Requests may be served until this time.
    Serve {
        /// When the permit expires.
        until: Instant,
    },
    /// A newer revision is known but not yet in force here.
    Behind {
        /// The newest revision known.
        newest: Revision,
    },
    /// There is no valid lease from the store or from a majority of the entry VMs.
    NoQuorum {
        /// Entry VMs whose leases are valid.
        valid_leases: usize,
        /// Entry VMs needed for a majority.
        needed: usize,
    },
    /// The configuration in force does not contain this entry VM.
    Unlisted,
}

/// A coordinator's reply to a poll, as far as it concerns the configuration.
///
/// It grants a freshness lease only if `established`; it may also relay confirmations.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessReply {
    /// Newest revision that the coordinator knows of.
    pub newest_known: Revision,
    /// Whether the coordinator is established, so that this reply grants a lease.
    pub established: bool,
    /// Time since the store confirmed that there was no newer revision.
    pub store_age: Option<Duration>,
    /// Confirmation that the coordinator has from a majority, if there is a valid one.
    pub majority: Option<MajorityConfirmation>,
    /// Longest validity of the lease and of the relayed confirmations: the coordinator may count a
    /// revision as accepted once leases of this duration have expired.
    pub duration_max: Duration,
}

/// Confirmation that a majority of the entry VMs of a revision knew of no newer one.
///
/// Like the store's confirmation it refers to one point in time, so it can be relayed with its age.
#[derive(Debug, Clone, Copy)]
pub struct MajorityConfirmation {
    /// Revision that was confirmed, and that lists these entry VMs.
    pub revision: Revision,
    /// Time since the first of these entry VMs was polled.
    pub age: Duration,
}

/// A process's knowledge of the newest revision, and the freshness leases that it holds.
#[derive(Debug, Clone)]
pub struct Freshness {
    bounds: FreshnessBounds,
    started_at: Instant,
    established: bool,
    in_force: Revision,
    newest_known: Revision,
    store_confirmed_at: Option<Instant>,
    store_until: Option<Instant>,
    lease_expiries: HashMap<CoordinatorEndpoint, Instant>,
    /// The newest revision for which a peer relayed a majority's confirmation, and when that
    /// expires.
    relayed_majority: Option<(Revision, Instant)>,
}

impl Freshness {
    /// Returns the state of a process that started at `started_at` and knows of no revision.
    pub fn new(bounds: FreshnessBounds, started_at: Instant) -> Self {
        Self {
            bounds,
            started_at,
            established: false,
            in_force: Revision(0),
            newest_known: Revision(0),
            store_confirmed_at: None,
            store_until: None,
            lease_expiries: HashMap::new(),
            relayed_majority: None,
        }
    }

    /// Records that a revision is in force here; an older revision is ignored.
    pub fn record_applied(&mut self, revision: Revision) {
        self.in_force = self.in_force.max(revision);
        self.newest_known = self.newest_known.max(revision);
    }

    /// Records that a read of the store sent at `sent_at` returned `revision` as the newest.
    pub fn record_store_revision(&mut self, revision: Revision, sent_at: Instant) {
        self.record_store_confirmation(revision, sent_at, self.bounds.lease_duration);
    }

    fn record_store_confirmation(
        &mut self,
        revision: Revision,
        sent_at: Instant,
        duration_max: Duration,
    ) {
        self.newest_known = self.newest_known.max(revision);
        self.store_confirmed_at = self.store_confirmed_at.max(Some(sent_at));
        // A confirmation from before the start may be older than leases that the previous process
        // on this VM granted, or than a newer revision that was accepted early because that process
        // had it in force.
        if sent_at >= self.started_at {
            self.store_until = self.store_until.max(Some(sent_at + duration_max));
            self.established = true;
        }
    }

    /// Records the reply of a coordinator to a poll that was sent at `sent_at`.
    pub fn record_peer(
        &mut self,
        coordinator: &CoordinatorEndpoint,
        reply: FreshnessReply,
        sent_at: Instant,
    ) {
        self.newest_known = self.newest_known.max(reply.newest_known);
        let duration_max = self.bounds.lease_duration.min(reply.duration_max);
        if reply.established {
            let until = sent_at + duration_max;
            let expiry = self.lease_expiries.entry(coordinator.clone()).or_insert(until);
            *expiry = (*expiry).max(until);
        }
        if let Some(confirmed_at) = reply.store_age.and_then(|it| sent_at.checked_sub(it)) {
            self.record_store_confirmation(reply.newest_known, confirmed_at, duration_max);
        }
        if let Some(confirmation) = reply.majority {
            self.record_relayed_majority(confirmation, sent_at, duration_max);
        }
    }

    /// Records a relayed confirmation of a majority.
    ///
    /// As with the store's, a confirmation from before the start is ignored.
    fn record_relayed_majority(
        &mut self,
        confirmation: MajorityConfirmation,
        sent_at: Instant,
        duration_max: Duration,
    ) {
        let Some(confirmed_at) = sent_at.checked_sub(confirmation.age) else { return };
        if confirmed_at >= self.started_at {
            let relayed = (confirmation.revision, confirmed_at + duration_max);
            self.relayed_majority = self.relayed_majority.max(Some(relayed));
        }
    }

    /// Marks this coordinator as established once a majority of entry VMs, not counting itself,
    /// have granted it leases.
    pub fn establish(&mut self, entry_vms: &[EntryVmSpec], own: &VmId) {
        if self.in_force == Revision(0) || self.in_force < self.newest_known {
            return;
        }
        let others = entry_vms.iter().filter(|it| it.vm != *own);
        let granted = others
            .filter(|it| self.lease_expiries.contains_key(&CoordinatorEndpoint::from(*it)))
            .count();
        self.established |= granted >= majority(entry_vms.len());
    }

    /// Returns this coordinator's reply to a poll, given the entry VMs of the configuration in
    /// force.
    pub fn freshness_reply(&self, entry_vms: &[EntryVmSpec], now: Instant) -> FreshnessReply {
        FreshnessReply {
            newest_known: self.newest_known,
            established: self.established,
            store_age: self.store_confirmed_at.map(|it| now.duration_since(it)),
            majority: self.majority_confirmation(entry_vms, now),
            duration_max: self.bounds.lease_duration,
        }
    }

    /// Returns the confirmation of the revision in force by a majority, if no newer one is known.
    fn majority_confirmation(
        &self,
        entry_vms: &[EntryVmSpec],
        now: Instant,
    ) -> Option<MajorityConfirmation> {
        if self.in_force < self.newest_known || self.in_force == Revision(0) {
            return None;
        }
        let until = self.majority_until(entry_vms).filter(|it| now < *it)?;
        let sent_at = until.checked_sub(self.bounds.lease_duration)?;
        Some(MajorityConfirmation {
            revision: self.in_force,
            age: now.saturating_duration_since(sent_at),
        })
    }

    /// Returns the revision in force here.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the newest revision that this process knows of.
    pub fn newest_known(&self) -> Revision {
        self.newest_known
    }

    /// Returns whether requests may be served on entry VM `own`, given the entry VMs of the
    /// configuration in force.
    pub fn permit(&self, entry_vms: &[EntryVmSpec], own: &VmId, now: Instant) -> Permit {
        if self.in_force < self.newest_known || self.in_force == Revision(0) {
            return Permit::Behind { newest: self.newest_known };
        }
        if !entry_vms.is_empty() && entry_vms.iter().all(|it| it.vm != *own) {
            return Permit::Unlisted;
        }
        let quorum_until = self.majority_until(entry_vms).max(self.relayed_majority_until());
        match self.store_until.max(quorum_until) {
            Some(until) if now < until => Permit::Serve { until },
            _ => Permit::NoQuorum {
                valid_leases: self.count_valid_leases(entry_vms, now),
                needed: majority(entry_vms.len()),
            },
        }
    }

    /// Returns when the leases of a majority expire, if a majority ever granted leases.
    fn majority_until(&self, entry_vms: &[EntryVmSpec]) -> Option<Instant> {
        let mut expiries: Vec<Instant> = self.expiries(entry_vms).collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        let last_needed = majority(entry_vms.len()) - 1;
        expiries.get(last_needed).copied()
    }

    /// Returns when the relayed confirmation of the revision in force by a majority expires.
    ///
    /// It is a majority of the entry VMs of that same revision.
    fn relayed_majority_until(&self) -> Option<Instant> {
        let relayed = self.relayed_majority.filter(|(revision, _)| *revision == self.in_force);
        relayed.map(|(_, until)| until)
    }

    fn count_valid_leases(&self, entry_vms: &[EntryVmSpec], now: Instant) -> usize {
        self.expiries(entry_vms).filter(|it| now < *it).count()
    }

    fn expiries<'a>(&'a self, entry_vms: &'a [EntryVmSpec]) -> impl Iterator<Item = Instant> + 'a {
        entry_vms
            .iter()
            .filter_map(|it| self.lease_expiries.get(&CoordinatorEndpoint::from(it)).copied())
    }
}
