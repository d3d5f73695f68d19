//! Repair of groups that lack members, as decided by the policy.

use std::time::Duration;
use std::time::Instant;

use mangocross_policy::BrokenGroup;
use mangocross_policy::DomainCapacity;
use mangocross_policy::Donor;
use mangocross_policy::MemberCandidate;
use mangocross_policy::MemberCondition;
use mangocross_policy::RepairDecision;
use mangocross_policy::UnhealthyMember;
use mangocross_policy::choose_members;
use mangocross_policy::decide_repair;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSize;
use mangocross_types::GroupSpec;
use mangocross_types::VmId;

use crate::Completeness;
use crate::DomainInput;
use crate::MissingReason;
use crate::form_group;
use crate::remove_group;

/// Returns the assignment in which a group is re-formed without its unhealthy members, if that is
/// better than waiting for them.
///
/// A member that fails its probes and is not yet lost may recover, so the group waits for it.
pub(crate) fn repair(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    let unhealthy = unhealthy_members(input, group, spec);
    let is_unhealthy = |vm: &VmId| unhealthy.iter().any(|it| it.vm == *vm);
    let survivors: Vec<VmId> =
        group.members.iter().filter(|vm| !is_unhealthy(vm)).cloned().collect();
    if unhealthy.is_empty() || survivors.iter().any(|vm| input.report(vm).is_none()) {
        return None;
    }
    let members = |vms: Vec<VmId>| survivors.iter().cloned().chain(vms).collect();
    // A leaving VM does not come back, so there is nothing to wait for.
    if unhealthy.iter().any(|it| it.condition == MemberCondition::Leaving) {
        let vms = choose_idle(input, spec, unhealthy.len())?;
        return form_group(input.assignment(), spec, members(vms)).ok();
    }
    let broken = broken_group(input, group, spec, unhealthy, Vec::new());
    match decide_repair(&broken, &input.configuration.policy, input.now).decision {
        RepairDecision::ReplaceWith(vms) => form_group(input.assignment(), spec, members(vms)).ok(),
        RepairDecision::Merge { donor, vms } => {
            form_group(&remove_group(input.assignment(), &donor), spec, members(vms)).ok()
        }
        RepairDecision::Nothing
        | RepairDecision::WaitUntil(_)
        | RepairDecision::MoveToDomain(_) => None,
    }
}

