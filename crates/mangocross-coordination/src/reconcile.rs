//! What a fabric domain's owner does next.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSize;
use mangocross_types::GroupSpec;
use mangocross_types::OrderKind;
use mangocross_types::Placements;
use mangocross_types::Rank;
use mangocross_types::VmId;

use crate::Completeness;
use crate::ProbeTable;
use crate::form_group;
use crate::remove_group;
use crate::set_phase;

/// A VM with a model engine in the fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineVm {
    /// The VM.
    pub vm: VmId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Whether it must receive no new work.
    pub leaving: bool,
}

/// Everything that the decision rests on.
#[derive(Debug, Clone, Copy)]
pub struct DomainInput<'a> {
    /// The assignment as last read or written.
    pub assignment: &'a DomainAssignment,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Where groups belong.
    pub placements: &'a Placements,
    /// Engines of the fabric domain.
    pub engines: &'a [EngineVm],
    /// The newest probes.
    pub probes: &'a ProbeTable,
    /// The time.
    pub now: Instant,
    /// How long an answer to a probe counts.
    pub probe_ttl: Duration,
    /// How long a member with work may make no progress.
    pub stall_limit: Duration,
}

/// A step of the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this assignment by compare-and-swap before anything else.
    Swap(DomainAssignment),
    /// Give a VM an order.
    Order {
        /// The VM.
        vm: VmId,
        /// What is asked.
        kind: OrderKind,
    },
}

/// Decides the next steps: at most one swap, or any number of orders.
///
/// A swap comes alone, since orders follow from what is stored.
pub fn reconcile(input: &DomainInput<'_>) -> Vec<Step> {
    if let Some(next) = next_assignment(input) {
        return vec![Step::Swap(next)];
    }
    let mut steps: Vec<Step> =
        input.assignment.groups.iter().flat_map(|it| group_orders(input, it)).collect();
    steps.extend(residue_orders(input));
    steps
}

fn next_assignment(input: &DomainInput<'_>) -> Option<DomainAssignment> {
    let changed = input.assignment.groups.iter().find_map(|it| next_of_group(input, it));
    changed.or_else(|| input.configuration.groups.iter().find_map(|it| form_new(input, it)))
}

/// Returns the group's specification if the group should be loaded in this domain.
fn wanted<'a>(input: &DomainInput<'a>, group: &GroupAssignment) -> Option<&'a GroupSpec> {
    let spec = input.configuration.group(&group.group)?;
    let here = input.placements.domain_of(&group.group) == Some(&input.assignment.domain);
    let same = spec.model_version == group.model_version
        && usize::from(spec.size.0) == group.members.len();
    (here && same && spec.desired != DesiredState::Stopped).then_some(spec)
}

fn next_of_group(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<DomainAssignment> {
    let Some(spec) = wanted(input, group) else { return next_of_unwanted(input, group) };
    let drained = spec.desired == DesiredState::Drained;
    let complete = matches!(check(input, group), Completeness::Complete { .. });
    let phase = match group.phase {
        GroupPhase::Loading if complete => GroupPhase::Serving,
        GroupPhase::Loading => return repair(input, group, spec),
        GroupPhase::Serving if drained => GroupPhase::Draining,
        GroupPhase::Serving if !complete => return repair(input, group, spec),
        GroupPhase::Draining if !drained => GroupPhase::Serving,
        _ => return None,
    };
    set_phase(input.assignment, &group.group, phase).ok()
}

fn next_of_unwanted(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<DomainAssignment> {
    let phase = match group.phase {
        GroupPhase::Loading => GroupPhase::Unloading,
        GroupPhase::Serving => GroupPhase::Draining,
        GroupPhase::Draining if is_idle(input, group) => GroupPhase::Unloading,
        GroupPhase::Unloading if !is_reported(input, group) => {
            return Some(remove_group(input.assignment, &group.group));
        }
        _ => return None,
    };
    set_phase(input.assignment, &group.group, phase).ok()
}

/// Forms the group anew without the members that cannot come back.
fn repair(
    input: &DomainInput<'_>,
    group: &GroupAssignment,
    spec: &GroupSpec,
) -> Option<DomainAssignment> {
    let healthy = |vm: &VmId| input.probes.report(vm, input.now, input.probe_ttl).is_some();
    let leaving = |vm: &VmId| input.engines.iter().any(|it| it.vm == *vm && it.leaving);
    let (mut members, lost): (Vec<VmId>, Vec<VmId>) =
        group.members.iter().cloned().partition(|vm| healthy(vm) && !leaving(vm));
    if lost.is_empty() {
        return None;
    }
    members.extend(idle_vms(input).take(lost.len()));
    form_group(input.assignment, spec, members).ok()
}

fn form_new(input: &DomainInput<'_>, spec: &GroupSpec) -> Option<DomainAssignment> {
    let here = input.placements.domain_of(&spec.id) == Some(&input.assignment.domain);
    let there = input.assignment.groups.iter().any(|it| it.group == spec.id);
    if !here || there || spec.desired != DesiredState::Serving {
        return None;
    }
    let members: Vec<VmId> = idle_vms(input).take(spec.size.0.into()).collect();
    form_group(input.assignment, spec, members).ok()
}

/// Returns the VMs that say that they are in no group, and are in none.
fn idle_vms<'a>(input: &DomainInput<'a>) -> impl Iterator<Item = VmId> + use<'a> {
    let input = *input;
    let assigned =
        move |vm: &VmId| input.assignment.groups.iter().any(|it| it.members.contains(vm));
    let idle = move |it: &&EngineVm| {
        let report = input.probes.report(&it.vm, input.now, input.probe_ttl);
        let says_idle = report.is_some_and(|it| it.state == EngineState::Idle);
        says_idle && !it.leaving && !assigned(&it.vm)
    };
    input.engines.iter().filter(idle).map(|it| it.vm.clone())
}

