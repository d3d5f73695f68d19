//! The commands and queries of the language.

use std::net::SocketAddr;

use mangocross_types::CustomerId;
use mangocross_types::FabricDomain;
use mangocross_types::FenceMode;
use mangocross_types::GroupId;
use mangocross_types::GroupSize;
use mangocross_types::KindTarget;
use mangocross_types::ModelId;
use mangocross_types::ModelVersion;
use mangocross_types::Priority;
use mangocross_types::RequestId;
use mangocross_types::RequestKind;
use mangocross_types::RequestsPerSecond;
use mangocross_types::ServiceId;
use mangocross_types::VmId;

/// A parsed line.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Reads the state.
    Query(Query),
    /// Changes the configuration.
    Change(Change),
    /// Replaces the whole configuration by the one sent with the line.
    ReplaceConfiguration,
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Lists the groups, their fabric domains and phases.
    ShowGroups,
    /// Lists the VMs of engines, their states and groups.
    ShowVms,
    /// Lists the processes of the entry VMs and their revisions.
    ShowNodes,
    /// Lists the customers and their limits.
    ShowCustomers,
    /// Lists the request kinds and their targets.
    ShowKinds,
    /// Lists the plain services.
    ShowServices,
    /// Prints the configuration.
    ShowConfiguration,
    /// Lists the most recent commands.
    ShowCommands,
    /// Explains why a group serves or does not.
    WhyGroup(GroupId),
    /// Explains why a VM is idle or not.
    WhyVm(VmId),
    /// Explains why a request was refused or failed.
    WhyRequest(RequestId),
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Starts a group, or changes an existing one.
    StartGroup {
        /// Group to start or change.
        group: GroupId,
        /// Model that the group serves.
        model: ModelId,
        /// Version of the model's weights.
        model_version: ModelVersion,
        /// Number of VMs.
        size: GroupSize,
        /// The fabric domain, if the operator chose one.
        domain: Option<FabricDomain>,
        /// The customers and request kinds that it serves.
        audience: Audience,
    },
    /// Drains a group: it finishes its requests and receives no new ones.
    DrainGroup(GroupId),
    /// Lets a drained group receive new requests again.
    ResumeGroup(GroupId),
    /// Drains a group and then unloads it.
    StopGroup(GroupId),
    /// Moves a group to another fabric domain.
    MoveGroup {
        /// Group to move.
        group: GroupId,
        /// The target domain.
        domain: FabricDomain,
    },
    /// Changes the customers and request kinds that a group serves.
    SetGroup {
        /// Group to change.
        group: GroupId,
        /// The customers and request kinds that it serves.
        audience: Audience,
    },
    /// Removes a stopped group.
    RemoveGroup(GroupId),
    /// Adds or changes a customer.
    SetCustomer {
        /// Customer to add or change.
        customer: CustomerId,
        /// Settings to change.
        settings: CustomerChange,
    },
    /// Removes a customer.
    RemoveCustomer(CustomerId),
    /// Adds or changes a request kind.
    SetKind {
        /// Request kind to add or change.
        kind: RequestKind,
        /// Settings to change.
        settings: KindChange,
    },
    /// Removes a request kind.
    RemoveKind(RequestKind),
    /// Adds or changes a plain service.
    SetService {
        /// Service to add or change.
        service: ServiceId,
        /// Addresses of its backend servers; empty means those in the platform's list.
        backend_servers: Vec<SocketAddr>,
    },
    /// Removes a plain service.
    RemoveService(ServiceId),
    /// Changes the policy's weights.
    SetPolicy(PolicyChange),
    /// Sets whether engines check fencing numbers.
    SetFence(FenceMode),
    /// Drains a VM: it receives no new work.
    DrainVm(VmId),
    /// Lets a drained VM receive work again.
    ResumeVm(VmId),
    /// Removes an entry VM.
    RemoveNode(VmId),
}

/// The customers and request kinds that a group serves; `None` leaves a list unchanged, and an
/// empty list means all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// Customers.
    pub customers: Option<Vec<CustomerId>>,
    /// Request kinds.
    pub kinds: Option<Vec<RequestKind>>,
}

/// A change to a customer; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CustomerChange {
    /// Rate limit over all entry VMs.
    pub requests_per_second: Option<RequestsPerSecond>,
    /// Limit of requests in flight over all entry VMs.
    pub in_flight_max: Option<u32>,
    /// Added to the priority of the request kind.
    pub priority: Option<Priority>,
}

/// A change to a request kind; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KindChange {
    /// The model or plain service that receives the requests.
    pub target: Option<KindTarget>,
    /// Whether a repeated request has no second effect.
    pub idempotent: Option<bool>,
    /// Priority.
    pub priority: Option<Priority>,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A change to the policy; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyChange {
    /// Cost of one second of group downtime.
    pub group_downtime: Option<f64>,
    /// Cost of one second of one stranded accelerator.
    pub stranded_accelerator: Option<f64>,
    /// Maximum number of concurrent loads from the weight store.
    pub concurrent_loads: Option<u32>,
    /// Request kinds that are shed last under overload, whatever their priority.
    pub first_kinds: Option<Vec<RequestKind>>,
}
