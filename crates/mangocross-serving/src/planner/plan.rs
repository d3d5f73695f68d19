//! Plan of a fabric domain as stored in the key-value store.

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// A member of a planned group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedMember {
    /// VM that joins the group.
    pub vm: VmId,
    /// Start time of the chosen server process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
}

/// A head of an earlier incarnation that may still accept requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHead {
    /// Member that was the head, with its server process.
    pub member: PlannedMember,
    /// Incarnation in which it was the head.
    pub incarnation: Incarnation,
}

/// A group of a domain's plan, with the members that should form it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedGroup {
    /// Id of the group; new for each newly formed group, and kept when a group is re-formed.
    pub group: GroupId,
    /// Incarnation; increases with each group that is formed or re-formed in the domain.
    pub incarnation: Incarnation,
    /// Model that the group serves.
    pub model: ModelId,
    /// Members in rank order; the first one is the head.
    pub members: Vec<PlannedMember>,
    /// Heads of earlier incarnations that are not confirmed to have stopped.
    ///
    /// Until they are, former members of the group may not join another group.
    pub former_heads: Vec<FormerHead>,
    /// Whether the group is being dissolved. Its members are free once its heads have stopped.
    pub is_dissolving: bool,
}

impl PlannedGroup {
    /// Returns the head.
    pub fn head(&self) -> Option<&PlannedMember> {
        self.members.first()
    }

    /// Returns the members' VMs in rank order.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.members.iter().map(|it| &it.vm)
    }
}

/// All groups of a fabric domain, stored as one value that is changed by compare-and-swap.
///
/// One value contains every membership of the domain, so no VM can be in two groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainPlan {
    /// Incarnation of the next group to be formed or re-formed.
    pub next_incarnation: u64,
    /// Groups of the domain, including those being dissolved.
    pub groups: Vec<PlannedGroup>,
}

impl DomainPlan {
    /// Returns whether a VM is a member of a group.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.groups.iter().flat_map(PlannedGroup::vms).any(|it| it == vm)
    }
}
