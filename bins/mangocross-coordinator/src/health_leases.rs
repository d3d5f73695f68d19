//! Health leases and summaries of the preferred fabric domains, for poll replies.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::Completeness;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::groups_to_move;
use mangocross_coordination::incomplete_groups;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::HealthLease;
use peer_entry::DomainSummary;

use crate::domain_view::DomainView;
use crate::domains::preferred_domains;
use crate::peers::milliseconds;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Returns the health leases of all groups in the preferred domains.
pub(crate) fn health_leases(state: &CoordinatorState, now: Instant) -> Vec<HealthLease> {
    let preferred = preferred_domains(state);
    let assignments = lock(&state.assignments);
    let held = preferred.iter().filter_map(|it| assignments.get(it));
    held.flat_map(|it| domain_leases(state, &it.assignment, now)).collect()
}

fn domain_leases(
    state: &CoordinatorState,
    assignment: &DomainAssignment,
    now: Instant,
) -> Vec<HealthLease> {
    let serving =
        |it: &&GroupAssignment| matches!(it.phase, GroupPhase::Serving | GroupPhase::Draining);
    let groups = assignment.groups.iter().filter(serving);
    groups.filter_map(|it| health_lease(state, assignment, it, now)).collect()
}

fn health_lease(
    state: &CoordinatorState,
    assignment: &DomainAssignment,
    group: &GroupAssignment,
    now: Instant,
) -> Option<HealthLease> {
    let head = group.members.first()?;
    let any_leaving = group.members.iter().any(|it| state.is_leaving(it));
    let engines = lock(&state.engines_by_domain);
    let address = engines.get(&assignment.domain)?.iter().find(|it| it.vm == *head)?.address;
    drop(engines);
    let probes = lock(&state.probes);
    let remaining = match probes.completeness(group, now, state.probe_ttl(), state.stall_limit()) {
        Completeness::Complete { until } => until.duration_since(now),
        Completeness::Incomplete(_) => Duration::ZERO,
    };
    let (sent_at, report) = probes.newest_answer(head)?;
    let load_age = now.duration_since(sent_at) + Duration::from_millis(report.load_age_ms);
    Some(HealthLease {
        group: group.group.clone(),
        domain: assignment.domain.clone(),
        incarnation: group.incarnation,
        fencing_number: assignment.fencing_number,
        model: group.model.clone(),
        model_version: group.model_version.clone(),
        address,
        remaining_ms: milliseconds(remaining),
        accepts_new: group.phase == GroupPhase::Serving && !any_leaving,
        load: report.running + report.queued,
        load_age_ms: milliseconds(load_age),
    })
}

/// Returns the summaries of the preferred domains, with their idle VMs and incomplete groups.
pub(crate) fn summaries(state: &CoordinatorState) -> Vec<DomainSummary> {
    preferred_domains(state).iter().filter_map(|it| summary(state, it)).collect()
}

fn summary(state: &CoordinatorState, domain: &FabricDomain) -> Option<DomainSummary> {
    let view = DomainView::snapshot(state, domain)?;
    let input = view.input(OrderAuthority::None);
    let count = |it: usize| u16::try_from(it).unwrap_or(u16::MAX);
    let healthy = view.engines.iter().filter(|it| !it.leaving);
    let healthy = healthy.filter(|it| input.report(&it.vm).is_some());
    Some(DomainSummary {
        domain: domain.clone(),
        idle_vms: count(input.idle_vms().count()),
        healthy_vms: count(healthy.count()),
        // The wire's `stuck_groups` are those to move; all that cannot be completed here are
        // `incomplete_groups`.
        stuck_groups: groups_to_move(&input),
        incomplete_groups: incomplete_groups(&input),
    })
}