fn check(input: &DomainInput<'_>, group: &GroupAssignment) -> Completeness {
    input.probes.check(group, input.now, input.probe_ttl, input.stall_limit)
}

/// Returns whether rank zero refuses new requests and has none, or is gone.
///
/// The load must have been measured after the role was reported, since load
/// reports lag.
fn is_idle(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let Some(vm) = group.members.first() else { return true };
    let Some(report) = input.probes.report(vm, input.now, input.probe_ttl) else { return true };
    if !is_member(report, group) {
        return true;
    }
    report.role == EngineRole::Draining
        && report.running == 0
        && report.queued == 0
        && report.load_age_ms == 0
}

fn is_member(report: &BackendReport, group: &GroupAssignment) -> bool {
    report.group.as_ref() == Some(&group.group) && report.incarnation == group.incarnation
}

/// Returns whether any member still reports the group.
fn is_reported(input: &DomainInput<'_>, group: &GroupAssignment) -> bool {
    let reports = group.members.iter();
    let mut reports = reports.filter_map(|vm| input.probes.report(vm, input.now, input.probe_ttl));
    reports.any(|it| is_member(it, group))
}

fn group_orders(input: &DomainInput<'_>, group: &GroupAssignment) -> Vec<Step> {
    let members = (0..).map(Rank).zip(&group.members);
    let orders = members.filter_map(|(rank, vm)| {
        let report = input.probes.report(vm, input.now, input.probe_ttl)?;
        let kind = member_order(group, rank, report)?;
        Some(Step::Order { vm: vm.clone(), kind })
    });
    orders.collect()
}

fn member_order(group: &GroupAssignment, rank: Rank, report: &BackendReport) -> Option<OrderKind> {
    let same = is_member(report, group);
    match group.phase {
        GroupPhase::Loading | GroupPhase::Serving if !same => Some(OrderKind::Load {
            group: group.group.clone(),
            incarnation: group.incarnation,
            rank,
            size: GroupSize(u16::try_from(group.members.len()).ok()?),
            model: group.model.clone(),
            model_version: group.model_version.clone(),
        }),
        GroupPhase::Serving if report.role == EngineRole::Draining => {
            Some(change_role(group, EngineRole::Serving))
        }
        GroupPhase::Draining if same && report.role == EngineRole::Serving => {
            Some(change_role(group, EngineRole::Draining))
        }
        GroupPhase::Unloading if same => {
            Some(OrderKind::Unload { group: group.group.clone(), incarnation: group.incarnation })
        }
        _ => None,
    }
}

fn change_role(group: &GroupAssignment, role: EngineRole) -> OrderKind {
    OrderKind::ChangeRole { group: group.group.clone(), incarnation: group.incarnation, role }
}

/// Orders VMs that belong to no group to leave the one that they report.
fn residue_orders<'a>(input: &DomainInput<'a>) -> impl Iterator<Item = Step> + use<'a> {
    let input = *input;
    let in_no_group = move |it: &&EngineVm| {
        !input.assignment.groups.iter().any(|group| group.members.contains(&it.vm))
    };
    input.engines.iter().filter(in_no_group).filter_map(move |it| {
        let report = input.probes.report(&it.vm, input.now, input.probe_ttl)?;
        let group = report.group.clone()?;
        let kind = OrderKind::Unload { group, incarnation: report.incarnation };
        Some(Step::Order { vm: it.vm.clone(), kind })
    })
}
