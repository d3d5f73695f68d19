//! The orders that bring engines in line with the assignment.

use mangocross_types::BackendReport;
use mangocross_types::EngineRole;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSize;
use mangocross_types::OrderKind;
use mangocross_types::Rank;

use crate::DomainInput;
use crate::EngineVm;
use crate::OrderAuthority;
use crate::ReconcileStep;
use crate::completeness::is_member;

/// Returns the orders that are due and that the owner's authority permits.
pub(crate) fn orders(input: &DomainInput<'_>) -> Vec<ReconcileStep> {
    match input.authority {
        OrderAuthority::None => Vec::new(),
        OrderAuthority::Full { .. } => all_orders(input).collect(),
        OrderAuthority::IdleOnly if is_superseded(input) => Vec::new(),
        OrderAuthority::IdleOnly => {
            all_orders(input).filter(|it| is_load_of_idle_engine(input, it)).collect()
        }
    }
}

fn all_orders<'a>(input: &DomainInput<'a>) -> impl Iterator<Item = ReconcileStep> + use<'a> {
    let input = *input;
    let groups = input.assignment().groups.iter().flat_map(move |it| group_orders(&input, it));
    groups.chain(orphan_orders(input))
}

/// Returns whether an engine reports a later owner or a later group than the assignment.
fn is_superseded(input: &DomainInput<'_>) -> bool {
    let mut reports = input.engines.iter().filter_map(|it| input.report(&it.vm));
    reports.any(|it| {
        let later_group =
            it.group.is_some() && it.incarnation >= input.assignment().next_incarnation;
        later_group || it.fencing_number > input.assignment().fencing_number
    })
}

/// Returns whether a step is a load of an engine that is in no group.
fn is_load_of_idle_engine(input: &DomainInput<'_>, step: &ReconcileStep) -> bool {
    let ReconcileStep::Order { vm, kind: OrderKind::Load { .. } } = step else { return false };
    input.report(vm).is_some_and(|it| it.group.is_none())
}

fn group_orders(input: &DomainInput<'_>, group: &GroupAssignment) -> Vec<ReconcileStep> {
    let members = (0..).map(Rank).zip(&group.members);
    let orders = members.filter_map(|(rank, vm)| {
        let kind = member_order(group, rank, input.report(vm)?)?;
        Some(ReconcileStep::Order { vm: vm.clone(), kind })
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

/// Returns unload orders for VMs that are assigned to no group but report one.
///
/// A VM that another domain may hold gets no order, since its group may belong to that domain.
fn orphan_orders<'a>(input: DomainInput<'a>) -> impl Iterator<Item = ReconcileStep> + use<'a> {
    let in_no_group = move |it: &&EngineVm| !input.is_assigned(&it.vm) && input.may_use(&it.vm);
    input.engines.iter().filter(in_no_group).filter_map(move |it| {
        let report = input.report(&it.vm)?;
        let group = report.group.clone()?;
        let kind = OrderKind::Unload { group, incarnation: report.incarnation };
        Some(ReconcileStep::Order { vm: it.vm.clone(), kind })
    })
}
