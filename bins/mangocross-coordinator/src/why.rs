//! Explains why a group serves or not, and why a VM is in use or not.

use std::time::Duration;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::Completeness;
use mangocross_coordination::DomainInput;
use mangocross_coordination::OrderAuthority;
use mangocross_operator::OperatorAnswer;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::FabricDomain;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::GroupPhase;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::domain_view::DomainView;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Explains why a group serves or does not.
pub(crate) fn why_group(
    state: &CoordinatorState,
    group: &GroupId,
    answer: OperatorAnswer,
) -> Result<OperatorAnswer, Refusal> {
    let configuration = state.configuration();
    let spec = configuration.group(group).ok_or_else(|| {
        let text = format!("there is no group {group}; `show groups` lists them");
        Refusal::not_run(ResultCode::NotFound, text)
    })?;
    let mut reasons = vec![format!("operators want it {:?}", spec.desired).to_lowercase()];
    let placement = lock(&state.placements).0.of(group).cloned();
    match &placement {
        None => reasons.push(format!("no fabric domain has {} idle VMs", spec.size)),
        Some(it) => reasons.push(format!("it belongs in fabric domain {}", it.domain)),
    }
    if let Some(old) = placement.and_then(|it| it.moving_from) {
        reasons.push(format!("it moves there from {old}, which serves it until then"));
    }
    if let Some(chosen) = spec.domain.as_ref().filter(|it| !belongs_in(state, group, it)) {
        reasons
            .push(format!("operators chose {chosen}, which does not have {} idle VMs", spec.size));
    }
    for (held, assigned) in assigned_groups(state, group) {
        let assignment = &held.assignment;
        reasons.push(format!(
            "incarnation {} is {:?} in {}, owned by {}",
            assigned.incarnation,
            assigned.phase,
            assignment.domain,
            assignment.owner.as_ref().map_or("nobody", VmId::as_str),
        ));
        reasons.extend(member_reasons(state, &held, &assigned));
    }
    let rows = reasons.into_iter().map(|it| vec![it]).collect();
    Ok(answer.table(&["reason"], rows))
}

/// Explains why a VM is in use or not.
pub(crate) fn why_vm(
    state: &CoordinatorState,
    vm: &VmId,
    answer: OperatorAnswer,
) -> OperatorAnswer {
    let engines = lock(&state.engines_by_domain).clone();
    let listed = engines.iter().find(|(_, vms)| vms.iter().any(|it| it.vm == *vm));
    let reasons = match listed {
        None => vec!["the platform's list does not contain it".to_owned()],
        Some((domain, _)) => vm_reasons(state, vm, domain),
    };
    answer.table(&["reason"], reasons.into_iter().map(|it| vec![it]).collect())
}

fn vm_reasons(state: &CoordinatorState, vm: &VmId, domain: &FabricDomain) -> Vec<String> {
    let mut reasons = Vec::new();
    if state.configuration().leaving_vms.contains(vm) {
        reasons.push("it is leaving, as operators requested; `resume vm` reverts that".to_owned());
    }
    if lock(&state.leaving).is_leaving(vm, state.clock.now()) {
        let minutes = state.settings.leaving_kept_ms / 60_000;
        reasons.push(format!(
            "it is leaving, as the platform or the VM itself reported in the last {minutes} minutes"
        ));
    }
    let group = group_of(state, vm);
    if let Some(group) = &group {
        reasons.push(format!("it is a member of group {group}"));
    }
    match DomainView::snapshot(state, domain) {
        None => reasons.push(format!("this node does not know the assignment of {domain} yet")),
        Some(view) if !is_own(state, &view.held) => {
            let owner = view.held.assignment.owner.as_ref().map_or("nobody", VmId::as_str);
            reasons.push(format!("{owner} probes it and has the details"));
        }
        Some(view) => reasons.extend(probe_reasons(&view, vm, group.is_some())),
    }
    reasons
}

