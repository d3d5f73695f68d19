//! Which idle VMs of a fabric domain preload weights.

use std::collections::BTreeMap;

use mangocross_policy::PreloadNeed;
use mangocross_policy::PreloadSpare;
use mangocross_policy::choose_preloads;
use mangocross_types::DesiredState;
use mangocross_types::EngineState;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::ModelVersion;
use mangocross_types::OrderKind;
use mangocross_types::VmId;

use crate::DomainInput;
use crate::ReconcileStep;

/// Returns the orders for idle VMs to preload the weights that the domain's groups use.
///
/// There are none while a member in this domain is loading, since that load has priority.
pub fn preload_orders(input: &DomainInput<'_>) -> Vec<ReconcileStep> {
    if has_loads(input) {
        return Vec::new();
    }
    let groups = wanted_groups(input);
    let preloads = choose_preloads(&needs(&groups), &spares(input));
    let idle = preloads.into_iter().filter(|it| state(input, &it.vm) == Some(EngineState::Idle));
    let orders = idle.filter_map(|it| {
        let version = it.model_version;
        let model = groups.iter().find(|spec| spec.model_version == version)?.model.clone();
        Some(ReconcileStep::Order {
            vm: it.vm,
            kind: OrderKind::Preload { model, model_version: version },
        })
    });
    orders.collect()
}

/// Returns the VMs that preload weights and belong to no group.
pub fn preloading_vms(input: &DomainInput<'_>) -> Vec<VmId> {
    let preloads = |it: &VmId| state(input, it) == Some(EngineState::Preloading);
    input.idle_vms().filter(preloads).collect()
}

/// Returns whether a member that answers probes is not ready yet.
fn has_loads(input: &DomainInput<'_>) -> bool {
    let loaded =
        |it: &&GroupAssignment| matches!(it.phase, GroupPhase::Loading | GroupPhase::Serving);
    let mut members = input.assignment().groups.iter().filter(loaded).flat_map(|it| &it.members);
    members.any(|vm| state(input, vm).is_some_and(|it| it != EngineState::Ready))
}

/// Returns the groups placed in this domain, or all groups if there are none.
fn wanted_groups<'a>(input: &DomainInput<'a>) -> Vec<&'a GroupSpec> {
    let wanted = |it: &&GroupSpec| it.desired != DesiredState::Stopped;
    let all = || input.configuration.groups.iter().filter(wanted);
    let domain = &input.assignment().domain;
    let here: Vec<_> = all().filter(|it| input.placements.includes(&it.id, domain)).collect();
    if here.is_empty() { all().collect() } else { here }
}

fn needs(groups: &[&GroupSpec]) -> Vec<PreloadNeed> {
    let mut members: BTreeMap<&ModelVersion, u32> = BTreeMap::new();
    for spec in groups {
        *members.entry(&spec.model_version).or_default() += u32::from(spec.size.0);
    }
    let needs = members
        .into_iter()
        .map(|(version, members)| PreloadNeed { model_version: version.clone(), members });
    needs.collect()
}

fn spares(input: &DomainInput<'_>) -> Vec<PreloadSpare> {
    let spares = input.idle_vms().filter_map(|vm| {
        let cached_versions = input.report(&vm)?.cached_versions.clone();
        Some(PreloadSpare { vm, cached_versions })
    });
    spares.collect()
}

fn state(input: &DomainInput<'_>, vm: &VmId) -> Option<EngineState> {
    input.report(vm).map(|it| it.state)
}
