//! Whether every member of a group answers its probes and reports the expected state.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::BackendReport;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::GroupAssignment;
use mangocross_types::Rank;
use mangocross_types::VmId;
use snafu::Snafu;

/// Failed probes in a row before a VM may count as lost.
const LOST_FAILURES_MIN: u32 = 3;

/// Probe answers kept per engine that is draining; they must span the lag of load reports.
const DRAINING_ANSWERS_MAX: usize = 128;

/// Why a member counts as missing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MissingReason {
    /// The member has never answered a probe.
    #[snafu(display("has not answered a probe yet"))]
    NeverAnswered,
    /// The newest probe failed.
    #[snafu(display("failed its newest probe: {message}"))]
    ProbeFailed {
        /// The error of the probe.
        message: String,
    },
    /// The newest answer to a probe is too old.
    #[snafu(display("answered its last probe {age_ms} ms ago"))]
    AnswerTooOld {
        /// Age of the answer in milliseconds.
        age_ms: u128,
    },
    /// The member reports another group, incarnation, rank or model version.
    #[snafu(display("reports {reported}, not {expected}"))]
    OtherMembership {
        /// Membership or model version that the member reports.
        reported: String,
        /// Membership or model version in the assignment.
        expected: String,
    },
    /// The member is not ready.
    #[snafu(display("is {state:?}"))]
    NotReady {
        /// The state that the member reports.
        state: EngineState,
    },
    /// The member has running requests and makes no progress.
    #[snafu(display("has made no progress for {stalled_ms} ms while it has work"))]
    Straggler {
        /// Time without progress in milliseconds.
        stalled_ms: u128,
    },
}

/// A member that counts as missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingMember {
    /// VM of the member.
    pub vm: VmId,
    /// Why it counts as missing.
    pub reason: MissingReason,
}

/// Whether a group is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completeness {
    /// Every member answered and is ready.
    Complete {
        /// When the oldest of the answers expires.
        until: Instant,
    },
    /// At least one member is missing.
    Incomplete(Vec<MissingMember>),
}

/// The results of the newest probes of each VM.
#[derive(Debug, Clone, Default)]
pub struct ProbeTable {
    by_vm: HashMap<VmId, VmProbes>,
}

#[derive(Debug, Clone, Default)]
struct VmProbes {
    answer: Option<ProbeAnswer>,
    failures: Option<FailedProbes>,
}

#[derive(Debug, Clone)]
struct ProbeAnswer {
    sent_at: Instant,
    report: BackendReport,
    /// When `report.steps` last increased or the member last had no running requests.
    progressed_at: Instant,
    /// The newest consecutive answers that report the role draining, oldest first.
    draining: VecDeque<DrainingAnswer>,
}

/// An answer that reported the role draining.
#[derive(Debug, Clone, Copy)]
struct DrainingAnswer {
    sent_at: Instant,
    answered_at: Instant,
}

/// The failed probes since the last answered one.
#[derive(Debug, Clone)]
struct FailedProbes {
    first_sent_at: Instant,
    newest_sent_at: Instant,
    count: u32,
    message: String,
}

impl ProbeTable {
    /// Records the answer, received at `answered_at`, to a probe that was sent at `sent_at`.
    ///
    /// It is ignored if a newer probe was already answered or failed.
    pub fn record_answer(
        &mut self,
        vm: &VmId,
        sent_at: Instant,
        answered_at: Instant,
        report: BackendReport,
    ) {
        let probes = self.by_vm.entry(vm.clone()).or_default();
        if probes.newest_result_sent_at().is_some_and(|it| it > sent_at) {
            return;
        }
        let last = probes.answer.as_ref();
        let progressed_at = match last {
            Some(it) if report.running > 0 && report.steps == it.report.steps => it.progressed_at,
            _ => sent_at,
        };
        let mut draining = VecDeque::new();
        if report.role == EngineRole::Draining {
            let before = last.filter(|it| is_same_membership(&it.report, &report));
            draining = before.map(|it| it.draining.clone()).unwrap_or_default();
            draining.drain(..draining.len().saturating_sub(DRAINING_ANSWERS_MAX - 1));
            draining.push_back(DrainingAnswer { sent_at, answered_at });
        }
        probes.answer = Some(ProbeAnswer { sent_at, report, progressed_at, draining });
        probes.failures = None;
    }

