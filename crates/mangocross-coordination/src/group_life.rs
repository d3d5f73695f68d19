//! The life of the groups in a fabric domain: formed, serving, draining,
//! unloading, repaired.

use mangocross_policy::MemberCandidate;
use mangocross_policy::choose_members;
use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSize;
use mangocross_types::GroupSpec;
use mangocross_types::VmId;

use crate::Completeness;
use crate::DomainInput;
use crate::MissingReason;
use crate::completeness::is_member;
use crate::form_group;
use crate::remove_group;
use crate::set_phase;

/// Returns the next assignment to write, if one is due.
pub(crate) fn next_assignment(input: &DomainInput<'_>) -> Option<DomainAssignment> {
    let changed = input.assignment.groups.iter().find_map(|it| next_of_group(input, it));
    changed.or_else(|| input.configuration.groups.iter().find_map(|it| form_new(input, it)))
}

/// Returns the groups that belong here and that the domain's VMs cannot complete.
pub fn stuck_groups(input: &DomainInput<'_>) -> Vec<GroupId> {
    let stuck = input.configuration.groups.iter().filter(|it| is_stuck(input, it));
    stuck.map(|it| it.id.clone()).collect()
}

fn is_stuck(input: &DomainInput<'_>, spec: &GroupSpec) -> bool {
    if !belongs_here(input, spec) || spec.desired != DesiredState::Serving {
        return false;
    }
    let idle = input.idle_vms().count();
    match input.assignment.groups.iter().find(|it| it.group == spec.id) {
        Some(group) => idle < group.members.iter().filter(|it| is_out(input, it)).count(),
        None => idle < usize::from(spec.size.0),
    }
}

fn belongs_here(input: &DomainInput<'_>, spec: &GroupSpec) -> bool {
    input.placements.domain_of(&spec.id) == Some(&input.assignment.domain)
}

/// Returns the group's specification if the group should be loaded in this domain.
fn wanted<'a>(input: &DomainInput<'a>, group: &GroupAssignment) -> Option<&'a GroupSpec> {
    let spec = input.configuration.group(&group.group)?;
    let here = input.placements.includes(&group.group, &input.assignment.domain);
    let same = spec.model == group.model
        && spec.model_version == group.model_version
        && usize::from(spec.size.0) == group.members.len();
    (here && same && spec.desired != DesiredState::Stopped).then_some(spec)
}

