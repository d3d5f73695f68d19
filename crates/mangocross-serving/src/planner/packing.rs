//! Which model the next group of a fabric domain serves.

use std::collections::HashMap;

use mangocross_types::ModelId;

use crate::EngineSpec;
use crate::ModelSpec;

/// A model that fits is taken instead of the neediest one, which does not fit,
/// only while its own need is less by at most this.
const NEED_DIFFERENCE_MAX: f64 = 0.15;
/// VMs that are kept as spares when the neediest model does not fit.
const SPARES_KEPT: usize = 2;
/// Need of a donor, after a group of it was given up, up to which it may be.
const DONOR_NEED_MAX: f64 = 0.7;
/// Least difference between the needs of two models that is worth the loads of a change.
const DONATION_GAIN_MIN: f64 = 0.2;

/// How much the models need further groups.
#[derive(Debug, Default)]
pub(super) struct Needs {
    /// VMs of all groups of a model.
    vms: HashMap<ModelId, usize>,
    /// Share of the places of all groups that requests take, once there were requests.
    taken: HashMap<ModelId, f64>,
}

impl Needs {
    pub(super) fn new(vms: HashMap<ModelId, usize>, taken: HashMap<ModelId, f64>) -> Self {
        Self { vms, taken }
    }

    /// Counts the VMs of a group that will be formed or is given up.
    pub(super) fn add(&mut self, model: &ModelSpec) {
        let before = self.of(model);
        let vms = self.vms.entry(model.model.clone()).or_default();
        *vms += model.size;
        let after = *vms as f64;
        if let Some(taken) = self.taken.get_mut(&model.model) {
            *taken = before * (after - model.size as f64) / after;
        }
    }

    /// Returns the need: places taken or, before the first requests, the inverse of the supply.
    fn of(&self, model: &ModelSpec) -> f64 {
        let vms = self.vms.get(&model.model).copied().unwrap_or_default() as f64;
        match self.taken.get(&model.model) {
            Some(_) if vms == 0.0 => 1.0,
            Some(taken) => *taken,
            None => model.share / (vms + model.share),
        }
    }

    fn after_loss_of_group(&self, model: &ModelSpec) -> f64 {
        let vms = self.vms.get(&model.model).copied().unwrap_or_default() as f64;
        let left = (vms - model.size as f64).max(f64::EPSILON);
        self.of(model) * vms / left
    }

    /// Chooses the model for which a group is formed of `free` VMs.
    ///
    /// The neediest model comes first. Where it does not fit, VMs are kept for it
    /// rather than given to a model that needs them far less.
    pub(super) fn next_model<'a>(
        &self,
        engine: &'a EngineSpec,
        free: usize,
    ) -> Option<&'a ModelSpec> {
        let order = |a: &&ModelSpec, b: &&ModelSpec| {
            self.of(a).total_cmp(&self.of(b)).then(a.size.cmp(&b.size))
        };
        let neediest = engine.models.iter().max_by(order)?;
        if neediest.size <= free {
            return Some(neediest);
        }
        let fitting = engine.models.iter().filter(|it| it.size <= free).max_by(order)?;
        let is_close = self.of(fitting) + NEED_DIFFERENCE_MAX >= self.of(neediest);
        (is_close && fitting.size + SPARES_KEPT <= free).then_some(fitting)
    }

    /// Returns whether a group of `donor` may be given up so that one of `receiver` is formed.
    pub(super) fn may_donate(&self, donor: &ModelSpec, receiver: &ModelSpec) -> bool {
        let are_known =
            self.taken.contains_key(&donor.model) && self.taken.contains_key(&receiver.model);
        let after = self.after_loss_of_group(donor);
        are_known
            && donor.model != receiver.model
            && after <= DONOR_NEED_MAX
            && after + DONATION_GAIN_MIN <= self.of(receiver)
    }
}
