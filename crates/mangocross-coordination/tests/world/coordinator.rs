//! A simulated coordinator: its steps around the pure decisions, with a possible pause between any
//! two.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::Completeness;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::TakeoverBackoff;
use mangocross_types::Configuration;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::HealthLease;
use mangocross_types::Revision;
use mangocross_types::VmId;

use super::DOMAIN;
use super::PROBE_TTL;
use super::STALL_LIMIT;
use super::id;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPurpose {
    Refresh,
    Takeover,
    Confirmation,
}

pub(crate) struct Coordinator {
    pub(crate) vm: VmId,
    pub(crate) process_id: u64,
    pub(crate) copy: Option<AssignmentCopy>,
    pub(crate) probes: ProbeTable,
    pub(crate) backoff: TakeoverBackoff,
    pub(crate) configuration: (u64, Configuration),
    pub(crate) is_preferred: bool,
    pub(crate) paused_until: Option<Instant>,
    /// Until when it waits for the store.
    pub(crate) busy_until: Option<Instant>,
    pub(crate) confirmation_failed: bool,
}

impl Coordinator {
    pub(crate) fn new(number: usize, configuration: (u64, Configuration)) -> Self {
        Self {
            vm: id(&format!("entry-{number}")),
            process_id: number as u64 + 1,
            copy: None,
            probes: ProbeTable::default(),
            backoff: TakeoverBackoff::new(Duration::from_secs(1)),
            configuration,
            is_preferred: number == 0,
            paused_until: None,
            busy_until: None,
            confirmation_failed: false,
        }
    }

    /// Restarts with empty state.
    pub(crate) fn restart(&mut self) {
        self.process_id += 1_000;
        self.copy = None;
        self.probes = ProbeTable::default();
        self.backoff = TakeoverBackoff::new(Duration::from_secs(1));
        self.busy_until = None;
    }

    pub(crate) fn update_copy(
        &mut self,
        assignment: DomainAssignment,
        revision: Revision,
        sent_at: Instant,
        now: Instant,
    ) {
        let read = AssignmentCopy::new(assignment, revision, sent_at, now);
        match &mut self.copy {
            Some(copy) => copy.update(read),
            None => self.copy = Some(read),
        }
    }

    /// Returns the health leases with which it would answer a poll, whether or not it owns the
    /// domain.
    pub(crate) fn health_leases(&self, now: Instant) -> Vec<HealthLease> {
        let Some(copy) = &self.copy else { return Vec::new() };
        let covered = copy.assignment.groups.iter();
        let covered =
            covered.filter(|it| matches!(it.phase, GroupPhase::Serving | GroupPhase::Draining));
        let health_leases = covered.map(|group| {
            let remaining = match self.probes.completeness(group, now, PROBE_TTL, STALL_LIMIT) {
                Completeness::Complete { until } => until.duration_since(now),
                Completeness::Incomplete(_) => Duration::ZERO,
            };
            HealthLease {
                group: group.group.clone(),
                domain: id(DOMAIN),
                incarnation: group.incarnation,
                fencing_number: copy.assignment.fencing_number,
                model: group.model.clone(),
                model_version: group.model_version.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                remaining_ms: remaining.as_millis() as u32,
                accepts_new: group.phase == GroupPhase::Serving,
                load: 0,
                load_age_ms: 0,
            }
        });
        health_leases.collect()
    }
}
