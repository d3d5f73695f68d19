//! Assignment of VMs to groups: one store value for each fabric domain.

use serde::Deserialize;
use serde::Serialize;

use crate::FabricDomain;
use crate::FencingNumber;
use crate::GroupId;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;
use crate::VmId;

/// Lifecycle phase of a placed group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupPhase {
    /// Members are chosen and are loading weights.
    Loading,
    /// The group may serve while its health lease is valid.
    Serving,
    /// No new work; requests in flight finish.
    Draining,
    /// Nothing is in flight; members are being unloaded.
    Unloading,
}

/// The members of one group in one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAssignment {
    /// Group that the VMs are assigned to.
    pub group: GroupId,
    /// Incarnation of the group that has these members.
    pub incarnation: Incarnation,
    /// Model that the group serves.
    pub model: ModelId,
    /// Version of the weights that the members load.
    pub model_version: ModelVersion,
    /// Members in rank order; rank zero receives the requests.
    pub members: Vec<VmId>,
    /// Lifecycle phase, which the domain's owner advances.
    pub phase: GroupPhase,
}

/// Every assignment in one fabric domain, changed only by compare-and-swap.
///
/// Stored under the key `domains/{fabric_domain}`. As one value holds all
/// groups of the domain, no VM can be in two groups: `mangocross_coordination`
/// checks each new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAssignment {
    /// Fabric domain that the value is stored for.
    pub domain: FabricDomain,
    /// VM of the coordinator that may write this value.
    pub owner: Option<VmId>,
    /// Random number that the owner's process chose at its start, so that two
    /// processes on one VM, one of them paused, never mistake each other's writes for their own.
    #[serde(default)]
    pub owner_process: u64,
    /// Fencing number of the owner; rises at each takeover.
    pub fencing_number: FencingNumber,
    /// Incarnation that the next group formed here receives.
    pub next_incarnation: Incarnation,
    /// VMs that are registered for this domain and in no group, sorted.
    ///
    /// A VM is registered before it is used, and not used while it is registered or a member in
    /// another domain. So of two fabric domains that the platform lists the same VM in, at most one
    /// uses it.
    #[serde(default)]
    pub registered: Vec<VmId>,
    /// Assignments of the groups that are placed in this domain.
    pub groups: Vec<GroupAssignment>,
}

impl DomainAssignment {
    /// Returns an assignment without groups and without an owner.
    pub fn empty(domain: FabricDomain) -> Self {
        Self {
            domain,
            owner: None,
            owner_process: 0,
            fencing_number: FencingNumber(0),
            next_incarnation: Incarnation(1),
            registered: Vec::new(),
            groups: Vec::new(),
        }
    }

    /// Returns the VMs that this domain holds, so that no other one may use them: the registered
    /// ones and all members.
    pub fn held_vms(&self) -> impl Iterator<Item = &VmId> {
        let members = self.groups.iter().flat_map(|it| &it.members);
        self.registered.iter().chain(members)
    }

    /// Returns the store key of a fabric domain's assignment.
    pub fn key(domain: &FabricDomain) -> String {
        format!("domains/{domain}")
    }
}
