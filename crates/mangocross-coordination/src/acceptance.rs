//! When a revision of the configuration counts as accepted.
//!
//! A revision is accepted once no node can serve under an older one, ever again.
//! That holds in two cases:
//!
//! 1. At some moment a majority of the coordinators of its entry VMs knew it at
//!    the same time, and the vouch bound has passed since. Every majority that
//!    a node hears after that moment has a member that knows the revision, and
//!    the store names it, so older vouches have run out.
//! 2. At some moment a majority of the coordinators knew it and every gateway,
//!    those of the revision before included, had it in force. A gateway does not
//!    go back, and one that restarts asks anew.
//!
//! *At the same time* matters since a coordinator that restarts forgets: it
//! recovers from those that still know. A process is therefore known to have
//! held a revision from when it was first heard to hold it until it was last
//! asked, and only as the same process.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::Voucher;
use crate::quorum::majority;

/// Revisions remembered for each process.
const HISTORY_MAX: usize = 64;
/// The part of the bound that is added for clocks that run at different rates.
const CLOCK_MARGIN_DIVISOR: u32 = 10;

/// A sign that a process held a revision.
#[derive(Debug, Clone, Copy)]
pub struct Sighting {
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// The revision.
    pub revision: Revision,
    /// When the process was asked; it held the revision at some time after that.
    pub asked_at: Instant,
    /// When its report arrived; it held the revision at some time before that.
    pub heard_at: Instant,
}

/// A revision whose acceptance is in question.
#[derive(Debug, Clone, Copy)]
pub struct AcceptanceCandidate<'a> {
    /// The revision.
    pub revision: Revision,
    /// Its entry VMs.
    pub entry_vms: &'a [EntryVmSpec],
    /// Entry VMs of the revision before, if that one is known to be accepted.
    pub accepted_base: Option<&'a [EntryVmSpec]>,
}

/// Which process of an entry VM lacks a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LackingProcess {
    /// The coordinator.
    Coordinator,
    /// The gateway.
    Gateway,
}

/// A process that is not known to hold a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lacking {
    /// Its entry VM.
    pub vm: VmId,
    /// Which process.
    pub process: LackingProcess,
    /// What it held when last heard, if it was ever heard.
    pub held: Option<Revision>,
    /// How long ago it was last heard.
    pub heard_ago: Option<Duration>,
}

/// Whether a revision is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// No node serves under an older revision.
    Accepted {
        /// Processes that do not hold it and serve nothing until they do.
        lacking: Vec<Lacking>,
    },
    /// A node may still serve under an older revision.
    Pending {
        /// When it will be accepted, if nothing restarts; `None` without a majority.
        accepted_at: Option<Instant>,
        /// Processes that do not hold it.
        lacking: Vec<Lacking>,
    },
}

impl Acceptance {
    /// Returns whether the revision is accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

/// Which process held which revision when.
#[derive(Debug, Clone)]
pub struct AcceptanceTracker {
    bound: Duration,
    /// Newest revision found accepted; that does not change again.
    accepted: Revision,
    own: Record,
    coordinators: HashMap<Voucher, Record>,
    gateways: HashMap<VmId, Record>,
}

#[derive(Debug, Clone, Default)]
struct Record {
    process_id: u64,
    /// Revisions with the time since which each was held, oldest first.
    held: VecDeque<(Revision, Instant)>,
    asked_at: Option<Instant>,
    heard_at: Option<Instant>,
}

impl AcceptanceTracker {
    /// Returns a tracker for nodes whose vouches count for `vouch`.
    pub fn new(vouch: Duration) -> Self {
        Self {
            bound: vouch + vouch / CLOCK_MARGIN_DIVISOR,
            accepted: Revision(0),
            own: Record::default(),
            coordinators: HashMap::new(),
            gateways: HashMap::new(),
        }
    }

    /// Records what this process itself knows.
    pub fn own_knows(&mut self, revision: Revision, now: Instant) {
        self.own.saw(&Sighting { process_id: 0, revision, asked_at: now, heard_at: now });
    }

    /// Records what a coordinator knows; one that is not established counts for nothing.
    pub fn coordinator_said(&mut self, voucher: Voucher, established: bool, sighting: &Sighting) {
        if established {
            self.coordinators.entry(voucher).or_default().saw(sighting);
        } else {
            self.coordinators.remove(&voucher);
        }
    }

    /// Records what a gateway has in force.
    pub fn gateway_said(&mut self, vm: VmId, sighting: &Sighting) {
        self.gateways.entry(vm).or_default().saw(sighting);
    }

