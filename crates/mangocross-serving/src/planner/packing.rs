//! Which model the next group of a fabric domain serves.

use std::collections::HashMap;

use mangocross_types::ModelId;

use crate::EngineSpec;
use crate::ModelSpec;

/// A model that fits is taken instead of the neediest one, which does not fit,
/// only while it is not better supplied by more than this.
const SUPPLY_RATIO_MAX: f64 = 1.3;
/// VMs that are kept as spares when the neediest model does not fit.
const SPARES_KEPT: usize = 2;

/// VMs of all groups of a model, over all fabric domains, relative to its share.
fn supply(model: &ModelSpec, vms: &HashMap<ModelId, usize>) -> f64 {
    let count = vms.get(&model.model).copied().unwrap_or_default();
    count as f64 / model.share.max(0.01)
}

/// Chooses the model for which a group is formed of `free` VMs.
///
/// The model with the fewest VMs for its share comes first. Where it does not
/// fit, VMs are kept for it rather than given to a model that has far more.
pub(super) fn next_model<'a>(
    engine: &'a EngineSpec,
    vms: &HashMap<ModelId, usize>,
    free: usize,
) -> Option<&'a ModelSpec> {
    let order = |a: &&ModelSpec, b: &&ModelSpec| {
        supply(a, vms).total_cmp(&supply(b, vms)).then(b.size.cmp(&a.size))
    };
    let least_supplied = engine.models.iter().min_by(order)?;
    let fitting = engine.models.iter().filter(|it| it.size <= free).min_by(order)?;
    if least_supplied.size <= free {
        return Some(least_supplied);
    }
    let is_close = supply(fitting, vms) <= supply(least_supplied, vms) * SUPPLY_RATIO_MAX;
    (is_close && fitting.size + SPARES_KEPT <= free).then_some(fitting)
}
