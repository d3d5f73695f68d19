//! The lifecycle of the groups in a fabric domain: forming, serving, draining, unloading, repair.

use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::FenceMode;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::VmId;

use crate::Completeness;
use crate::DomainInput;
use crate::OrderAuthority;
use crate::completeness::is_member;
use crate::form_group;
use crate::remove_group;
use crate::repair::choose_idle;
use crate::repair::is_unavailable;
use crate::repair::repair;
use crate::repair::should_move;
use crate::set_phase;

/// Returns the next assignment to write, if it has to change.
pub(crate) fn next_assignment(input: &DomainInput<'_>) -> Option<DomainAssignment> {
    let changed = input.assignment().groups.iter().find_map(|it| next_for_group(input, it));
    changed
        .or_else(|| register_vms(input))
        .or_else(|| raise_fencing_number(input))
        .or_else(|| input.configuration.groups.iter().find_map(|it| form_unformed(input, it)))
        .map(|next| register_former_members(input.assignment(), next))
}

/// Registers the domain's listed VMs that are in none of its groups, and unregisters VMs that are
/// no longer listed.
///
/// A VM that another domain is known to hold is registered only after that domain drops it.
fn register_vms(input: &DomainInput<'_>) -> Option<DomainAssignment> {
    let assignment = input.assignment();
    let is_listed = |vm: &&VmId| input.engine(vm).is_some_and(|it| it.listed);
    let is_new = |vm: &&VmId| {
        let is_held = assignment.registered.contains(vm) || input.is_assigned(vm);
        !is_held && !input.holders.is_held_elsewhere(vm, &assignment.domain)
    };
    let kept = assignment.registered.iter().filter(is_listed);
    let listed = input.engines.iter().filter(|it| it.listed).map(|it| &it.vm);
    let registered = sorted(kept.chain(listed.filter(is_new)));
    (registered != assignment.registered)
        .then(|| DomainAssignment { registered, ..assignment.clone() })
}

/// Registers in `next` the VMs that have left a group since `before`, and unregisters those that
/// are now members.
fn register_former_members(
    before: &DomainAssignment,
    mut next: DomainAssignment,
) -> DomainAssignment {
    let left = before.groups.iter().flat_map(|it| &it.members);
    let is_member = |vm: &VmId| next.groups.iter().any(|it| it.members.contains(vm));
    let held = next.registered.iter().chain(left);
    next.registered = sorted(held.filter(|vm| !is_member(vm)));
    next
}

fn sorted<'a>(vms: impl Iterator<Item = &'a VmId>) -> Vec<VmId> {
    let mut vms: Vec<VmId> = vms.cloned().collect();
    vms.sort_unstable();
    vms.dedup();
    vms
}

/// Raises the fencing number above that of a VM that came from another domain.
///
/// Otherwise engines that honour fencing numbers would refuse every order of this domain. An owner
/// that is not confirmed leaves the number unchanged, since a later owner may have raised it.
fn raise_fencing_number(input: &DomainInput<'_>) -> Option<DomainAssignment> {
    let may_raise = input.configuration.fence_mode == FenceMode::Honoured
        && matches!(input.authority, OrderAuthority::Full { .. });
    let own = input.engines.iter().map(|it| &it.vm);
    let own = own.filter(|vm| input.is_assigned(vm) || input.may_use(vm));
    let highest = own.filter_map(|vm| input.report(vm)).map(|it| it.fencing_number).max()?;
    (may_raise && highest > input.assignment().fencing_number)
        .then(|| DomainAssignment { fencing_number: highest.next(), ..input.assignment().clone() })
}

/// Returns the groups placed here that the domain's VMs cannot complete.
pub fn incomplete_groups(input: &DomainInput<'_>) -> Vec<GroupId> {
    let incomplete = input.configuration.groups.iter().filter(|it| is_incomplete(input, it));
    incomplete.map(|it| it.id.clone()).collect()
}

/// Returns the groups placed here that should be formed in another domain with enough idle VMs.
pub fn groups_to_move(input: &DomainInput<'_>) -> Vec<GroupId> {
    let incomplete = input.configuration.groups.iter().filter(|it| is_incomplete(input, it));
    let to_move = incomplete.filter(|spec| {
        let group = input.assignment().groups.iter().find(|it| it.group == spec.id);
        group.is_none_or(|it| should_move(input, it, spec))
    });
    to_move.map(|it| it.id.clone()).collect()
}

fn is_incomplete(input: &DomainInput<'_>, spec: &GroupSpec) -> bool {
    if !is_placed_here(input, spec) || spec.desired != DesiredState::Serving {
        return false;
    }
    let idle = input.idle_vms().count();
    match input.assignment().groups.iter().find(|it| it.group == spec.id) {
        Some(group) => idle < group.members.iter().filter(|it| is_unavailable(input, it)).count(),
        None => idle < usize::from(spec.size.0),
    }
}

