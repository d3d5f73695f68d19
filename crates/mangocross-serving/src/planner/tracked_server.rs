//! What the planner knows of a backend server.

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::VmId;

use super::GroupPlanner;
use super::preparing::StageOrder;
use super::server_health::ServerHealth;
use crate::BackendServer;
use crate::EngineOrder;
use crate::EngineReport;
use crate::MemberPhase;
use crate::Membership;
use crate::Moment;
use crate::ProcessReport;
use crate::ServerReports;

/// State that the planner keeps for a server.
#[derive(Debug)]
pub(super) struct TrackedServer {
    pub(super) server: BackendServer,
    /// When the platform stopped listing the server.
    pub(super) unlisted_at: Option<Moment>,
    /// When the server was first listed as leaving.
    pub(super) leaving_at: Option<Moment>,
    /// Orders that the server process has accepted; unknown until a probe is answered.
    pub(super) orders_accepted: Option<u64>,
    pub(super) health: ServerHealth,
    /// The latest order to the server process to stage a model.
    pub(super) staging: Option<StageOrder>,
    /// The last answer to a probe, with the accepted orders since.
    pub(super) answer: Option<ProcessAnswer>,
}

/// The part of an answer that shows where a server process is.
#[derive(Debug)]
pub(super) struct ProcessAnswer {
    pub(super) born_unix_ms: u64,
    pub(super) membership: Option<Membership>,
}

impl TrackedServer {
    pub(super) fn new(server: &BackendServer, now: Moment) -> Self {
        Self {
            server: server.clone(),
            unlisted_at: None,
            leaving_at: server.is_leaving.then_some(now),
            orders_accepted: None,
            health: ServerHealth::default(),
            staging: None,
            answer: None,
        }
    }

    /// Records the entry that the platform lists.
    pub(super) fn record_entry(&mut self, server: &BackendServer, now: Moment) {
        self.unlisted_at = None;
        if server.is_leaving {
            self.leaving_at = self.leaving_at.or(Some(now));
        }
        let born_unix_ms = server.engine.born_unix_ms;
        if self.server.engine.born_unix_ms != born_unix_ms {
            self.health = ServerHealth::default();
            self.orders_accepted = None;
            self.staging = None;
            self.leaving_at = server.is_leaving.then_some(now);
            self.answer.take_if(|it| it.born_unix_ms < born_unix_ms);
        }
        if self.server != *server {
            self.server = server.clone();
        }
    }

    /// Returns whether a report was made before the server accepted the last order.
    fn is_older_than_last_order(&self, report: &EngineReport) -> bool {
        let is_same_process =
            self.answer.as_ref().is_some_and(|it| it.born_unix_ms == report.status.born_unix_ms);
        is_same_process && self.orders_accepted.is_some_and(|it| report.orders_accepted < it)
    }

    /// Applies an order that the server has begun to its last answer.
    pub(super) fn record_begun(&mut self, order: &EngineOrder) {
        let Some(answer) = &mut self.answer else { return };
        let phase = match order {
            EngineOrder::Join { group, incarnation, members, .. } => {
                let rank = members.iter().position(|it| *it == self.server.vm);
                let rank = rank.and_then(|it| u16::try_from(it).ok()).map_or(Rank(0), Rank);
                let (group, incarnation) = (group.clone(), *incarnation);
                let phase = MemberPhase::Joining;
                answer.membership = Some(Membership { group, incarnation, rank, phase });
                return;
            }
            EngineOrder::Leave { .. } => {
                answer.membership = None;
                return;
            }
            EngineOrder::Open { .. } => MemberPhase::Open,
            EngineOrder::Close { .. } => MemberPhase::Closing,
            EngineOrder::Stage { .. } => return,
        };
        if let Some(membership) = &mut answer.membership {
            membership.phase = phase;
        }
    }

    /// Returns whether the entry or the last answer of the server has it in an incarnation of a group.
    pub(super) fn reports_incarnation(&self, group: &GroupId, incarnation: Incarnation) -> bool {
        self.memberships().any(|(_, it)| it.group == *group && it.incarnation == incarnation)
    }

    /// Returns the memberships that the entry and the last answer of the server report, with the start
    /// time of the process.
    pub(super) fn memberships(&self) -> impl Iterator<Item = (u64, &Membership)> {
        let ServerReports { entry, answer } = self.reports();
        let reports = [entry, answer].into_iter().flatten();
        reports.filter_map(|it| Some((it.born_unix_ms, it.membership?)))
    }

    /// Returns the reports of the server that decide where it is.
    pub(super) fn reports(&self) -> ServerReports<'_> {
        let engine = &self.server.engine;
        let entry = ProcessReport {
            born_unix_ms: engine.born_unix_ms,
            membership: engine.membership.as_ref(),
        };
        let answer = self.answer.as_ref().map(|it| ProcessReport {
            born_unix_ms: it.born_unix_ms,
            membership: it.membership.as_ref(),
        });
        let is_latest = |it: &ProcessReport<'_>| {
            answer.is_none_or(|answer| it.born_unix_ms >= answer.born_unix_ms)
        };
        ServerReports { entry: Some(entry).filter(is_latest), answer }
    }
}

impl GroupPlanner {
    /// Records a server's response to a probe.
    pub fn record_probe_answer(&mut self, vm: &VmId, report: EngineReport) {
        let Some(tracked) = self.servers.get_mut(vm) else { return };
        tracked.health.record_answer(report.slowdown);
        if tracked.is_older_than_last_order(&report) {
            return;
        }
        tracked.orders_accepted = Some(report.orders_accepted);
        let status = report.status;
        let membership = status.membership.clone();
        tracked.answer = Some(ProcessAnswer { born_unix_ms: status.born_unix_ms, membership });
        if status.born_unix_ms != tracked.server.engine.born_unix_ms {
            let domain = tracked.server.engine.domain.clone();
            tracked.server.engine = status;
            tracked.leaving_at = None;
            tracked.server.engine.domain = tracked.server.engine.domain.take().or(domain);
        } else if tracked.unlisted_at.is_some() {
            tracked.server.engine.membership = status.membership;
        }
    }
}