fn next_of_group(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<DomainAssignment> {
    let Some(spec) = wanted(input, group) else { return next_of_unwanted(input, group) };
    let takes_new = spec.desired == DesiredState::Serving && !has_leaving(input, group);
    let complete = matches!(input.check(group), Completeness::Complete { .. });
    let phase = match group.phase {
        GroupPhase::Loading if complete => GroupPhase::Serving,
        GroupPhase::Loading => return repair(input, group, spec),
        GroupPhase::Serving if !takes_new => GroupPhase::Draining,
        GroupPhase::Serving if !complete => return repair(input, group, spec),
        GroupPhase::Draining if takes_new => GroupPhase::Serving,
        GroupPhase::Draining if spec.desired == DesiredState::Serving => {
            return replace_leaving(input, group, spec);
        }
        GroupPhase::Unloading => return next_of_unwanted(input, group),
        GroupPhase::Serving | GroupPhase::Draining => return None,
    };
    set_phase(input.assignment, &group.group, phase).ok()
}

fn next_of_unwanted(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<DomainAssignment> {
    let phase = match group.phase {
        GroupPhase::Loading => GroupPhase::Unloading,
        GroupPhase::Serving => GroupPhase::Draining,
        GroupPhase::Draining if may_unload(input, group) => GroupPhase::Unloading,
        GroupPhase::Unloading if !is_reported(input, group) => {
            return Some(remove_group(input.assignment, &group.group));
        }
        GroupPhase::Draining | GroupPhase::Unloading => return None,
    };
    set_phase(input.assignment, &group.group, phase).ok()
}

/// Forms a drained group anew without its leaving members, or releases the others.
fn replace_leaving(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    if !may_unload(input, group) {
        return None;
    }
    let formed = belongs_here(input, spec).then(|| repair(input, group, spec)).flatten();
    formed.or_else(|| set_phase(input.assignment, &group.group, GroupPhase::Unloading).ok())
}

/// Forms the group anew without the members that cannot come back.
///
/// A member that is silent and not yet lost may come back, so it is waited for.
fn repair(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    if !belongs_here(input, spec) {
        return None;
    }
    let (out, mut members): (Vec<VmId>, Vec<VmId>) =
        group.members.iter().cloned().partition(|vm| is_out(input, vm));
    let stragglers = stragglers(input, group);
    let undecided = members.iter().any(|vm| input.report(vm).is_none() && !stragglers.contains(vm));
    if undecided {
        return None;
    }
    members.retain(|vm| !stragglers.contains(vm));
    let needed = out.len() + stragglers.len();
    if needed == 0 {
        return None;
    }
    members.extend(choose_idle(input, spec, needed)?);
    form_group(input.assignment, spec, members).ok()
}

/// Returns whether a member cannot go on: lost, or leaving.
fn is_out(input: &DomainInput<'_>, vm: &VmId) -> bool {
    input.is_lost(vm) || input.is_leaving(vm)
}

fn stragglers(input: &DomainInput<'_>, group: &GroupAssignment) -> Vec<VmId> {
    let Completeness::Incomplete(missing) = input.check(group) else { return Vec::new() };
    let slow = missing.into_iter().filter(|it| is_straggler(input, &it.reason));
    slow.map(|it| it.vm).collect()
}

/// Returns whether a member has stood still for so long that it is replaced.
fn is_straggler(input: &DomainInput<'_>, reason: &MissingReason) -> bool {
    let MissingReason::Straggler { stalled_ms } = reason else { return false };
    *stalled_ms >= (input.stall_limit + input.lost_after).as_millis()
}

fn form_new(input: &DomainInput<'_>, spec: &GroupSpec) -> Option<DomainAssignment> {
    let there = input.assignment.groups.iter().any(|it| it.group == spec.id);
    if !belongs_here(input, spec) || there || spec.desired != DesiredState::Serving {
        return None;
    }
    let members = choose_idle(input, spec, spec.size.0.into())?;
    form_group(input.assignment, spec, members).ok()
}

/// Chooses idle VMs, those that hold the weights first; `None` when there are too few.
fn choose_idle(input: &DomainInput<'_>, spec: &GroupSpec, needed: usize) -> Option<Vec<VmId>> {
    let has_weights = |vm: &VmId| {
        input.report(vm).is_some_and(|it| it.cached_versions.contains(&spec.model_version))
    };
    let candidates = input.idle_vms().map(|vm| MemberCandidate {
        has_weights: has_weights(&vm),
        vm,
        leaving: false,
        straggling: false,
        recent_failures: 0,
    });
    let candidates: Vec<MemberCandidate> = candidates.collect();
    choose_members(GroupSize(u16::try_from(needed).ok()?), &candidates)
}

fn has_leaving(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    group.members.iter().any(|vm| input.is_leaving(vm))
}

/// Returns whether unloading a draining group cuts off no request.
///
/// Either rank zero has been drained, or the group is broken for good, so that
/// no request in flight can finish. Silence alone is no proof of either.
fn may_unload(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let Some(first) = group.members.first() else { return true };
    let broken =
        |vm: &VmId| input.is_lost(vm) || input.report(vm).is_some_and(|it| !is_member(it, group));
    let drained = input.report(first).is_some()
        && input.probes.is_drained(first, group, input.order_lifetime);
    drained || group.members.iter().any(broken)
}

/// Returns whether any member still reports the group.
fn is_reported(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let mut reports = group.members.iter().filter_map(|vm| input.report(vm));
    reports.any(|it| is_member(it, group))
}
