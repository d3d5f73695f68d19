//! Commands and queries.

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::GroupSize;
use mangocross_types::ModelId;
use mangocross_types::ModelVersion;
use mangocross_types::VmId;

/// A parsed line.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Asks.
    Query(Query),
    /// Changes the configuration.
    Change(Change),
}

/// A question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Which groups there are, where, and whether they serve.
    ShowGroups,
    /// Which VMs there are and what they do.
    ShowVms,
    /// Which revision is in force on which node.
    ShowNodes,
    /// The configuration.
    ShowConfiguration,
    /// Why a group serves or does not.
    WhyGroup(GroupId),
    /// Why a VM is idle or not.
    WhyVm(VmId),
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Asks for a group.
    StartGroup {
        /// The group.
        group: GroupId,
        /// The model.
        model: ModelId,
        /// The version of the weights.
        model_version: ModelVersion,
        /// Number of VMs.
        size: GroupSize,
        /// Where, if the operator chose.
        domain: Option<FabricDomain>,
    },
    /// Lets a group finish its requests and take no new ones.
    DrainGroup(GroupId),
    /// Lets a drained group take new requests again.
    ResumeGroup(GroupId),
    /// Lets a group finish its requests and unloads it.
    StopGroup(GroupId),
    /// Moves a group to another fabric domain.
    MoveGroup {
        /// The group.
        group: GroupId,
        /// Where to.
        domain: FabricDomain,
    },
    /// Sends no new work to a VM.
    DrainVm(VmId),
    /// Lets a VM take work again.
    ResumeVm(VmId),
}
