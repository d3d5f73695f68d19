//! Prepares the VMs of a fabric domain for the groups that may need them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::VmId;

use super::GroupPlanner;
use super::Known;
use super::Step;
use super::forming::Draft;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::ModelSpec;
use crate::Moment;

/// Staging time, as a multiple of the model's loading time, when others load as well.
const STAGING_FACTOR: f64 = 1.5;
/// Added to the time after which a host that does not report a model is asked again.
const STAGING_MARGIN: Duration = Duration::from_millis(1500);

/// A fetch of weights that a host has begun.
#[derive(Debug)]
pub(super) struct Staging {
    pub(super) model: ModelId,
    pub(super) since: Moment,
}

impl GroupPlanner {
    /// Loads a model on each spare, and stages another one on the hosts of all VMs.
    ///
    /// A VM joins a group of the model that is loaded within a fraction of a second,
    /// and one of the model that is staged within a second or two: each loss is made
    /// good without the weight store, whichever model it hits.
    pub(super) fn prepare_servers(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        self.load_spares(draft, now, steps);
        self.stage_second_models(draft, now, steps);
    }

    /// Loads a model on each spare that has none, the largest model first.
    fn load_spares(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        if draft.plan.groups.is_empty() {
            return;
        }
        let mut models: Vec<&ModelSpec> = self.engine.models.iter().collect();
        models.sort_by_key(|it| Reverse(it.size));
        let models: Vec<ModelId> = models.into_iter().map(|it| it.model.clone()).collect();
        let mut counts: HashMap<ModelId, usize> = HashMap::new();
        let mut unloaded = Vec::new();
        for vm in self.free_vms(&draft.domain, &draft.plan) {
            let Some(known) = self.known.get(&vm) else { continue };
            let engine = &known.server.engine;
            match models.iter().find(|it| engine.loaded.contains(it)) {
                Some(model) => *counts.entry(model.clone()).or_default() += 1,
                None if is_joining(known) => {}
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
                self.load_spare(draft, &vm, model, now, steps);
            } else {
                self.stage(&vm, model, now, steps);
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
        draft: &Draft,
        vm: &VmId,
        model: ModelId,
        now: Moment,
        steps: &mut Vec<Step>,
    ) {
        let Ok(group) = format!("{}.{vm}", draft.domain).parse::<GroupId>() else { return };
        let last_used = draft.plan.next_incarnation.saturating_sub(1);
        let incarnation = Incarnation(last_used.max(self.highest_incarnation(&draft.domain)));
        let members = vec![vm.clone()];
        self.order(vm, EngineOrder::Join { group, incarnation, model, members }, now, steps);
    }

    /// Stages a model beside the loaded one, on members and on spares.
    fn stage_second_models(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        let in_domain = self.known.iter().filter(|(_, it)| {
            it.server.engine.domain.as_ref() == Some(&draft.domain)
                && self.is_usable(it)
                && !is_joining(it)
                && !it.server.engine.loaded.is_empty()
        });
        let mut holders: HashMap<ModelId, usize> = HashMap::new();
        let mut lacking = Vec::new();
        for (vm, known) in in_domain {
            let engine = &known.server.engine;
            match engine.staged.iter().find(|it| !engine.loaded.contains(it)) {
                Some(model) => *holders.entry(model.clone()).or_default() += 1,
                None => lacking.push((vm.clone(), engine.loaded.clone())),
            }
        }
        for (vm, loaded) in lacking {
            let others = self.engine.models.iter().map(|it| &it.model);
            let others = others.filter(|it| !loaded.contains(it));
            let count = |it: &&ModelId| holders.get(it).copied().unwrap_or_default();
            let Some(model) = others.min_by_key(count).cloned() else { continue };
            if !self.loads.has_reserve() {
                return;
            }
            *holders.entry(model.clone()).or_default() += 1;
            self.stage(&vm, model, now, steps);
        }
    }

    /// Orders a host to fetch a model, unless it is at it or another order is under way.
    fn stage(&mut self, vm: &VmId, model: ModelId, now: Moment, steps: &mut Vec<Step>) {
        let time = self.engine.model(&model).map_or(Duration::ZERO, |it| it.load);
        let timeout = time.mul_f64(STAGING_FACTOR) + STAGING_MARGIN;
        let is_staging = self
            .known
            .get(vm)
            .and_then(|it| it.staging.as_ref())
            .is_some_and(|it| it.model == model && now.since(it.since) < timeout);
        if !is_staging && !self.has_fresh_order(vm, now) {
            self.order(vm, EngineOrder::Stage { model }, now, steps);
        }
    }

    /// Returns whether a VM joins a group of a model without the weight store.
    pub(super) fn is_prepared(&self, vm: &VmId, model: &ModelId) -> bool {
        self.known.get(vm).is_some_and(|it| {
            let engine = &it.server.engine;
            engine.loaded.contains(model) || engine.staged.contains(model)
        })
    }
}

fn is_joining(known: &Known) -> bool {
    let membership = known.server.engine.membership.as_ref();
    membership.is_some_and(|it| it.phase == MemberPhase::Joining)
}
