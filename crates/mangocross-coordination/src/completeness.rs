//! Whether every member of a group answers and reports what is expected.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::BackendReport;
use mangocross_types::EngineState;
use mangocross_types::GroupAssignment;
use mangocross_types::Rank;
use mangocross_types::VmId;
use snafu::Snafu;

/// Why a member counts as missing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MissingReason {
    /// The member was never probed with success.
    #[snafu(display("has not answered a probe yet"))]
    NeverAnswered,
    /// The newest probe failed.
    #[snafu(display("failed its newest probe: {message}"))]
    ProbeFailed {
        /// What the probe saw.
        message: String,
    },
    /// The newest answer is too old.
    #[snafu(display("answered its last probe {age_ms} ms ago"))]
    AnswerTooOld {
        /// Age of the answer in milliseconds.
        age_ms: u128,
    },
    /// The member reports another group, incarnation, rank or model version.
    #[snafu(display("reports {reported}, not {expected}"))]
    OtherMembership {
        /// What the member reports.
        reported: String,
        /// What is expected.
        expected: String,
    },
    /// The member is not ready.
    #[snafu(display("is {state:?}"))]
    NotReady {
        /// What the member is doing.
        state: EngineState,
    },
    /// The member has work and makes no progress.
    #[snafu(display("has made no progress for {stalled_ms} ms while it has work"))]
    Straggler {
        /// Time without progress in milliseconds.
        stalled_ms: u128,
    },
}

/// A member that counts as missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingMember {
    /// The VM.
    pub vm: VmId,
    /// Why.
    pub reason: MissingReason,
}

/// Whether a group is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completeness {
    /// Every member answered; the proof expires at this time.
    Complete {
        /// When the proof expires.
        until: Instant,
    },
    /// At least one member is missing.
    Incomplete(Vec<MissingMember>),
}

/// The newest probe of each VM.
#[derive(Debug, Clone, Default)]
pub struct ProbeTable {
    by_vm: HashMap<VmId, Probed>,
}

#[derive(Debug, Clone, Default)]
struct Probed {
    answer: Option<Answer>,
    failure: Option<String>,
}

#[derive(Debug, Clone)]
struct Answer {
    asked_at: Instant,
    report: BackendReport,
    /// When `report.steps` last rose, or the member last had no work.
    progressed_at: Instant,
}

impl ProbeTable {
    /// Records an answer to a probe that was sent at `asked_at`.
    ///
    /// An answer to a probe older than one already answered is ignored.
    pub fn record_answer(&mut self, vm: &VmId, asked_at: Instant, report: BackendReport) {
        let probed = self.by_vm.entry(vm.clone()).or_default();
        let progressed_at = match &probed.answer {
            Some(last) if last.asked_at > asked_at => return,
            Some(last) if report.running > 0 && report.steps == last.report.steps => {
                last.progressed_at
            }
            _ => asked_at,
        };
        probed.answer = Some(Answer { asked_at, report, progressed_at });
        probed.failure = None;
    }

    /// Records that the newest probe failed.
    pub fn record_failure(&mut self, vm: &VmId, message: String) {
        self.by_vm.entry(vm.clone()).or_default().failure = Some(message);
    }

    /// Returns a VM's newest report unless its newest probe failed or it is older than `ttl`.
    pub fn report(&self, vm: &VmId, now: Instant, ttl: Duration) -> Option<&BackendReport> {
        let probed = self.by_vm.get(vm)?;
        let answer = probed.answer.as_ref()?;
        let fresh = now.duration_since(answer.asked_at) < ttl;
        (probed.failure.is_none() && fresh).then_some(&answer.report)
    }

    /// Returns when the newest answered probe of a VM was sent, with its report.
    pub fn newest(&self, vm: &VmId) -> Option<(Instant, &BackendReport)> {
        let answer = self.by_vm.get(vm)?.answer.as_ref()?;
        Some((answer.asked_at, &answer.report))
    }

    /// Decides whether a group is complete.
    ///
    /// `ttl` is how long an answer counts from the moment its probe was sent;
    /// `stall_limit` is how long a member with work may make no progress.
    pub fn check(
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
                Ok(asked_at) => oldest = Some(oldest.map_or(asked_at, |it| it.min(asked_at))),
                Err(reason) => missing.push(MissingMember { vm: vm.clone(), reason }),
            }
        }
        match oldest {
            Some(asked_at) if missing.is_empty() => {
                Completeness::Complete { until: asked_at + ttl }
            }
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
        let probed = self.by_vm.get(vm).ok_or(MissingReason::NeverAnswered)?;
        if let Some(message) = &probed.failure {
            return Err(MissingReason::ProbeFailed { message: message.clone() });
        }
        let answer = probed.answer.as_ref().ok_or(MissingReason::NeverAnswered)?;
        let age = now.duration_since(answer.asked_at);
        if age >= ttl {
            return Err(MissingReason::AnswerTooOld { age_ms: age.as_millis() });
        }
        check_report(group, rank, vm, &answer.report)?;
        let stalled = now.duration_since(answer.progressed_at);
        if stalled >= stall_limit && answer.report.running > 0 {
            return Err(MissingReason::Straggler { stalled_ms: stalled.as_millis() });
        }
        Ok(answer.asked_at)
    }
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
