//! Which changes of the entry VMs keep majorities overlapping.
//!
//! A majority of the entry VMs before a change and a majority of those after it
//! have a member in common only if at most one was added or removed. A second
//! change may follow only once the first is in force: until then, nodes may
//! still rely on a majority of the entry VMs of two changes ago.

use std::collections::HashSet;

use mangocross_types::EntryVmSpec;
use snafu::Snafu;

use crate::CoordinatorEndpoint;

/// A change of the entry VMs that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MembershipError {
    /// More than one entry VM was added, removed or given another address.
    #[snafu(display(
        "entry VMs change one at a time, and this changes {changes}; a new address is a removal and an addition"
    ))]
    SeveralChanges {
        /// Number of additions and removals.
        changes: usize,
    },
    /// The revision before is not in force yet.
    #[snafu(display(
        "entry VMs change only once the revision before is in force; send this again in a few seconds"
    ))]
    BaseNotInForce,
    /// No entry VM would be left.
    #[snafu(display("the last entry VM cannot be removed"))]
    NoneLeft,
}

/// Checks that a change of the entry VMs keeps majorities overlapping.
///
/// # Errors
///
/// Fails if more than one entry VM changes, none is left, or the revision
/// before is not known to be in force. The first entry VMs may be named together.
pub fn check_membership(
    before: &[EntryVmSpec],
    after: &[EntryVmSpec],
    base_in_force: bool,
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
    if !base_in_force {
        return Err(MembershipError::BaseNotInForce);
    }
    Ok(())
}