    /// Decides whether a revision is accepted.
    pub fn check(&mut self, candidate: &AcceptanceCandidate<'_>, now: Instant) -> Acceptance {
        let lacking = self.lacking(candidate, now);
        let known_at = if candidate.entry_vms.is_empty() {
            // Without entry VMs only the store vouches.
            self.own.since(candidate.revision)
        } else {
            self.majority_at(candidate)
        };
        let accepted_at = known_at.map(|it| it + self.bound);
        if accepted_at.is_some_and(|it| it <= now) || self.in_force_everywhere(candidate) {
            self.accepted = self.accepted.max(candidate.revision);
        }
        if candidate.revision <= self.accepted {
            Acceptance::Accepted { lacking }
        } else {
            Acceptance::Pending { accepted_at, lacking }
        }
    }

    /// Returns the first moment at which a majority of coordinators knew the revision together.
    fn majority_at(&self, candidate: &AcceptanceCandidate<'_>) -> Option<Instant> {
        let records = self.coordinators_of(candidate);
        let moments = records.iter().filter_map(|it| it.since(candidate.revision));
        let together = |at: &Instant| {
            let holding = records.iter().filter(|it| it.held_at(candidate.revision, *at));
            holding.count() >= majority(candidate.entry_vms.len())
        };
        moments.filter(together).min()
    }

    /// Returns whether a majority of coordinators and all gateways held the revision together.
    fn in_force_everywhere(&self, candidate: &AcceptanceCandidate<'_>) -> bool {
        let Some(base) = candidate.accepted_base else { return false };
        if candidate.entry_vms.is_empty() {
            return false;
        }
        let coordinators = self.coordinators_of(candidate);
        let vms = candidate.entry_vms.iter().chain(base);
        let gateways: Option<Vec<&Record>> = vms.map(|it| self.gateways.get(&it.vm)).collect();
        let Some(gateways) = gateways else { return false };
        let records = coordinators.iter().chain(&gateways);
        let mut moments = records.filter_map(|it| it.since(candidate.revision));
        moments.any(|at| {
            let knowing = coordinators.iter().filter(|it| it.held_at(candidate.revision, at));
            knowing.count() >= majority(candidate.entry_vms.len())
                && gateways.iter().all(|it| it.held_at(candidate.revision, at))
        })
    }

    fn coordinators_of(&self, candidate: &AcceptanceCandidate<'_>) -> Vec<&Record> {
        let vouchers = candidate.entry_vms.iter().map(Voucher::from);
        vouchers.filter_map(|it| self.coordinators.get(&it)).collect()
    }

    fn lacking(&self, candidate: &AcceptanceCandidate<'_>, now: Instant) -> Vec<Lacking> {
        let mut lacking = Vec::new();
        for spec in candidate.entry_vms {
            let coordinator = self.coordinators.get(&Voucher::from(spec));
            let gateway = self.gateways.get(&spec.vm);
            for (process, record) in
                [(LackingProcess::Coordinator, coordinator), (LackingProcess::Gateway, gateway)]
            {
                let held = record.and_then(Record::newest);
                if held.is_none_or(|it| it < candidate.revision) {
                    let heard = record.and_then(|it| it.heard_at);
                    let heard_ago = heard.map(|it| now.duration_since(it));
                    lacking.push(Lacking { vm: spec.vm.clone(), process, held, heard_ago });
                }
            }
        }
        lacking
    }
}

impl Record {
    fn saw(&mut self, sighting: &Sighting) {
        if self.process_id != sighting.process_id {
            *self = Self { process_id: sighting.process_id, ..Self::default() };
        }
        if self.newest().is_none_or(|it| it < sighting.revision) {
            self.held.push_back((sighting.revision, sighting.heard_at));
            if self.held.len() > HISTORY_MAX {
                self.held.pop_front();
            }
        }
        self.asked_at = self.asked_at.max(Some(sighting.asked_at));
        self.heard_at = self.heard_at.max(Some(sighting.heard_at));
    }

    fn newest(&self) -> Option<Revision> {
        self.held.back().map(|(revision, _)| *revision)
    }

    /// Returns since when the process is known to hold at least this revision.
    fn since(&self, revision: Revision) -> Option<Instant> {
        self.held.iter().find(|(held, _)| *held >= revision).map(|(_, since)| *since)
    }

    fn held_at(&self, revision: Revision, at: Instant) -> bool {
        let since = self.since(revision).is_some_and(|it| it <= at);
        since && self.asked_at.is_some_and(|it| at <= it)
    }
}

impl fmt::Display for Lacking {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = match self.process {
            LackingProcess::Coordinator => "coordinator",
            LackingProcess::Gateway => "gateway",
        };
        write!(f, "the {process} of {}", self.vm)?;
        match (self.held, self.heard_ago) {
            (Some(held), Some(ago)) => {
                write!(f, " (at {held}, heard {} ms ago)", ago.as_millis())
            }
            _ => write!(f, " (not heard)"),
        }
    }
}
