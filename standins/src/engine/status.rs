//! State of an engine, including its group membership.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::AttemptId;
use mangocross_types::CommandId;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelVersion;
use mangocross_types::Rank;

/// State of an engine, including its group membership.
pub(super) struct EngineStatus {
    pub(super) state: EngineState,
    pub(super) group: Option<GroupId>,
    pub(super) incarnation: Incarnation,
    pub(super) rank: Rank,
    pub(super) role: EngineRole,
    pub(super) model_version: Option<ModelVersion>,
    pub(super) cached_versions: Vec<ModelVersion>,
    pub(super) running: u32,
    pub(super) steps: u64,
    pub(super) fencing_number: FencingNumber,
    pub(super) executed_orders: HashSet<CommandId>,
    pub(super) cancelled: HashSet<AttemptId>,
    /// Recent values of `running` with their times, oldest first.
    pub(super) running_history: Vec<(Instant, u32)>,
    /// Incremented at each change of membership, which ends the work of the previous one.
    pub(super) membership_number: u64,
    /// The fetch of weights in progress, if any.
    pub(super) fetch: Option<WeightFetch>,
    /// Number of the latest fetch.
    pub(super) last_fetch_number: u64,
}

/// A fetch of weights; cancelled if it is replaced or removed as [`EngineStatus::fetch`] meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WeightFetch {
    pub(super) number: u64,
    pub(super) model_version: ModelVersion,
}

impl EngineStatus {
    pub(super) fn idle() -> Self {
        Self {
            state: EngineState::Idle,
            group: None,
            incarnation: Incarnation(0),
            rank: Rank(0),
            role: EngineRole::Serving,
            model_version: None,
            cached_versions: Vec::new(),
            running: 0,
            steps: 0,
            fencing_number: FencingNumber(0),
            executed_orders: HashSet::new(),
            cancelled: HashSet::new(),
            running_history: Vec::new(),
            membership_number: 0,
            fetch: None,
            last_fetch_number: 0,
        }
    }

    pub(super) fn begin_fetch(&mut self, model_version: ModelVersion) -> WeightFetch {
        self.last_fetch_number += 1;
        let fetch = WeightFetch { number: self.last_fetch_number, model_version };
        self.fetch = Some(fetch.clone());
        fetch
    }

    pub(super) fn is_in(&self, group: &GroupId, incarnation: Incarnation) -> bool {
        self.group.as_ref() == Some(group) && self.incarnation == incarnation
    }

    pub(super) fn change_running(&mut self, delta: i32) {
        self.running = self.running.saturating_add_signed(delta);
        self.running_history.push((Instant::now(), self.running));
        if self.running_history.len() > 10_000 {
            self.running_history.drain(..5_000);
        }
    }

    pub(super) fn running_as_of(&self, lag_ms: u64) -> u32 {
        let lag = Duration::from_millis(lag_ms);
        let visible = self.running_history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        visible.map_or(0, |(_, load)| *load)
    }
}