    /// Records the failure of a probe that was sent at `sent_at`.
    ///
    /// It is ignored if a newer probe was already answered or failed.
    pub fn record_failure(&mut self, vm: &VmId, sent_at: Instant, message: String) {
        let probes = self.by_vm.entry(vm.clone()).or_default();
        if probes.newest_result_sent_at().is_some_and(|it| it > sent_at) {
            return;
        }
        let (first_sent_at, count) = match &probes.failures {
            Some(it) => (it.first_sent_at, it.count.saturating_add(1)),
            None => (sent_at, 1),
        };
        let newest_sent_at = sent_at;
        probes.failures = Some(FailedProbes { first_sent_at, newest_sent_at, count, message });
    }

    /// Returns a table with the probes of the given VMs only.
    pub fn for_vms<'a>(&self, vms: impl IntoIterator<Item = &'a VmId>) -> Self {
        let found = vms.into_iter().filter_map(|vm| self.by_vm.get_key_value(vm));
        Self { by_vm: found.map(|(vm, it)| (vm.clone(), it.clone())).collect() }
    }

    /// Removes a VM because its probing restarts.
    pub fn remove(&mut self, vm: &VmId) {
        self.by_vm.remove(vm);
    }

    /// Returns whether a VM failed several probes in a row, sent over `lost_after` or longer.
    ///
    /// The time since the last answer does not count, since a coordinator that was paused sent no
    /// probes in the meantime.
    pub fn is_lost(&self, vm: &VmId, lost_after: Duration) -> bool {
        let failures = self.by_vm.get(vm).and_then(|it| it.failures.as_ref());
        failures.is_some_and(|it| {
            let span = it.newest_sent_at.saturating_duration_since(it.first_sent_at);
            it.count >= LOST_FAILURES_MIN && span >= lost_after
        })
    }

    /// Returns when the first of a VM's current run of failed probes was sent.
    pub fn failing_since(&self, vm: &VmId) -> Option<Instant> {
        self.by_vm.get(vm)?.failures.as_ref().map(|it| it.first_sent_at)
    }

    /// Returns whether a group's member refuses new requests and has none left.
    ///
    /// `prior_orders_expired_at` is when all older orders to serve have expired. Once the member
    /// answers a later probe with the role draining, it accepts no new requests. Load reports lag,
    /// so the load must have been measured after that answer.
    pub fn is_drained(
        &self,
        vm: &VmId,
        group: &GroupAssignment,
        prior_orders_expired_at: Instant,
    ) -> bool {
        let Some(answer) = self.by_vm.get(vm).and_then(|it| it.answer.as_ref()) else {
            return false;
        };
        let report = &answer.report;
        let measured_at = answer.sent_at.checked_sub(Duration::from_millis(report.load_age_ms));
        let drains = answer.draining.iter().find(|it| it.sent_at >= prior_orders_expired_at);
        let after_drain = match (measured_at, drains) {
            (Some(measured_at), Some(drains)) => measured_at >= drains.answered_at,
            _ => false,
        };
        let idle = report.running == 0 && report.queued == 0;
        after_drain && idle && is_member(report, group)
    }

    /// Returns a VM's newest report unless its newest probe failed or the report is older than
    /// `ttl`.
    pub fn report(&self, vm: &VmId, now: Instant, ttl: Duration) -> Option<&BackendReport> {
        let probes = self.by_vm.get(vm)?;
        let answer = probes.answer.as_ref()?;
        let fresh = now.duration_since(answer.sent_at) < ttl;
        (probes.failures.is_none() && fresh).then_some(&answer.report)
    }

    /// Returns the newest report of a VM with the time at which its probe was sent.
    pub fn newest_answer(&self, vm: &VmId) -> Option<(Instant, &BackendReport)> {
        let answer = self.by_vm.get(vm)?.answer.as_ref()?;
        Some((answer.sent_at, &answer.report))
    }

    /// Returns which members of a group are missing, if any.
    ///
    /// `ttl` is how long an answer is valid from the time at which its probe was sent.
    /// `stall_limit` is how long a member with running requests may make no progress.
    pub fn completeness(
        &self,
        group: &GroupAssignment,
        now: Instant,
        ttl: Duration,
        stall_limit: Duration,
    ) -> Completeness {
        let mut oldest: Option<Instant> = None;
        let mut missing = Vec::new();
        for (rank, vm) in (0..).map(Rank).zip(&group.members) {
            match self.check_member(group, rank, vm, now, ttl, stall_limit) {
                Ok(sent_at) => oldest = Some(oldest.map_or(sent_at, |it| it.min(sent_at))),
                Err(reason) => missing.push(MissingMember { vm: vm.clone(), reason }),
            }
        }
        match oldest {
            Some(sent_at) if missing.is_empty() => Completeness::Complete { until: sent_at + ttl },
            _ => Completeness::Incomplete(missing),
        }
    }

    fn check_member(
        &self,
        group: &GroupAssignment,
        rank: Rank,
        vm: &VmId,
        now: Instant,
        ttl: Duration,
        stall_limit: Duration,
    ) -> Result<Instant, MissingReason> {
        let probes = self.by_vm.get(vm).ok_or(MissingReason::NeverAnswered)?;
        if let Some(failures) = &probes.failures {
            return Err(MissingReason::ProbeFailed { message: failures.message.clone() });
        }
        let answer = probes.answer.as_ref().ok_or(MissingReason::NeverAnswered)?;
        let age = now.duration_since(answer.sent_at);
        if age >= ttl {
            return Err(MissingReason::AnswerTooOld { age_ms: age.as_millis() });
        }
        check_report(group, rank, vm, &answer.report)?;
        let stalled = now.duration_since(answer.progressed_at);
        if stalled >= stall_limit && answer.report.running > 0 {
            return Err(MissingReason::Straggler { stalled_ms: stalled.as_millis() });
        }
        Ok(answer.sent_at)
    }
}

