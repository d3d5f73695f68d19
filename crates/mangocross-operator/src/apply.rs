//! Applies a change to a configuration.

use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::CustomerSpec;
use mangocross_types::DesiredState;
use mangocross_types::GroupId;
use mangocross_types::GroupSpec;
use mangocross_types::KindSpec;
use mangocross_types::Priority;
use mangocross_types::RequestKind;
use mangocross_types::ResultCode;
use mangocross_types::ServiceId;
use mangocross_types::ServiceSpec;
use mangocross_types::did_you_mean;
use snafu::Snafu;

use crate::Change;
use crate::check_configuration;
use crate::command::Audience;
use crate::command::CustomerChange;
use crate::command::KindChange;
use crate::command::PolicyChange;

/// A change that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code}: {message}"))]
pub struct CommandError {
    /// Result code.
    pub code: ResultCode,
    /// What is wrong and how to correct it.
    pub message: String,
}

/// Returns the validated configuration after a change.
///
/// # Errors
///
/// Fails if the change refers to something that does not exist, or if its result is invalid.
pub fn apply(
    configuration: &Configuration,
    change: &Change,
) -> Result<Configuration, CommandError> {
    let mut next = configuration.clone();
    match change {
        Change::StartGroup { .. } => start_group(&mut next, change),
        Change::DrainGroup(group) => find_group(&mut next, group)?.desired = DesiredState::Drained,
        Change::ResumeGroup(group) => find_group(&mut next, group)?.desired = DesiredState::Serving,
        Change::StopGroup(group) => find_group(&mut next, group)?.desired = DesiredState::Stopped,
        Change::MoveGroup { group, domain } => {
            find_group(&mut next, group)?.domain = Some(domain.clone());
        }
        Change::SetGroup { group, audience } => {
            set_audience(find_group(&mut next, group)?, audience);
        }
        Change::RemoveGroup(group) => remove_group(&mut next, group)?,
        Change::SetCustomer { customer, settings } => set_customer(&mut next, customer, settings)?,
        Change::RemoveCustomer(customer) => {
            remove("customer", "customers", &mut next.customers, customer.as_str(), |it| {
                it.id.as_str()
            })?;
        }
        Change::SetKind { kind, settings } => set_kind(&mut next, kind, settings)?,
        Change::RemoveKind(kind) => {
            remove("request kind", "kinds", &mut next.kinds, kind.as_str(), |it| it.id.as_str())?;
        }
        Change::SetService { service, backend_servers } => {
            let id = service.clone();
            let spec = ServiceSpec { id, backend_servers: backend_servers.clone() };
            set_service(&mut next, service, spec);
        }
        Change::RemoveService(service) => {
            remove("service", "services", &mut next.services, service.as_str(), |it| {
                it.id.as_str()
            })?;
        }
        Change::SetPolicy(settings) => set_policy(&mut next, settings),
        Change::SetFence(mode) => next.fence_mode = *mode,
        Change::DrainVm(vm) if !next.leaving_vms.contains(vm) => next.leaving_vms.push(vm.clone()),
        Change::DrainVm(_) => {}
        Change::ResumeVm(vm) => next.leaving_vms.retain(|it| it != vm),
        Change::RemoveNode(vm) => {
            remove("entry VM", "nodes", &mut next.entry_vms, vm.as_str(), |it| it.vm.as_str())?;
        }
    }
    check_configuration(&next)?;
    Ok(next)
}

/// Adds a group, or replaces the one of the same name and keeps its audience unless a new one is
/// given.
fn start_group(next: &mut Configuration, change: &Change) {
    let Change::StartGroup { group, model, model_version, size, domain, audience } = change else {
        return;
    };
    let before = next.group(group).cloned();
    let (customers, kinds) = before.map(|it| (it.customers, it.kinds)).unwrap_or_default();
    let mut spec = GroupSpec {
        id: group.clone(),
        model: model.clone(),
        model_version: model_version.clone(),
        size: *size,
        desired: DesiredState::Serving,
        domain: domain.clone(),
        customers,
        kinds,
    };
    set_audience(&mut spec, audience);
    next.groups.retain(|it| it.id != *group);
    next.groups.push(spec);
}

fn set_audience(spec: &mut GroupSpec, audience: &Audience) {
    if let Some(customers) = &audience.customers {
        spec.customers.clone_from(customers);
    }
    if let Some(kinds) = &audience.kinds {
        spec.kinds.clone_from(kinds);
    }
}

fn remove_group(next: &mut Configuration, group: &GroupId) -> Result<(), CommandError> {
    if find_group(next, group)?.desired != DesiredState::Stopped {
        let message = format!("group {group} is not stopped; write `stop group {group}` first");
        return Err(CommandError { code: ResultCode::ConfigurationInvalid, message });
    }
    next.groups.retain(|it| it.id != *group);
    Ok(())
}

