//! What a fabric domain's value in the store says.

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// A member of a planned group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedMember {
    /// The VM.
    pub vm: VmId,
    /// Start of the server's life that was chosen, in milliseconds of Unix time.
    pub born_unix_ms: u64,
}

/// A head of an earlier incarnation that may still take requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHead {
    /// The head.
    pub member: PlannedMember,
    /// Incarnation that it headed.
    pub incarnation: Incarnation,
}

/// A group as it is planned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedGroup {
    /// The group; each membership has a name of its own.
    pub group: GroupId,
    /// Incarnation, which rises with each group of the domain.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// Members in rank order; the first one is the head.
    pub members: Vec<PlannedMember>,
    /// Heads of earlier incarnations that are not known to be out of the group.
    ///
    /// Until they are, members that the group has lost join no other group.
    pub former_heads: Vec<FormerHead>,
    /// Whether the group is dissolved. Its members are free once the head is out of it.
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

/// All groups of a fabric domain: one store value, changed by compare-and-swap.
///
/// As one value holds every membership of the domain, no VM is in two groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainPlan {
    /// Incarnation of the group that is formed next.
    pub next_incarnation: u64,
    /// The groups.
    pub groups: Vec<PlannedGroup>,
}

impl DomainPlan {
    /// Returns whether a VM is a member of a group.
    pub fn holds(&self, vm: &VmId) -> bool {
        self.groups.iter().flat_map(PlannedGroup::vms).any(|it| it == vm)
    }
}
