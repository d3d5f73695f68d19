//! Answers queries about what is serving, where and why.

use std::time::Instant;

use mangocross_operator::OperatorAnswer;
use mangocross_operator::Query;
use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::KindTarget;
use mangocross_types::OperatorId;
use mangocross_types::RecentCommand;
use mangocross_types::Refusal;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::failures;
use crate::state::CoordinatorState;
use crate::state::lock;
use crate::why;

pub(crate) fn answer(state: &CoordinatorState, query: &Query) -> Result<OperatorAnswer, Refusal> {
    let revision = state.node.in_force_revision();
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
        Query::WhyGroup(group) => why::why_group(state, group, answer),
        Query::WhyVm(vm) => Ok(why::why_vm(state, vm, answer)),
        Query::WhyRequest(request) => failures::why_request(state, request, answer),
    }
}

fn show_groups(state: &CoordinatorState, answer: OperatorAnswer) -> OperatorAnswer {
    let configuration = state.configuration();
    let rows = configuration.groups.iter().map(|spec| {
        let assigned = find(state, &spec.id);
        let (domain, phase, members) = match &assigned {
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
    let row = |vm: &VmId,
               process: &str,
               revision: Revision,
               process_state: &str,
               received_at: Instant| {
        let report_age = format!("{} ms ago", now.duration_since(received_at).as_millis());
        vec![
            vm.to_string(),
            process.to_owned(),
            revision.to_string(),
            process_state.to_owned(),
            report_age,
        ]
    };
    let own = state.node.freshness_lease(now);
    let lease_state = |established: bool| if established { "vouches" } else { "starting" };
    let mut rows = vec![row(
        &state.settings.vm,
        "coordinator",
        own.newest_known,
        lease_state(own.established),
        now,
    )];
    for (vm, it) in lock(&state.peers).iter() {
        rows.push(row(vm, "coordinator", it.newest_known, lease_state(it.established), it.sent_at));
    }
    for (vm, it) in lock(&state.gateways).all() {
        rows.push(row(vm, "gateway", it.revision, "in force", it.age_counts_from));
    }
    rows.sort();
    answer.table(&["entry vm", "process", "revision", "state", "heard"], rows)
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
    let row = |it: &RecentCommand| {
        let operator = it.operator.as_ref().map_or("-", OperatorId::as_str);
        vec![it.id.to_string(), it.based_on.to_string(), operator.to_owned(), it.text.clone()]
    };
    answer.table(&["command id", "based on", "operator", "command"], commands.map(row).collect())
}

fn find(state: &CoordinatorState, group: &GroupId) -> Option<(DomainAssignment, GroupAssignment)> {
    let assignments = lock(&state.assignments);
    assignments.values().find_map(|it| {
        let found = it.assignment.groups.iter().find(|assigned| assigned.group == *group)?;
        Some((it.assignment.clone(), found.clone()))
    })
}

fn group_of(state: &CoordinatorState, vm: &VmId) -> Option<GroupId> {
    let assignments = lock(&state.assignments);
    let mut groups = assignments.values().flat_map(|it| &it.assignment.groups);
    groups.find(|it| it.members.contains(vm)).map(|it| it.group.clone())
}
