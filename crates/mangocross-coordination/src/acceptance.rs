//! When a revision of the configuration counts as accepted.
//!
//! A revision is accepted once no process can ever serve under an older one again. That is the case
//! if either of two conditions holds:
//!
//! 1. At some time a majority of the coordinators of its entry VMs knew it simultaneously, and the
//!    lease duration plus a clock margin has passed since. Every majority that a process polls
//!    after that time has a member that knows the revision, and the store returns it, so all
//!    freshness leases for older revisions have expired.
//! 2. At some time a majority of the coordinators knew it and every gateway had it in force,
//!    including the gateways of the previous revision. A gateway never goes back to an older
//!    revision, and one that restarts has to obtain a new freshness lease.
//!
//! The majority must be simultaneous because a coordinator loses its state when it restarts and
//! recovers it from the coordinators that still have it. A process is therefore known to have held
//! a revision only from the first report of it until the last poll that it answered, and only as
//! long as it has the same process id.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::CoordinatorEndpoint;
use crate::quorum::majority;

/// Revisions kept for each process.
const HISTORY_MAX: usize = 64;
/// The clock margin, for clocks that run at different rates, is the lease duration divided by this.
const CLOCK_MARGIN_DIVISOR: u32 = 10;

/// A report of the newest revision that a coordinator knew of, or that a gateway had in force.
///
/// Below, the process is said to *hold* that revision.
#[derive(Debug, Clone, Copy)]
pub struct RevisionObservation {
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Newest revision that the coordinator knew of, or the one that the gateway had in force.
    pub revision: Revision,
    /// When the process was polled, or another time before it sent the report; it held the revision
    /// at some time after that.
    pub sent_at: Instant,
    /// When its report arrived; it held the revision at some time before that.
    pub received_at: Instant,
}

/// A revision whose acceptance is to be checked.
#[derive(Debug, Clone, Copy)]
pub struct AcceptanceCandidate<'a> {
    /// Revision to check.
    pub revision: Revision,
    /// Entry VMs that it lists.
    pub entry_vms: &'a [EntryVmSpec],
    /// Entry VMs of the previous revision, if that one is known to be accepted.
    pub previous_entry_vms: Option<&'a [EntryVmSpec]>,
}

/// A kind of process on an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessKind {
    /// Grants freshness leases and owns fabric domains.
    Coordinator,
    /// Serves requests while it holds freshness leases.
    Gateway,
}

/// A process that is not known to have the checked revision or a newer one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedProcess {
    /// Entry VM that it runs on.
    pub vm: VmId,
    /// Whether it is the coordinator or the gateway of that entry VM.
    pub process: ProcessKind,
    /// Newest revision that it reported, if any.
    pub held: Option<Revision>,
    /// Age of its last report.
    pub report_age: Option<Duration>,
}

/// Whether a revision is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// No process can serve under an older revision.
    Accepted {
        /// Processes that are not known to hold it; they serve nothing until they do.
        outdated: Vec<OutdatedProcess>,
    },
    /// A process may still serve under an older revision.
    Pending {
        /// When it will be accepted if no process restarts; `None` without a majority.
        accepted_at: Option<Instant>,
        /// Processes that are not known to hold it.
        outdated: Vec<OutdatedProcess>,
    },
}

impl Acceptance {
    /// Returns whether the revision is accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

/// Tracks which process held which revision at which times.
#[derive(Debug, Clone)]
pub struct AcceptanceTracker {
    /// Lease duration plus the clock margin.
    lease_expiry_wait: Duration,
    /// Newest accepted revision; acceptance is never withdrawn.
    accepted: Revision,
    own: RevisionHistory,
    coordinators: HashMap<CoordinatorEndpoint, RevisionHistory>,
    gateways: HashMap<VmId, RevisionHistory>,
}

#[derive(Debug, Clone, Default)]
struct RevisionHistory {
    process_id: u64,
    /// Revisions with the time since which each has been held, oldest first.
    held: VecDeque<(Revision, Instant)>,
    sent_at: Option<Instant>,
    received_at: Option<Instant>,
}

impl AcceptanceTracker {
    /// Returns a tracker for processes whose freshness leases are valid for `lease_duration`.
    pub fn new(lease_duration: Duration) -> Self {
        Self {
            lease_expiry_wait: lease_duration + lease_duration / CLOCK_MARGIN_DIVISOR,
            accepted: Revision(0),
            own: RevisionHistory::default(),
            coordinators: HashMap::new(),
            gateways: HashMap::new(),
        }
    }

    /// Records the newest revision known to this process.
    pub fn record_own(&mut self, revision: Revision, now: Instant) {
        self.own.record(&RevisionObservation {
            process_id: 0,
            revision,
            sent_at: now,
            received_at: now,
        });
    }

    /// Records the revision known to a coordinator; one that is not established is ignored.
    pub fn record_coordinator(
        &mut self,
        coordinator: CoordinatorEndpoint,
        established: bool,
        observation: &RevisionObservation,
    ) {
        if established {
            self.coordinators.entry(coordinator).or_default().record(observation);
        } else {
            self.coordinators.remove(&coordinator);
        }
    }

    /// Records the revision that a gateway has in force.
    pub fn record_gateway(&mut self, vm: VmId, observation: &RevisionObservation) {
        self.gateways.entry(vm).or_default().record(observation);
    }

