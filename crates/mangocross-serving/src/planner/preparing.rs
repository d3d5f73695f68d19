//! Fetches weights to the VMs of a fabric domain (staging) and loads them, so that the VMs can
//! join groups quickly.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::VmId;

use super::GroupPlanner;
use super::PlannerAction;
use super::TrackedServer;
use super::forming::PlanUpdate;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::ModelSpec;
use crate::Moment;
use crate::OrderOutcome;

/// Expected staging time as a multiple of the model's load time, to allow for concurrent weight
/// loads.
const STAGING_FACTOR: f64 = 1.5;
/// Added to the expected staging time before a VM that does not report the model gets the order
/// again.
const STAGING_MARGIN: Duration = Duration::from_millis(1500);
/// Minimum number of VMs in a domain that should stage the largest model as their second one.
const SECOND_MODEL_VMS_MIN: usize = 4;
/// One in this many concurrent weight loads may be a low-priority fetch.
const STAGING_LOADS_DIVISOR: usize = 4;

/// VMs that stage a second model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StagingTargets {
    Spares,
    Members,
}

/// The latest order to a VM to stage a model.
#[derive(Debug)]
pub(super) struct StageOrder {
    pub(super) model: ModelId,
    /// When the order is sent again if the VM does not report the model.
    pub(super) retry_at: Moment,
}

impl GroupPlanner {
    /// Loads a model on each spare, and stages a second one on spares and members.
    ///
    /// A VM joins a group of its loaded model within a fraction of a second, and a group
    /// of its staged model within one or two seconds. Lost members of groups of any
    /// model are thus replaced without the weight store.
    pub(super) fn prepare_servers(
        &mut self,
        updates: &[PlanUpdate],
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        for update in updates {
            self.load_spares(update, now, actions);
        }
        for targets in [StagingTargets::Spares, StagingTargets::Members] {
            for update in updates {
                self.stage_second_models(update, targets, now, actions);
            }
        }
    }

    /// Loads a model on each spare that has none.
    ///
    /// Models that are staged on the spare have priority, then those with the fewest spares, then
    /// the largest.
    fn load_spares(&mut self, update: &PlanUpdate, now: Moment, actions: &mut Vec<PlannerAction>) {
        if update.plan.groups.is_empty() {
            return;
        }
        let mut models: Vec<&ModelSpec> = self.engine_spec.models.iter().collect();
        models.sort_by_key(|it| Reverse(it.group_size));
        let models: Vec<ModelId> = models.into_iter().map(|it| it.model.clone()).collect();
        let mut counts: HashMap<ModelId, usize> = HashMap::new();
        let mut unloaded = Vec::new();
        for vm in self.free_vms(&update.domain, &update.plan) {
            let Some(tracked) = self.servers.get(&vm) else { continue };
            let engine = &tracked.server.engine;
            match models.iter().find(|it| engine.loaded.contains(it)) {
                Some(model) => *counts.entry(model.clone()).or_default() += 1,
                None if is_joining(tracked) => {}
                None => unloaded.push((vm, engine.staged.clone())),
            }
        }
        for (vm, staged) in unloaded {
            let count = |it: &&ModelId| counts.get(it).copied().unwrap_or_default();
            let staged_model = models.iter().filter(|it| staged.contains(it)).min_by_key(count);
            let Some(model) = staged_model.or_else(|| models.iter().min_by_key(count)) else {
                return;
            };
            let model = model.clone();
            *counts.entry(model.clone()).or_default() += 1;
            if staged.contains(&model) {
                self.load_spare(update, &vm, model, now, actions);
            } else {
                self.stage(&vm, model, now, actions);
            }
        }
    }

    /// Orders a spare to join a single-member group that is never opened.
    ///
    /// The spare thereby loads its staged weights and can replace a lost member at once.
    /// The incarnation is one that the domain has already used, so a delayed order is
    /// refused by a server that has joined a planned group in the meantime.
    fn load_spare(
        &mut self,
        update: &PlanUpdate,
        vm: &VmId,
        model: ModelId,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Ok(group) = format!("{}.{vm}", update.domain).parse::<GroupId>() else { return };
        let last_used = update.plan.next_incarnation.saturating_sub(1);
        let incarnation = Incarnation(last_used.max(self.highest_incarnation(&update.domain)));
        let members = vec![vm.clone()];
        self.send_order(vm, EngineOrder::Join { group, incarnation, model, members }, now, actions);
    }

