//! Whether a node may serve under the configuration that it holds.
//!
//! A node serves only while it knows that no newer revision can have been
//! accepted without it. Two things vouch for that, each counted from the moment
//! the node *asked*, on its own monotonic clock:
//!
//! 1. the store, directly or through a peer that read it;
//! 2. a majority of the entry VMs, none of which holds a newer revision.
//!
//! A revision counts as accepted once every node has it in force, or once a
//! majority has it and the bound has passed since: by then every node that
//! could still serve has heard of it from one of that majority, or has stopped.
//! A whole store outage leaves the second way, and stops nothing.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Revision;
use mangocross_types::VmId;

/// Time limits of freshness.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessBounds {
    /// How long a vouch counts.
    pub vouch: Duration,
}

/// Whether requests may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// Requests may be served until this time.
    Serve {
        /// When the permit expires.
        until: Instant,
    },
    /// A newer revision is known and not yet in force here.
    Behind {
        /// The newest revision known.
        newest: Revision,
    },
    /// Neither the store nor a majority of entry VMs vouches.
    Alone {
        /// Entry VMs that vouch.
        vouching: usize,
        /// Entry VMs that are needed.
        needed: usize,
    },
}

/// What a node knows about the newest revision.
#[derive(Debug, Clone)]
pub struct Freshness {
    bounds: FreshnessBounds,
    in_force: Revision,
    newest_known: Revision,
    store_confirmed_at: Option<Instant>,
    vouched_at: HashMap<VmId, Instant>,
}

impl Freshness {
    /// Returns the state of a node that knows nothing yet.
    pub fn new(bounds: FreshnessBounds) -> Self {
        Self {
            bounds,
            in_force: Revision(0),
            newest_known: Revision(0),
            store_confirmed_at: None,
            vouched_at: HashMap::new(),
        }
    }

    /// Records that a revision is in force here; an older one is ignored.
    pub fn applied(&mut self, revision: Revision) {
        self.in_force = self.in_force.max(revision);
        self.newest_known = self.newest_known.max(revision);
    }

    /// Records that the store named `revision` as the newest, when asked at `asked_at`.
    pub fn store_said(&mut self, revision: Revision, asked_at: Instant) {
        self.newest_known = self.newest_known.max(revision);
        let newest = self.store_confirmed_at.map_or(asked_at, |it| it.max(asked_at));
        self.store_confirmed_at = Some(newest);
    }

    /// Records the reply of a peer, which was asked at `asked_at`.
    pub fn peer_said(
        &mut self,
        vm: &VmId,
        revision: Revision,
        store_age: Option<Duration>,
        asked_at: Instant,
    ) {
        self.newest_known = self.newest_known.max(revision);
        let heard = self.vouched_at.entry(vm.clone()).or_insert(asked_at);
        *heard = (*heard).max(asked_at);
        if let Some(confirmed_at) = store_age.and_then(|it| asked_at.checked_sub(it)) {
            self.store_said(revision, confirmed_at);
        }
    }

    /// Returns the revision in force here.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the newest revision that this node has heard of.
    pub fn newest_known(&self) -> Revision {
        self.newest_known
    }

    /// Returns how long ago the store confirmed the newest revision.
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        self.store_confirmed_at.map(|it| now.duration_since(it))
    }

    /// Decides whether requests may be served, given the entry VMs of the configuration in force.
    pub fn permit(&self, entry_vms: &[VmId], now: Instant) -> Permit {
        if self.in_force < self.newest_known || self.in_force == Revision(0) {
            return Permit::Behind { newest: self.newest_known };
        }
        let by_store = self.store_confirmed_at.map(|it| it + self.bounds.vouch);
        let by_peers = self.majority_until(entry_vms);
        match by_store.max(by_peers) {
            Some(until) if now < until => Permit::Serve { until },
            _ => Permit::Alone {
                vouching: self.vouching(entry_vms, now),
                needed: majority(entry_vms.len()),
            },
        }
    }

    /// Returns until when a majority vouches, if it ever did.
    fn majority_until(&self, entry_vms: &[VmId]) -> Option<Instant> {
        let mut heard: Vec<Instant> =
            entry_vms.iter().filter_map(|vm| self.vouched_at.get(vm).copied()).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let decisive = majority(entry_vms.len()).checked_sub(1)?;
        heard.get(decisive).map(|it| *it + self.bounds.vouch)
    }

    fn vouching(&self, entry_vms: &[VmId], now: Instant) -> usize {
        let heard = entry_vms.iter().filter_map(|vm| self.vouched_at.get(vm));
        heard.filter(|it| now < **it + self.bounds.vouch).count()
    }
}

fn majority(members: usize) -> usize {
    members / 2 + 1
}
