//! Which changes of the entry VMs keep majorities overlapping.
//!
//! Any majority of the entry VMs before a change and any majority of those after it are certain to
//! overlap only if at most one entry VM was added or removed. The next change is allowed only once
//! this one is accepted: until then, processes may still rely on a majority of the entry VMs before
//! it.

use std::collections::HashSet;

use mangocross_types::EntryVmSpec;
use snafu::Snafu;

use crate::CoordinatorEndpoint;

/// A change of the entry VMs that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MembershipError {
    /// More than one entry VM was added, removed or given another address.
    #[snafu(display(
        "entry VMs can be changed only one at a time, but this makes {changes} changes; a new address counts as a removal and an addition"
    ))]
    SeveralChanges {
        /// Number of additions and removals.
        changes: usize,
    },
    /// The previous revision is not accepted yet.
    #[snafu(display(
        "entry VMs can be changed only once the previous revision is in force; try again in a few seconds"
    ))]
    BaseNotAccepted,
    /// No entry VM would be left.
    #[snafu(display("the last entry VM cannot be removed"))]
    NoneLeft,
}

/// Checks that a change of the entry VMs keeps majorities overlapping.
///
/// # Errors
///
/// Fails if more than one entry VM changes, none is left, or the previous revision is not known to
/// be accepted. The first entry VMs may be added together.
pub fn check_membership(
    before: &[EntryVmSpec],
    after: &[EntryVmSpec],
    base_accepted: bool,
) -> Result<(), MembershipError> {
    let before: HashSet<CoordinatorEndpoint> =
        before.iter().map(CoordinatorEndpoint::from).collect();
    let after: HashSet<CoordinatorEndpoint> = after.iter().map(CoordinatorEndpoint::from).collect();
    let changes = before.symmetric_difference(&after).count();
    if changes == 0 || before.is_empty() {
        return Ok(());
    }
    if after.is_empty() {
        return Err(MembershipError::NoneLeft);
    }
    if changes > 1 {
        return Err(MembershipError::SeveralChanges { changes });
    }
    if !base_accepted {
        return Err(MembershipError::BaseNotAccepted);
    }
    Ok(())
}