/// Returns the reasons that the probes of an owned domain give for a VM's state.
fn probe_reasons(view: &DomainView<'_>, vm: &VmId, in_group: bool) -> Vec<String> {
    let input = view.input(OrderAuthority::None);
    let mut reasons = Vec::new();
    if input.is_lost(vm) {
        reasons.push("it has failed all probes for so long that it counts as lost".to_owned());
    }
    match input.report(vm) {
        None => reasons.push("it does not answer probes now".to_owned()),
        Some(report) if in_group => {
            reasons.push(format!("it is {:?}", report.state).to_lowercase())
        }
        Some(report) => match &report.group {
            Some(group) => {
                reasons.push(format!("it still reports group {group} and is ordered to leave it"))
            }
            None if report.state == EngineState::Preloading => reasons.push(
                "it is idle and fetches weights that a group here may need from it".to_owned(),
            ),
            None => reasons.push(
                "it is idle: no group that is wanted here needs it, or too few others are idle"
                    .to_owned(),
            ),
        },
    }
    reasons
}

/// Returns the state of the members of an assigned group, as known to this node.
fn member_reasons(
    state: &CoordinatorState,
    held: &AssignmentCopy,
    group: &GroupAssignment,
) -> Vec<String> {
    if !is_own(state, held) {
        return vec!["ask its owner for the state of its members".to_owned()];
    }
    let Some(view) = DomainView::snapshot(state, &held.assignment.domain) else {
        return vec!["the configuration or the placements are not known here yet".to_owned()];
    };
    let input = view.input(OrderAuthority::None);
    let mut reasons = match input.completeness(group) {
        Completeness::Complete { .. } => vec!["every member is present".to_owned()],
        Completeness::Incomplete(missing) => {
            missing.iter().map(|it| format!("member {} {}", it.vm, it.reason)).collect()
        }
    };
    for vm in group.members.iter().filter(|it| input.is_leaving(it)) {
        reasons.push(format!("member {vm} is leaving, so the group takes nothing new"));
    }
    for vm in group.members.iter().filter(|it| input.is_lost(it)) {
        reasons.push(format!("member {vm} counts as lost"));
    }
    if view.is_stuck(&group.group) {
        reasons.push("this fabric domain has too few idle VMs to complete it".to_owned());
    }
    if group.phase == GroupPhase::Draining {
        reasons.extend(drain_reason(&input, group));
    }
    reasons.extend(authority_reason(&view));
    reasons
}

/// Returns what a draining group waits for.
fn drain_reason(input: &DomainInput<'_>, group: &GroupAssignment) -> Option<String> {
    let head = group.members.first()?;
    let Some(report) = input.report(head) else {
        return Some(format!("{head} does not answer, so its requests may still run"));
    };
    if report.role == EngineRole::Serving {
        return Some(format!(
            "{head} was ordered to refuse new requests and has not confirmed it yet"
        ));
    }
    let requests = report.running + report.queued;
    let age = Duration::from_millis(report.load_age_ms);
    Some(format!("{head} had {requests} requests {} ms before its last report", age.as_millis()))
}

fn authority_reason(view: &DomainView<'_>) -> Option<String> {
    match view.authority() {
        OrderAuthority::Full { .. } => None,
        OrderAuthority::None => {
            Some("orders of the previous owner may still be in transit; no order is given yet".to_owned())
        }
        OrderAuthority::IdleOnly => Some(
            "the owner asks the store for a confirmation before its next order; without one, only idle engines are given orders"
                .to_owned(),
        ),
    }
}

fn is_own(state: &CoordinatorState, held: &AssignmentCopy) -> bool {
    held.is_owned_by(&state.settings.vm, state.process_id)
}

fn belongs_in(state: &CoordinatorState, group: &GroupId, domain: &FabricDomain) -> bool {
    lock(&state.placements).0.domain_of(group) == Some(domain)
}

/// Returns the assignments of a group in each fabric domain that has it; two during a move.
fn assigned_groups(
    state: &CoordinatorState,
    group: &GroupId,
) -> Vec<(AssignmentCopy, GroupAssignment)> {
    let assignments = lock(&state.assignments);
    let assigned = assignments.values().filter_map(|it| {
        let found = it.assignment.groups.iter().find(|assigned| assigned.group == *group)?;
        Some((it.clone(), found.clone()))
    });
    assigned.collect()
}

fn group_of(state: &CoordinatorState, vm: &VmId) -> Option<GroupId> {
    let assignments = lock(&state.assignments);
    let mut groups = assignments.values().flat_map(|it| &it.assignment.groups);
    groups.find(|it| it.members.contains(vm)).map(|it| it.group.clone())
}
