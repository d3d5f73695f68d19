//! Answers questions about what is serving, where and why.

use mangocross_coordination::Completeness;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::Query;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::KindTarget;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::failures;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Answers one question.
pub(crate) fn answer(state: &CoordinatorState, query: &Query) -> Result<OperatorAnswer, Refusal> {
    let revision = state.freshness().in_force();
    let answer = OperatorAnswer::message(revision, format!("configuration revision {revision}"));
    match query {
        Query::ShowGroups => Ok(show_groups(state, answer)),
        Query::ShowVms => Ok(show_vms(state, answer)),
        Query::ShowNodes => Ok(show_nodes(state, answer)),
        Query::ShowCustomers => Ok(show_customers(state, answer)),
        Query::ShowKinds => Ok(show_kinds(state, answer)),
        Query::ShowServices => Ok(show_services(state, answer)),
        Query::ShowCommands => Ok(show_commands(state, answer)),
        Query::ShowConfiguration => {
            let text = serde_json::to_string_pretty(state.configuration().as_ref());
            Ok(OperatorAnswer::message(revision, text.unwrap_or_default()))
        }
        Query::WhyGroup(group) => why_group(state, group, answer),
        Query::WhyVm(vm) => Ok(why_vm(state, vm, answer)),
        Query::WhyRequest(request) => failures::why_request(state, request, answer),
    }
}

fn show_groups(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let rows = configuration.groups.iter().map(|spec| {
        let placed = find(state, &spec.id);
        let (domain, phase, members) = match &placed {
            None => ("-".to_owned(), "not placed".to_owned(), "-".to_owned()),
            Some((assignment, group)) => (
                assignment.domain.to_string(),
                format!("{:?}", group.phase).to_lowercase(),
                group.members.iter().map(VmId::as_str).collect::<Vec<_>>().join(" "),
            ),
        };
        let desired = format!("{:?}", spec.desired).to_lowercase();
        vec![spec.id.to_string(), spec.model.to_string(), desired, phase, domain, members]
    });
    answer.table(&["group", "model", "wanted", "phase", "domain", "members"], rows.collect())
}

fn show_vms(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let engines = lock(&state.engines_by_domain).clone();
    let mut rows = Vec::new();
    for (domain, vms) in &engines {
        for it in vms {
            let leaving = if it.leaving { "leaving" } else { "live" };
            let group = group_of(state, &it.vm).map_or("-".to_owned(), |it| it.to_string());
            rows.push(vec![it.vm.to_string(), domain.to_string(), leaving.to_owned(), group]);
        }
    }
    answer.table(&["vm", "domain", "state", "group"], rows)
}

fn show_nodes(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let now = state.clock.now();
    let gateways = lock(&state.gateways);
    let rows = gateways.iter().map(|(vm, it)| {
        let heard = now.duration_since(it.heard_at).as_millis();
        vec![vm.to_string(), it.revision.to_string(), format!("{heard} ms ago")]
    });
    let mut rows: Vec<Vec<String>> = rows.collect();
    rows.sort();
    answer.table(&["gateway", "revision in force", "heard"], rows)
}

fn show_customers(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let rows = configuration.customers.iter().map(|it| {
        vec![
            it.id.to_string(),
            it.requests_per_second.to_string(),
            it.in_flight_max.to_string(),
            it.priority.to_string(),
        ]
    });
    answer.table(&["customer", "requests per second", "in flight", "priority"], rows.collect())
}

fn show_kinds(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let rows = configuration.kinds.iter().map(|it| {
        let target = match &it.target {
            KindTarget::Model(model) => format!("model {model}"),
            KindTarget::Service(service) => format!("service {service}"),
        };
        let idempotent = if it.idempotent { "yes" } else { "no" };
        vec![
            it.id.to_string(),
            target,
            idempotent.to_owned(),
            it.priority.to_string(),
            format!("{} ms", it.deadline_ms),
        ]
    });
    answer.table(&["kind", "goes to", "idempotent", "priority", "deadline"], rows.collect())
}

fn show_services(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let rows = configuration.services.iter().map(|it| {
        let servers: Vec<String> = it.backend_servers.iter().map(ToString::to_string).collect();
        let servers = if servers.is_empty() { "listed".to_owned() } else { servers.join(" ") };
        vec![it.id.to_string(), servers]
    });
    answer.table(&["service", "backend servers"], rows.collect())
}

fn show_commands(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let commands = configuration.recent_commands.iter().rev();
    let rows = commands
        .map(|it| vec![it.id.to_string(), it.based_on.to_string(), it.text.clone()])
        .collect();
    answer.table(&["command id", "based on", "command"], rows)
}

fn why_group(
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
    match lock(&state.placements).0.domain_of(group) {
        None => reasons.push(format!("no fabric domain has {} idle VMs", spec.size)),
        Some(domain) => reasons.push(format!("it belongs in fabric domain {domain}")),
    }
    if let Some((assignment, placed)) = find(state, group) {
        reasons.push(format!(
            "incarnation {} is {:?} in {}, looked after by {}",
            placed.incarnation,
            placed.phase,
            assignment.domain,
            assignment.owner.as_ref().map_or("nobody", VmId::as_str),
        ));
        reasons.extend(missing(state, &assignment, &placed));
    }
    let rows = reasons.into_iter().map(|it| vec![it]).collect();
    Ok(answer.table(&["reason"], rows))
}

fn missing(
    state: &CoordinatorState,
    assignment: &DomainAssignment,
    group: &GroupAssignment,
) -> Vec<String> {
    if assignment.owner.as_ref() != Some(&state.settings.vm) {
        return vec!["ask its owner for the state of its members".to_owned()];
    }
    let probes = lock(&state.probes);
    match probes.check(group, state.clock.now(), state.probe_ttl(), state.stall_limit()) {
        Completeness::Complete { .. } => vec!["every member is there".to_owned()],
        Completeness::Incomplete(missing) => {
            missing.iter().map(|it| format!("member {} {}", it.vm, it.reason)).collect()
        }
    }
}

fn why_vm(state: &CoordinatorState, vm: &VmId, answer: OperatorAnswer) -> OperatorAnswer {
    let engines = lock(&state.engines_by_domain).clone();
    let listed = engines.values().flatten().find(|it| it.vm == *vm);
    let reason = match (listed, group_of(state, vm)) {
        (None, _) => "the platform's list does not name it".to_owned(),
        (Some(it), None) if it.leaving => "it is leaving and receives no new work".to_owned(),
        (Some(_), None) => "it is idle: no group that is wanted needs it".to_owned(),
        (Some(_), Some(group)) => format!("it is a member of group {group}"),
    };
    answer.table(&["reason"], vec![vec![reason]])
}

fn find(state: &CoordinatorState, group: &GroupId) -> Option<(DomainAssignment, GroupAssignment)> {
    let assignments = lock(&state.assignments);
    assignments.values().find_map(|it| {
        let found = it.assignment.groups.iter().find(|placed| placed.group == *group)?;
        Some((it.assignment.clone(), found.clone()))
    })
}

fn group_of(state: &CoordinatorState, vm: &VmId) -> Option<GroupId> {
    let assignments = lock(&state.assignments);
    let mut groups = assignments.values().flat_map(|it| &it.assignment.groups);
    groups.find(|it| it.members.contains(vm)).map(|it| it.group.clone())
}