impl VmProbes {
    /// Returns when the newest probe with a result was sent.
    fn newest_result_sent_at(&self) -> Option<Instant> {
        let answered = self.answer.as_ref().map(|it| it.sent_at);
        answered.max(self.failures.as_ref().map(|it| it.newest_sent_at))
    }
}

/// Returns whether an engine reports that it is in this incarnation of a group.
pub(crate) fn is_member(report: &BackendReport, group: &GroupAssignment) -> bool {
    report.group.as_ref() == Some(&group.group) && report.incarnation == group.incarnation
}

fn is_same_membership(one: &BackendReport, other: &BackendReport) -> bool {
    one.group == other.group && one.incarnation == other.incarnation && one.rank == other.rank
}

fn check_report(
    group: &GroupAssignment,
    rank: Rank,
    vm: &VmId,
    report: &BackendReport,
) -> Result<(), MissingReason> {
    let same = report.vm == *vm
        && report.group.as_ref() == Some(&group.group)
        && report.incarnation == group.incarnation
        && report.rank == rank;
    if !same {
        let expected =
            format!("{vm} group {} incarnation {} rank {rank}", group.group, group.incarnation);
        return Err(MissingReason::OtherMembership { reported: membership(report), expected });
    }
    if report.state != EngineState::Ready {
        return Err(MissingReason::NotReady { state: report.state });
    }
    if report.model_version.as_ref() != Some(&group.model_version) {
        let reported = format!("model version {:?}", report.model_version);
        let expected = format!("model version {}", group.model_version);
        return Err(MissingReason::OtherMembership { reported, expected });
    }
    Ok(())
}

fn membership(report: &BackendReport) -> String {
    match &report.group {
        None => format!("{} in no group", report.vm),
        Some(group) => {
            format!(
                "{} group {group} incarnation {} rank {}",
                report.vm, report.incarnation, report.rank
            )
        }
    }
}
