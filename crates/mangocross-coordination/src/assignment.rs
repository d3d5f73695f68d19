//! Changes of a fabric domain's assignment.
//!
//! Each function returns the next value. The caller writes it by compare-and-swap against the
//! revision that it read.

use std::collections::HashMap;

use mangocross_types::DomainAssignment;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupId;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::VmId;
use snafu::Snafu;

/// Why a change of an assignment is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AssignmentError {
    /// A VM would be in two groups, or twice in one.
    #[snafu(display("VM {vm} would be in group {first} and in group {second}"))]
    VmInTwoGroups {
        /// Id of the VM.
        vm: VmId,
        /// First group in the assignment that contains the VM.
        first: GroupId,
        /// Later group in the assignment that contains the VM too; the same one if it contains the
        /// VM twice.
        second: GroupId,
    },
    /// The group is assigned twice.
    #[snafu(display("group {group} is assigned twice in this fabric domain"))]
    DuplicateGroup {
        /// Id of the group.
        group: GroupId,
    },
    /// The group is not assigned to this fabric domain.
    #[snafu(display("group {group} is not in this fabric domain"))]
    NoSuchGroup {
        /// Id of the absent group.
        group: GroupId,
    },
    /// The number of members is not the group's size.
    #[snafu(display("group {group} needs {needed} members, not {given}"))]
    MemberCount {
        /// Id of the group.
        group: GroupId,
        /// Size in the specification of the group.
        needed: usize,
        /// Number of members given.
        given: usize,
    },
}

/// Checks that no VM is in two groups and no group is assigned twice.
///
/// # Errors
///
/// Fails with the first VM or group found twice.
pub fn validate_assignment(assignment: &DomainAssignment) -> Result<(), AssignmentError> {
    let mut group_of: HashMap<&VmId, &GroupId> = HashMap::new();
    let mut seen: Vec<&GroupId> = Vec::new();
    for group in &assignment.groups {
        if seen.contains(&&group.group) {
            return Err(AssignmentError::DuplicateGroup { group: group.group.clone() });
        }
        seen.push(&group.group);
        for vm in &group.members {
            if let Some(first) = group_of.insert(vm, &group.group) {
                return Err(AssignmentError::VmInTwoGroups {
                    vm: vm.clone(),
                    first: first.clone(),
                    second: group.group.clone(),
                });
            }
        }
    }
    Ok(())
}

/// Makes a process on the VM `owner` the owner of the domain, with the next fencing number.
#[must_use]
pub fn take_over(
    assignment: &DomainAssignment,
    owner: &VmId,
    owner_process: u64,
) -> DomainAssignment {
    let mut next = assignment.clone();
    next.owner = Some(owner.clone());
    next.owner_process = owner_process;
    next.fencing_number = assignment.fencing_number.next();
    next
}

/// Forms a group or re-forms an existing one, with the next incarnation.
///
/// # Errors
///
/// Fails if the number of members is not the group's size, or a member is in another group.
pub fn form_group(
    assignment: &DomainAssignment,
    spec: &GroupSpec,
    members: Vec<VmId>,
) -> Result<DomainAssignment, AssignmentError> {
    let needed = usize::from(spec.size.0);
    if members.len() != needed {
        let group = spec.id.clone();
        return Err(AssignmentError::MemberCount { group, needed, given: members.len() });
    }
    let mut next = assignment.clone();
    next.groups.retain(|it| it.group != spec.id);
    next.groups.push(GroupAssignment {
        group: spec.id.clone(),
        incarnation: assignment.next_incarnation,
        model: spec.model.clone(),
        model_version: spec.model_version.clone(),
        members,
        phase: GroupPhase::Loading,
    });
    next.next_incarnation = assignment.next_incarnation.next();
    validate_assignment(&next)?;
    Ok(next)
}

/// Sets a group's phase.
///
/// # Errors
///
/// Fails if the group is not in this fabric domain.
pub fn set_phase(
    assignment: &DomainAssignment,
    group: &GroupId,
    phase: GroupPhase,
) -> Result<DomainAssignment, AssignmentError> {
    let mut next = assignment.clone();
    let found = next.groups.iter_mut().find(|it| it.group == *group);
    let found = found.ok_or_else(|| AssignmentError::NoSuchGroup { group: group.clone() })?;
    found.phase = phase;
    Ok(next)
}

/// Removes a group; an absent one is ignored.
#[must_use]
pub fn remove_group(assignment: &DomainAssignment, group: &GroupId) -> DomainAssignment {
    let mut next = assignment.clone();
    next.groups.retain(|it| it.group != *group);
    next
}
