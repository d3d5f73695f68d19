//! Applies a change to a configuration.

use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::GroupId;
use mangocross_types::GroupSpec;
use mangocross_types::ResultCode;
use snafu::Snafu;

use crate::Change;
use crate::check_configuration;

/// A change that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code}: {message}"))]
pub struct CommandError {
    /// Result code.
    pub code: ResultCode,
    /// What is wrong and what to do.
    pub message: String,
}

/// Returns the configuration after a change, checked.
///
/// # Errors
///
/// Fails if the change names something that is not there, or its result is not valid.
pub fn apply(
    configuration: &Configuration,
    change: &Change,
) -> Result<Configuration, CommandError> {
    let mut next = configuration.clone();
    match change {
        Change::StartGroup { group, model, model_version, size, domain } => {
            next.groups.retain(|it| it.id != *group);
            next.groups.push(GroupSpec {
                id: group.clone(),
                model: model.clone(),
                model_version: model_version.clone(),
                size: *size,
                desired: DesiredState::Serving,
                domain: domain.clone(),
                customers: Vec::new(),
                kinds: Vec::new(),
            });
        }
        Change::DrainGroup(group) => find(&mut next, group)?.desired = DesiredState::Drained,
        Change::ResumeGroup(group) => find(&mut next, group)?.desired = DesiredState::Serving,
        Change::StopGroup(group) => find(&mut next, group)?.desired = DesiredState::Stopped,
        Change::MoveGroup { group, domain } => {
            find(&mut next, group)?.domain = Some(domain.clone());
        }
        Change::DrainVm(vm) if !next.leaving_vms.contains(vm) => next.leaving_vms.push(vm.clone()),
        Change::DrainVm(_) => {}
        Change::ResumeVm(vm) => next.leaving_vms.retain(|it| it != vm),
    }
    check_configuration(&next)?;
    Ok(next)
}

fn find<'a>(
    configuration: &'a mut Configuration,
    group: &GroupId,
) -> Result<&'a mut GroupSpec, CommandError> {
    let found = configuration.groups.iter_mut().find(|it| it.id == *group);
    found.ok_or_else(|| CommandError {
        code: ResultCode::NotFound,
        message: format!("there is no group {group}; `show groups` lists them"),
    })
}
