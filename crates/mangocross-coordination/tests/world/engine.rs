//! A simulated model engine that executes orders, and a record of when it was in which group.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::BackendReport;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::OrderKind;
use mangocross_types::Rank;
use mangocross_types::VmId;

use super::Order;

pub(crate) struct Engine {
    pub(crate) report: BackendReport,
    /// Increases whenever the engine leaves a group.
    pub(crate) membership: u64,
    pub(crate) frozen_until: Option<Instant>,
    pub(crate) has_failed: bool,
    pub(crate) leaving: bool,
    loads: Vec<(Instant, u32)>,
    /// Each ready membership with its start and, once over, its end.
    ready: Vec<(BackendReport, Instant, Option<Instant>)>,
}

/// Effect of an order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    None,
    Loading,
    /// The order aborted this many requests of this incarnation.
    Aborted(u32, Incarnation),
}

impl Engine {
    pub(crate) fn new(vm: VmId) -> Self {
        let report = BackendReport {
            vm,
            state: EngineState::Idle,
            group: None,
            incarnation: Incarnation(0),
            rank: Rank(0),
            role: EngineRole::Serving,
            model_version: None,
            cached_versions: Vec::new(),
            running: 0,
            queued: 0,
            load_age_ms: 0,
            steps: 0,
            fencing_number: FencingNumber(0),
        };
        Self {
            report,
            membership: 0,
            frozen_until: None,
            has_failed: false,
            leaving: false,
            loads: Vec::new(),
            ready: Vec::new(),
        }
    }

    /// Returns a report with load figures that are `lag` old.
    pub(crate) fn report(&self, now: Instant, lag: Duration) -> BackendReport {
        let shown = self.loads.iter().rev().find(|(at, _)| *at + lag <= now);
        let mut report = self.report.clone();
        report.running = shown.map_or(0, |(_, running)| *running);
        report.load_age_ms = lag.as_millis() as u64;
        report
    }

    pub(crate) fn change_running(&mut self, by: i32, now: Instant) {
        self.report.running = self.report.running.saturating_add_signed(by);
        self.report.steps += 1;
        self.loads.push((now, self.report.running));
    }

    /// Restarts with empty state.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.has_failed = true;
        self.leave_group(now);
        self.report.fencing_number = FencingNumber(0);
        self.report.cached_versions.clear();
    }

    pub(crate) fn execute(&mut self, order: &Order, now: Instant) -> Effect {
        self.report.fencing_number = self.report.fencing_number.max(order.fencing_number);
        match &order.kind {
            OrderKind::Load { group, incarnation, rank, .. } => {
                if self.is_in(group, *incarnation) {
                    return Effect::None;
                }
                let aborted = self.leave_group(now);
                self.report.group = Some(group.clone());
                self.report.incarnation = *incarnation;
                self.report.rank = *rank;
                self.report.state = EngineState::Loading;
                if aborted == Effect::None { Effect::Loading } else { aborted }
            }
            OrderKind::Preload { .. } => {
                let is_idle = self.report.group.is_none() && self.report.cached_versions.is_empty();
                if is_idle {
                    self.report.state = EngineState::Preloading;
                }
                Effect::None
            }
            OrderKind::CancelPreload => {
                if self.report.state == EngineState::Preloading {
                    self.report.state = EngineState::Idle;
                }
                Effect::None
            }
            OrderKind::ChangeRole { group, incarnation, role } => {
                if self.is_in(group, *incarnation) {
                    self.report.role = *role;
                }
                Effect::None
            }
            OrderKind::Unload { group, incarnation } if self.is_in(group, *incarnation) => {
                self.leave_group(now)
            }
            OrderKind::Unload { .. } => Effect::None,
        }
    }

    /// Completes a preload, unless another order has replaced it.
    pub(crate) fn finish_preload(&mut self, version: ModelVersion) {
        if self.report.state == EngineState::Preloading {
            self.report.state = EngineState::Idle;
            self.report.cached_versions.push(version);
        }
    }

    pub(crate) fn become_ready(&mut self, version: ModelVersion, now: Instant) {
        self.report.state = EngineState::Ready;
        self.report.model_version = Some(version);
        self.ready.push((self.report.clone(), now, None));
    }

    pub(crate) fn is_in(&self, group: &GroupId, incarnation: Incarnation) -> bool {
        self.report.group.as_ref() == Some(group) && self.report.incarnation == incarnation
    }

    /// Returns whether it was ready with this rank in this incarnation at any time in a period.
    pub(crate) fn was_ready(
        &self,
        (group, incarnation, rank): (&GroupId, Incarnation, Rank),
        from: Instant,
        to: Instant,
    ) -> bool {
        self.ready.iter().any(|(it, since, until)| {
            it.group.as_ref() == Some(group)
                && it.incarnation == incarnation
                && it.rank == rank
                && *since <= to
                && until.is_none_or(|until| until >= from)
        })
    }

    fn leave_group(&mut self, now: Instant) -> Effect {
        let aborted = Effect::Aborted(self.report.running, self.report.incarnation);
        let was_working = self.report.running > 0;
        if let Some((_, _, until)) = self.ready.last_mut() {
            until.get_or_insert(now);
        }
        self.membership += 1;
        self.report.group = None;
        self.report.state = EngineState::Idle;
        self.report.role = EngineRole::Serving;
        self.report.model_version = None;
        self.report.running = 0;
        self.loads.push((now, 0));
        if was_working { aborted } else { Effect::None }
    }
}
