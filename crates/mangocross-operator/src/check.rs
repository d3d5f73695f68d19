//! Validates a configuration before it is stored and before it is put in force.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;

use mangocross_types::Configuration;
use mangocross_types::GroupSpec;
use mangocross_types::KindTarget;
use mangocross_types::ResultCode;

use crate::CommandError;

/// Validates a configuration.
///
/// # Errors
///
/// Returns the first problem found.
pub fn check_configuration(configuration: &Configuration) -> Result<(), CommandError> {
    unique("group", configuration.groups.iter().map(|it| &it.id))?;
    unique("customer", configuration.customers.iter().map(|it| &it.id))?;
    unique("request kind", configuration.kinds.iter().map(|it| &it.id))?;
    unique("service", configuration.services.iter().map(|it| &it.id))?;
    unique("entry VM", configuration.entry_vms.iter().map(|it| &it.vm))?;
    for group in &configuration.groups {
        if group.size.0 == 0 {
            return Err(invalid(format!("group {} has no members; name at least one", group.id)));
        }
        check_audience(configuration, group)?;
    }
    for kind in &configuration.kinds {
        if let KindTarget::Service(service) = &kind.target
            && configuration.service(service).is_none()
        {
            let text =
                format!("request kind {} goes to service {service}, which is not there", kind.id);
            return Err(invalid(text));
        }
        if matches!(kind.target, KindTarget::Model(_)) && !kind.idempotent {
            let text = format!(
                "request kind {} goes to a model and is not idempotent; only kinds that go to a service may be",
                kind.id
            );
            return Err(invalid(text));
        }
        if kind.deadline_ms == 0 {
            return Err(invalid(format!("request kind {} has a deadline of 0 ms", kind.id)));
        }
    }
    let policy = &configuration.policy;
    let weights = [policy.group_downtime, policy.stranded_accelerator];
    if weights.iter().any(|it| !it.is_finite() || *it < 0.0) {
        return Err(invalid("a policy weight is negative or not a number".into()));
    }
    if policy.concurrent_loads == 0 {
        return Err(invalid("the policy allows no concurrent loads; allow at least one".into()));
    }
    if let Some(kind) = policy.first_kinds.iter().find(|it| configuration.kind(it).is_none()) {
        let text = format!("the policy puts request kind {kind} first, which is not there");
        return Err(invalid(text));
    }
    Ok(())
}

fn check_audience(configuration: &Configuration, group: &GroupSpec) -> Result<(), CommandError> {
    let id = &group.id;
    if let Some(customer) = group.customers.iter().find(|it| configuration.customer(it).is_none()) {
        return Err(invalid(format!("group {id} serves customer {customer}, which is not there")));
    }
    if let Some(kind) = group.kinds.iter().find(|it| configuration.kind(it).is_none()) {
        return Err(invalid(format!("group {id} serves request kind {kind}, which is not there")));
    }
    Ok(())
}

fn unique<'a, T: Display + Eq + Hash + 'a>(
    what: &str,
    ids: impl Iterator<Item = &'a T>,
) -> Result<(), CommandError> {
    let mut seen = HashSet::new();
    for id in ids {
        if !seen.insert(id) {
            return Err(invalid(format!("{what} {id} is there twice")));
        }
    }
    Ok(())
}

fn invalid(message: String) -> CommandError {
    CommandError { code: ResultCode::ConfigurationInvalid, message }
}
