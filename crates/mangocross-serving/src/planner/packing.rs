//! Chooses the model of the next group in a fabric domain.

use std::collections::HashMap;

use mangocross_types::ModelId;

use crate::EngineSpec;
use crate::ModelSpec;

/// If the least supplied model does not fit, another model is chosen only if its supply is at most
/// this multiple of the least one.
const SUPPLY_RATIO_MAX: f64 = 1.3;
/// VMs that are kept as spares if the least supplied model does not fit.
const SPARES_KEPT: usize = 2;

/// Returns the number of VMs of all groups of a model, over all fabric domains, relative to its
/// share.
fn supply(model: &ModelSpec, vm_counts: &HashMap<ModelId, usize>) -> f64 {
    let count = vm_counts.get(&model.model).copied().unwrap_or_default();
    count as f64 / model.share.max(0.01)
}

/// Chooses the model of a group to be formed from `free` VMs.
///
/// The model with the fewest VMs relative to its share has priority. If it does not
/// fit, VMs are reserved for it instead of being assigned to a model with a much larger supply.
pub(super) fn next_model<'a>(
    engine: &'a EngineSpec,
    vm_counts: &HashMap<ModelId, usize>,
    free: usize,
) -> Option<&'a ModelSpec> {
    let by_supply = |a: &&ModelSpec, b: &&ModelSpec| {
        supply(a, vm_counts).total_cmp(&supply(b, vm_counts)).then(b.group_size.cmp(&a.group_size))
    };
    let least_supplied = engine.models.iter().min_by(by_supply)?;
    let fitting = engine.models.iter().filter(|it| it.group_size <= free).min_by(by_supply)?;
    if least_supplied.group_size <= free {
        return Some(least_supplied);
    }
    let is_close =
        supply(fitting, vm_counts) <= supply(least_supplied, vm_counts) * SUPPLY_RATIO_MAX;
    (is_close && fitting.group_size + SPARES_KEPT <= free).then_some(fitting)
}