    /// Stages a second model besides the loaded one.
    ///
    /// After each join, the VM has only the model of that join staged. While weight loads are
    /// unlimited, all VMs stage a second model. Later, only spares do, and members of other
    /// models' groups while few VMs of the domain have the largest model staged.
    fn stage_second_models(
        &mut self,
        update: &PlanUpdate,
        targets: StagingTargets,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let largest = self.engine_spec.models.iter().max_by_key(|it| it.group_size);
        let Some(largest) = largest.map(|it| it.model.clone()) else { return };
        let in_domain = self.in_domain(&update.domain).filter(|(_, it)| {
            self.is_usable(it) && !is_joining(it) && !it.server.engine.loaded.is_empty()
        });
        let mut holders: HashMap<ModelId, usize> = HashMap::new();
        let mut lacking = Vec::new();
        for (vm, tracked) in in_domain {
            let engine = &tracked.server.engine;
            match engine.staged.iter().find(|it| !engine.loaded.contains(it)) {
                Some(model) => *holders.entry(model.clone()).or_default() += 1,
                None if update.plan.contains(vm) == (targets == StagingTargets::Members) => {
                    lacking.push((vm.clone(), engine.loaded.clone()));
                }
                None => {}
            }
        }
        for (vm, loaded) in lacking {
            let others = self.engine_spec.models.iter().map(|it| &it.model);
            let others = others.filter(|it| !loaded.contains(it));
            let count = |it: &&ModelId| holders.get(it).copied().unwrap_or_default();
            let Some(model) = others.min_by_key(count).cloned() else { continue };
            if !self.may_stage_more(now) {
                return;
            }
            let is_needed = targets == StagingTargets::Spares
                || (model == largest && count(&&largest) < SECOND_MODEL_VMS_MIN)
                || self.weight_load_limiter.is_unlimited();
            if is_needed {
                *holders.entry(model.clone()).or_default() += 1;
                self.stage(&vm, model, now, actions);
            }
        }
    }

    /// Returns whether another low-priority fetch would leave enough weight loads for urgent ones.
    fn may_stage_more(&self, now: Moment) -> bool {
        if self.weight_load_limiter.is_unlimited() {
            return true;
        }
        let is_fetching = |it: &&TrackedServer| {
            it.staging.as_ref().is_some_and(|staging| {
                now < staging.retry_at && !it.server.engine.staged.contains(&staging.model)
            })
        };
        let fetching = self.servers.values().filter(is_fetching).count();
        self.weight_load_limiter.has_reserve()
            && fetching < (self.engine_spec.loads_at_once / STAGING_LOADS_DIVISOR).max(1)
    }

    /// Orders a VM to stage a model, unless it already does so or another order is in progress.
    fn stage(&mut self, vm: &VmId, model: ModelId, now: Moment, actions: &mut Vec<PlannerAction>) {
        let staging = self.servers.get(vm).and_then(|it| it.staging.as_ref());
        let is_staging = staging.is_some_and(|it| it.model == model && now < it.retry_at);
        if !is_staging && !self.has_recent_order(vm, now) {
            self.send_order(vm, EngineOrder::Stage { model }, now, actions);
        }
    }

    /// Returns when an order to stage a model may be sent again.
    pub(super) fn staging_retry_at(
        &self,
        model: &ModelId,
        outcome: OrderOutcome,
        now: Moment,
    ) -> Moment {
        match outcome {
            OrderOutcome::Begun | OrderOutcome::Done => {
                let time = self.engine_spec.model(model).map_or(Duration::ZERO, |it| it.load_time);
                now + time.mul_f64(STAGING_FACTOR) + STAGING_MARGIN
            }
            OrderOutcome::Refused
            | OrderOutcome::WrongServer
            | OrderOutcome::ConnectionRefused
            | OrderOutcome::Unknown => now + STAGING_MARGIN,
        }
    }

    /// Returns whether a VM has a model loaded or staged, so that joining needs no weight store.
    pub(super) fn is_prepared(&self, vm: &VmId, model: &ModelId) -> bool {
        self.servers.get(vm).is_some_and(|it| {
            let engine = &it.server.engine;
            engine.loaded.contains(model) || engine.staged.contains(model)
        })
    }
}

fn is_joining(tracked: &TrackedServer) -> bool {
    let membership = tracked.server.engine.membership.as_ref();
    membership.is_some_and(|it| it.phase == MemberPhase::Joining)
}