fn is_placed_here(input: &DomainInput<'_>, spec: &GroupSpec) -> bool {
    input.placements.domain_of(&spec.id) == Some(&input.assignment().domain)
}

/// Returns the group's specification if the group should be loaded in this domain.
fn desired_spec<'a>(input: &DomainInput<'a>, group: &GroupAssignment) -> Option<&'a GroupSpec> {
    let spec = input.configuration.group(&group.group)?;
    let here = input.placements.includes(&group.group, &input.assignment().domain);
    let same = spec.model == group.model
        && spec.model_version == group.model_version
        && usize::from(spec.size.0) == group.members.len();
    (here && same && spec.desired != DesiredState::Stopped).then_some(spec)
}

fn next_for_group(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<DomainAssignment> {
    let Some(spec) = desired_spec(input, group) else { return next_for_undesired(input, group) };
    let accepts_new = spec.desired == DesiredState::Serving && !has_leaving(input, group);
    let complete = matches!(input.completeness(group), Completeness::Complete { .. });
    let phase = match group.phase {
        GroupPhase::Loading if complete => GroupPhase::Serving,
        GroupPhase::Loading => return repair_here(input, group, spec),
        GroupPhase::Serving if !accepts_new => GroupPhase::Draining,
        GroupPhase::Serving if !complete => return repair_here(input, group, spec),
        GroupPhase::Draining if accepts_new => GroupPhase::Serving,
        GroupPhase::Draining if spec.desired == DesiredState::Serving => {
            return replace_leaving(input, group, spec);
        }
        GroupPhase::Unloading => return next_for_undesired(input, group),
        GroupPhase::Serving | GroupPhase::Draining => return None,
    };
    set_phase(input.assignment(), &group.group, phase).ok()
}

fn next_for_undesired(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
) -> Option<DomainAssignment> {
    let phase = match group.phase {
        GroupPhase::Loading => GroupPhase::Unloading,
        GroupPhase::Serving => GroupPhase::Draining,
        GroupPhase::Draining if may_unload(input, group) => GroupPhase::Unloading,
        GroupPhase::Unloading if is_unloaded(input, group) => {
            return Some(remove_group(input.assignment(), &group.group));
        }
        GroupPhase::Draining | GroupPhase::Unloading => return None,
    };
    set_phase(input.assignment(), &group.group, phase).ok()
}

/// Re-forms a drained group without its leaving members, or unloads it to release the others.
fn replace_leaving(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    if !may_unload(input, group) {
        return None;
    }
    repair_here(input, group, spec)
        .or_else(|| set_phase(input.assignment(), &group.group, GroupPhase::Unloading).ok())
}

/// Repairs a group, unless it stays here only until it serves in another domain.
fn repair_here(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    is_placed_here(input, spec).then(|| repair(input, group, spec)).flatten()
}

fn form_unformed(input: &DomainInput<'_>, spec: &GroupSpec) -> Option<DomainAssignment> {
    let exists = input.assignment().groups.iter().any(|it| it.group == spec.id);
    if !is_placed_here(input, spec) || exists || spec.desired != DesiredState::Serving {
        return None;
    }
    let members = choose_idle(input, spec, spec.size.0.into())?;
    form_group(input.assignment(), spec, members).ok()
}

fn has_leaving(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    group.members.iter().any(|vm| input.is_leaving(vm))
}

/// Returns whether unloading a draining group aborts no request.
///
/// Either rank zero has been drained, or the group is broken permanently, so that no request in
/// flight can finish. A failed probe alone shows neither.
fn may_unload(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let Some(first) = group.members.first() else { return true };
    let broken =
        |vm: &VmId| input.is_lost(vm) || input.report(vm).is_some_and(|it| !is_member(it, group));
    let is_drained = |expired_at| input.probes.is_drained(first, group, expired_at);
    let drained = input.report(first).is_some()
        && input.prior_orders_expired_at(group).is_some_and(is_drained);
    drained || group.members.iter().any(broken)
}

/// Returns whether no member is in the group and no pending order can bring one into it.
fn is_unloaded(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let Some(prior_orders_expired_at) = input.prior_orders_expired_at(group) else { return false };
    let has_left = |vm: &VmId| match input.probes.newest_answer(vm) {
        Some((sent_at, report)) if input.report(vm).is_some() => {
            sent_at >= prior_orders_expired_at && !is_member(report, group)
        }
        _ => input.is_lost(vm),
    };
    input.now >= prior_orders_expired_at && group.members.iter().all(has_left)
}
