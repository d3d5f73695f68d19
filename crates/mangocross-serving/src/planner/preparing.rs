//! Prepares the VMs of a fabric domain for the groups that may need them.

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

/// Staging time, as a multiple of the model's loading time, when others load as well.
const STAGING_FACTOR: f64 = 1.5;
/// Added to the time after which a host that does not report a model is asked again.
const STAGING_MARGIN: Duration = Duration::from_millis(1500);
/// VMs of a domain that hold the largest model beside another one.
const SECOND_MODEL_HOSTS_MIN: usize = 4;
/// The part of the loads at once that fetches which can wait may take is one in so many.
const STAGING_PART: usize = 4;

/// Whose hosts fetch a second model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hosts {
    Spares,
    Members,
}

/// A fetch of weights that a host was asked for.
#[derive(Debug)]
pub(super) struct Staging {
    pub(super) model: ModelId,
    /// When the host is asked again if it does not report the model.
    pub(super) until: Moment,
}

impl GroupPlanner {
    /// Loads a model on each spare, and stages another one on the hosts of all VMs.
    ///
    /// A VM joins a group of the model that is loaded within a fraction of a second,
    /// and one of the model that is staged within a second or two: each loss is made
    /// good without the weight store, whichever model it hits.
    pub(super) fn prepare_servers(
        &mut self,
        updates: &[PlanUpdate],
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        for update in updates {
            self.load_spares(update, now, actions);
        }
        for hosts in [Hosts::Spares, Hosts::Members] {
            for update in updates {
                self.stage_second_models(update, hosts, now, actions);
            }
        }
    }

    /// Loads a model on each spare that has none, the largest model first.
    fn load_spares(&mut self, update: &PlanUpdate, now: Moment, actions: &mut Vec<PlannerAction>) {
        if update.plan.groups.is_empty() {
            return;
        }
        let mut models: Vec<&ModelSpec> = self.engine.models.iter().collect();
        models.sort_by_key(|it| Reverse(it.size));
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
            let on_host = models.iter().filter(|it| staged.contains(it)).min_by_key(count);
            let Some(model) = on_host.or_else(|| models.iter().min_by_key(count)) else { return };
            let model = model.clone();
            *counts.entry(model.clone()).or_default() += 1;
            if staged.contains(&model) {
                self.load_spare(update, &vm, model, now, actions);
            } else {
                self.stage(&vm, model, now, actions);
            }
        }
    }

    /// Lets a spare join a group of its own, which is never opened.
    ///
    /// Its weights are loaded from the host then, so that it joins the group of a
    /// lost member at once. The incarnation is one that the domain has used already:
    /// a late order of this kind is refused by a server that has joined a planned
    /// group since.
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
        self.order(vm, EngineOrder::Join { group, incarnation, model, members }, now, actions);
    }

    /// Stages a model beside the loaded one.
    ///
    /// Each join leaves the joined model on the host in the place of the other one.
    /// Before the first request all hosts fetch a second model. Later on, spares do,
    /// and members of smaller groups while the domain has few VMs for a larger one.
    fn stage_second_models(
        &mut self,
        update: &PlanUpdate,
        hosts: Hosts,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let largest = self.engine.models.iter().max_by_key(|it| it.size);
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
                None if update.plan.holds(vm) == (hosts == Hosts::Members) => {
                    lacking.push((vm.clone(), engine.loaded.clone()));
                }
                None => {}
            }
        }
        for (vm, loaded) in lacking {
            let others = self.engine.models.iter().map(|it| &it.model);
            let others = others.filter(|it| !loaded.contains(it));
            let count = |it: &&ModelId| holders.get(it).copied().unwrap_or_default();
            let Some(model) = others.min_by_key(count).cloned() else { continue };
            if !self.may_stage_more(now) {
                return;
            }
            let is_needed = hosts == Hosts::Spares
                || (model == largest && count(&&largest) < SECOND_MODEL_HOSTS_MIN)
                || self.load_limiter.is_unlimited();
            if is_needed {
                *holders.entry(model.clone()).or_default() += 1;
                self.stage(&vm, model, now, actions);
            }
        }
    }

    /// Returns whether loads that can wait leave enough for those that cannot.
    fn may_stage_more(&self, now: Moment) -> bool {
        if self.load_limiter.is_unlimited() {
            return true;
        }
        let is_fetching = |it: &&TrackedServer| {
            it.staging.as_ref().is_some_and(|staging| {
                now < staging.until && !it.server.engine.staged.contains(&staging.model)
            })
        };
        let fetching = self.servers.values().filter(is_fetching).count();
        self.load_limiter.has_reserve()
            && fetching < (self.engine.loads_at_once / STAGING_PART).max(1)
    }

    /// Orders a host to fetch a model, unless it fetches it already or another order is under way.
    fn stage(&mut self, vm: &VmId, model: ModelId, now: Moment, actions: &mut Vec<PlannerAction>) {
        let staging = self.servers.get(vm).and_then(|it| it.staging.as_ref());
        let is_staging = staging.is_some_and(|it| it.model == model && now < it.until);
        if !is_staging && !self.has_recent_order(vm, now) {
            self.order(vm, EngineOrder::Stage { model }, now, actions);
        }
    }

    /// Returns until when a host is not asked again for a model that it was asked for.
    pub(super) fn staging_until(
        &self,
        model: &ModelId,
        outcome: OrderOutcome,
        now: Moment,
    ) -> Moment {
        match outcome {
            OrderOutcome::Begun | OrderOutcome::Done => {
                let time = self.engine.model(model).map_or(Duration::ZERO, |it| it.load);
                now + time.mul_f64(STAGING_FACTOR) + STAGING_MARGIN
            }
            OrderOutcome::Refused
            | OrderOutcome::WrongServer
            | OrderOutcome::NoProcess
            | OrderOutcome::Unknown => now + STAGING_MARGIN,
        }
    }

    /// Returns whether a VM joins a group of a model without the weight store.
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