    /// Returns the acceptance of a revision, and remembers it once accepted.
    pub fn update_acceptance(
        &mut self,
        candidate: &AcceptanceCandidate<'_>,
        now: Instant,
    ) -> Acceptance {
        let outdated = self.outdated(candidate, now);
        let known_at = if candidate.entry_vms.is_empty() {
            // Without entry VMs only the store grants freshness leases.
            self.own.since(candidate.revision)
        } else {
            self.known_by_majority_at(candidate)
        };
        let accepted_at = known_at.map(|it| it + self.lease_expiry_wait);
        if accepted_at.is_some_and(|it| it <= now) || self.in_force_everywhere(candidate) {
            self.accepted = self.accepted.max(candidate.revision);
        }
        if candidate.revision <= self.accepted {
            Acceptance::Accepted { outdated }
        } else {
            Acceptance::Pending { accepted_at, outdated }
        }
    }

    /// Returns the first time at which a majority of coordinators knew the revision.
    fn known_by_majority_at(&self, candidate: &AcceptanceCandidate<'_>) -> Option<Instant> {
        let histories = self.coordinators_of(candidate);
        let moments = histories.iter().filter_map(|it| it.since(candidate.revision));
        let by_majority = |at: &Instant| {
            let holding = histories.iter().filter(|it| it.held_at(candidate.revision, *at));
            holding.count() >= majority(candidate.entry_vms.len())
        };
        moments.filter(by_majority).min()
    }

    /// Returns whether a majority of coordinators and all gateways held the revision at one time.
    fn in_force_everywhere(&self, candidate: &AcceptanceCandidate<'_>) -> bool {
        let Some(base) = candidate.previous_entry_vms else { return false };
        if candidate.entry_vms.is_empty() {
            return false;
        }
        let coordinators = self.coordinators_of(candidate);
        let vms = candidate.entry_vms.iter().chain(base);
        let gateways: Option<Vec<&RevisionHistory>> =
            vms.map(|it| self.gateways.get(&it.vm)).collect();
        let Some(gateways) = gateways else { return false };
        let histories = coordinators.iter().chain(&gateways);
        let mut moments = histories.filter_map(|it| it.since(candidate.revision));
        moments.any(|at| {
            let informed = coordinators.iter().filter(|it| it.held_at(candidate.revision, at));
            informed.count() >= majority(candidate.entry_vms.len())
                && gateways.iter().all(|it| it.held_at(candidate.revision, at))
        })
    }

    fn coordinators_of(&self, candidate: &AcceptanceCandidate<'_>) -> Vec<&RevisionHistory> {
        let coordinators = candidate.entry_vms.iter().map(CoordinatorEndpoint::from);
        coordinators.filter_map(|it| self.coordinators.get(&it)).collect()
    }

    fn outdated(&self, candidate: &AcceptanceCandidate<'_>, now: Instant) -> Vec<OutdatedProcess> {
        let mut outdated = Vec::new();
        for spec in candidate.entry_vms {
            let coordinator = self.coordinators.get(&CoordinatorEndpoint::from(spec));
            let gateway = self.gateways.get(&spec.vm);
            for (process, history) in
                [(ProcessKind::Coordinator, coordinator), (ProcessKind::Gateway, gateway)]
            {
                let held = history.and_then(RevisionHistory::newest);
                if held.is_none_or(|it| it < candidate.revision) {
                    let received_at = history.and_then(|it| it.received_at);
                    let report_age = received_at.map(|it| now.duration_since(it));
                    outdated.push(OutdatedProcess {
                        vm: spec.vm.clone(),
                        process,
                        held,
                        report_age,
                    });
                }
            }
        }
        outdated
    }
}

impl RevisionHistory {
    fn record(&mut self, observation: &RevisionObservation) {
        if self.process_id != observation.process_id {
            *self = Self { process_id: observation.process_id, ..Self::default() };
        }
        if self.newest().is_none_or(|it| it < observation.revision) {
            self.held.push_back((observation.revision, observation.received_at));
            if self.held.len() > HISTORY_MAX {
                self.held.pop_front();
            }
        }
        self.sent_at = self.sent_at.max(Some(observation.sent_at));
        self.received_at = self.received_at.max(Some(observation.received_at));
    }

    fn newest(&self) -> Option<Revision> {
        self.held.back().map(|(revision, _)| *revision)
    }

    /// Returns the time since which the process is known to hold this revision or a newer one.
    fn since(&self, revision: Revision) -> Option<Instant> {
        self.held.iter().find(|(held, _)| *held >= revision).map(|(_, since)| *since)
    }

    fn held_at(&self, revision: Revision, at: Instant) -> bool {
        let since = self.since(revision).is_some_and(|it| it <= at);
        since && self.sent_at.is_some_and(|it| at <= it)
    }
}

impl fmt::Display for OutdatedProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = match self.process {
            ProcessKind::Coordinator => "coordinator",
            ProcessKind::Gateway => "gateway",
        };
        write!(f, "the {process} of {}", self.vm)?;
        match (self.held, self.report_age) {
            (Some(held), Some(ago)) => {
                write!(f, " (at {held}, reported {} ms ago)", ago.as_millis())
            }
            _ => write!(f, " (no report)"),
        }
    }
}