/// Returns whether a group that its domain cannot complete should be formed in another domain.
///
/// The owner knows the members but not the idle VMs of other domains, so it decides as if there
/// were enough. The planner, which knows them, moves the group.
pub(crate) fn should_move(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> bool {
    let unhealthy = unhealthy_members(input, group, spec);
    if unhealthy.iter().any(|it| it.condition == MemberCondition::Leaving) {
        return true;
    }
    let elsewhere = DomainCapacity::new(input.assignment().domain.clone(), spec.size.0);
    let broken = broken_group(input, group, spec, unhealthy, vec![elsewhere]);
    let plan = decide_repair(&broken, &input.configuration.policy, input.now);
    matches!(plan.decision, RepairDecision::MoveToDomain(_))
}

fn broken_group(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
    unhealthy: Vec<UnhealthyMember>,
    other_domains: Vec<DomainCapacity>,
) -> BrokenGroup {
    let works = |vm: &&VmId| !unhealthy.iter().any(|it| it.vm == **vm);
    BrokenGroup {
        group: group.group.clone(),
        size: spec.size,
        accelerators: 1,
        survivors: group.members.iter().filter(works).cloned().collect(),
        unhealthy,
        spares: candidates(input, spec, input.idle_vms()),
        donors: donors(input, group, spec),
        other_domains,
        times: input.repair_times,
    }
}

/// Chooses idle VMs, those with the weights first; `None` if there are too few.
pub(crate) fn choose_idle(
    input: &DomainInput<'_>,
    spec: &GroupSpec,
    needed: usize,
) -> Option<Vec<VmId>> {
    let size = GroupSize(u16::try_from(needed).ok()?);
    choose_members(size, &candidates(input, spec, input.idle_vms()))
}

/// Returns whether a member is lost or leaving.
pub(crate) fn is_unavailable(input: &DomainInput<'_>, vm: &VmId) -> bool {
    input.is_lost(vm) || input.is_leaving(vm)
}

fn candidates(
    input: &DomainInput<'_>,
    spec: &GroupSpec,
    vms: impl Iterator<Item = VmId>,
) -> Vec<MemberCandidate> {
    let has_weights = |vm: &VmId| {
        input.report(vm).is_some_and(|it| it.cached_versions.contains(&spec.model_version))
    };
    let candidates =
        vms.map(|vm| MemberCandidate { has_weights: has_weights(&vm), ..MemberCandidate::new(vm) });
    candidates.collect()
}

/// Returns the members that are lost, leaving or stalled.
fn unhealthy_members(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Vec<UnhealthyMember> {
    let lost_after = lost_after(input, group, spec);
    let is_lost = |vm: &VmId| input.is_lost(vm) || input.probes.is_lost(vm, lost_after);
    let stalled = stalled_since(input, group);
    let unhealthy = group.members.iter().filter_map(|vm| {
        let (condition, since) = if input.is_leaving(vm) {
            (MemberCondition::Leaving, input.now)
        } else if is_lost(vm) {
            (MemberCondition::Missing, input.probes.failing_since(vm).unwrap_or(input.now))
        } else {
            let (_, since) = stalled.iter().find(|(it, _)| it == vm)?;
            (MemberCondition::Missing, *since)
        };
        Some(UnhealthyMember { vm: vm.clone(), condition, since, expected_back: None })
    });
    unhealthy.collect()
}

/// Returns how long members may fail their probes before they are replaced.
///
/// If idle VMs with the weights can replace all of them, a repair is cheap, and waiting longer for
/// members that may only be paused costs more.
fn lost_after(input: &DomainInput<'_>, group: &GroupAssignment, spec: &GroupSpec) -> Duration {
    let failing = group.members.iter().filter(|vm| input.probes.failing_since(vm).is_some());
    let spares = candidates(input, spec, input.idle_vms());
    let warm = spares.iter().filter(|it| it.has_weights);
    match warm.count() >= failing.count() {
        true => input.lost_after_with_spare.min(input.lost_after),
        false => input.lost_after,
    }
}

/// Returns the members that have been stalled for so long that they are replaced, each with the
/// start of its stall.
fn stalled_since(input: &DomainInput<'_>, group: &GroupAssignment) -> Vec<(VmId, Instant)> {
    let Completeness::Incomplete(missing) = input.completeness(group) else { return Vec::new() };
    let limit = input.stall_limit + input.lost_after;
    let stalled = missing.into_iter().filter_map(|it| {
        let MissingReason::Straggler { stalled_ms } = it.reason else { return None };
        let stalled = Duration::from_millis(u64::try_from(stalled_ms).ok()?);
        (stalled >= limit).then(|| Some((it.vm, input.now.checked_sub(stalled)?))).flatten()
    });
    stalled.collect()
}

/// Returns the other groups of the same model version that have lost a member.
///
/// None of their requests can finish, so taking their remaining members aborts no request.
fn donors(input: &DomainInput<'_>, group: &GroupAssignment, spec: &GroupSpec) -> Vec<Donor> {
    let others = input.assignment().groups.iter().filter(|it| {
        let formed = matches!(it.phase, GroupPhase::Loading | GroupPhase::Serving);
        formed && it.group != group.group && it.members.iter().any(|vm| input.is_lost(vm))
    });
    let donors = others.map(|it| {
        let works = |vm: &&VmId| !is_unavailable(input, vm) && input.report(vm).is_some();
        let survivors = it.members.iter().filter(works).cloned();
        let survivors = candidates(input, spec, survivors);
        Donor { group: it.group.clone(), survivors, complete_at: None }
    });
    donors.collect()
}