fn set_customer(
    next: &mut Configuration,
    customer: &CustomerId,
    settings: &CustomerChange,
) -> Result<(), CommandError> {
    let present = next.customers.iter().position(|it| it.id == *customer);
    let mut spec = match (present, settings.requests_per_second, settings.in_flight_max) {
        (Some(index), _, _) => next.customers[index].clone(),
        (None, Some(requests_per_second), Some(in_flight_max)) => CustomerSpec {
            id: customer.clone(),
            requests_per_second,
            in_flight_max,
            priority: Priority(0),
        },
        (None, _, _) => {
            let ids = next.customers.iter().map(|it| it.id.as_str());
            let hint = did_you_mean(customer.as_str(), ids);
            let message = format!(
                "customer {customer} is new; name its requests-per-second and in-flight{hint}"
            );
            return Err(CommandError { code: ResultCode::ConfigurationInvalid, message });
        }
    };
    spec.requests_per_second = settings.requests_per_second.unwrap_or(spec.requests_per_second);
    spec.in_flight_max = settings.in_flight_max.unwrap_or(spec.in_flight_max);
    spec.priority = settings.priority.unwrap_or(spec.priority);
    match present {
        Some(index) => next.customers[index] = spec,
        None => next.customers.push(spec),
    }
    Ok(())
}

fn set_kind(
    next: &mut Configuration,
    kind: &RequestKind,
    settings: &KindChange,
) -> Result<(), CommandError> {
    let present = next.kinds.iter().position(|it| it.id == *kind);
    let mut spec = match (present, &settings.target, settings.idempotent, settings.deadline_ms) {
        (Some(index), ..) => next.kinds[index].clone(),
        (None, Some(target), Some(idempotent), Some(deadline_ms)) => KindSpec {
            id: kind.clone(),
            target: target.clone(),
            idempotent,
            priority: Priority(0),
            deadline_ms,
        },
        (None, ..) => {
            let hint = did_you_mean(kind.as_str(), next.kinds.iter().map(|it| it.id.as_str()));
            let message = format!(
                "request kind {kind} is new; name its model or service, idempotent or non-idempotent, and deadline-ms{hint}"
            );
            return Err(CommandError { code: ResultCode::ConfigurationInvalid, message });
        }
    };
    spec.target = settings.target.clone().unwrap_or(spec.target);
    spec.idempotent = settings.idempotent.unwrap_or(spec.idempotent);
    spec.priority = settings.priority.unwrap_or(spec.priority);
    spec.deadline_ms = settings.deadline_ms.unwrap_or(spec.deadline_ms);
    match present {
        Some(index) => next.kinds[index] = spec,
        None => next.kinds.push(spec),
    }
    Ok(())
}

fn set_service(next: &mut Configuration, service: &ServiceId, spec: ServiceSpec) {
    match next.services.iter_mut().find(|it| it.id == *service) {
        Some(present) => *present = spec,
        None => next.services.push(spec),
    }
}

fn set_policy(next: &mut Configuration, settings: &PolicyChange) {
    let policy = &mut next.policy;
    policy.group_downtime = settings.group_downtime.unwrap_or(policy.group_downtime);
    policy.stranded_accelerator =
        settings.stranded_accelerator.unwrap_or(policy.stranded_accelerator);
    policy.concurrent_loads = settings.concurrent_loads.unwrap_or(policy.concurrent_loads);
    if let Some(first_kinds) = &settings.first_kinds {
        policy.first_kinds.clone_from(first_kinds);
    }
}

fn find_group<'a>(
    configuration: &'a mut Configuration,
    group: &GroupId,
) -> Result<&'a mut GroupSpec, CommandError> {
    let Some(index) = configuration.groups.iter().position(|it| it.id == *group) else {
        let ids = configuration.groups.iter().map(|it| it.id.as_str());
        return Err(not_found("group", "groups", group.as_str(), ids));
    };
    Ok(&mut configuration.groups[index])
}

fn remove<T>(
    what: &str,
    list: &str,
    items: &mut Vec<T>,
    id: &str,
    id_of: impl Fn(&T) -> &str,
) -> Result<(), CommandError> {
    let Some(index) = items.iter().position(|it| id_of(it) == id) else {
        return Err(not_found(what, list, id, items.iter().map(id_of)));
    };
    items.remove(index);
    Ok(())
}

fn not_found<'a>(
    what: &str,
    list: &str,
    id: &str,
    known: impl Iterator<Item = &'a str>,
) -> CommandError {
    let hint = did_you_mean(id, known);
    let message = format!("there is no {what} {id}{hint}; `show {list}` lists them");
    CommandError { code: ResultCode::NotFound, message }
}
