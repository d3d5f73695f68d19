//! Commands and queries.

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
    /// Asks.
    Query(Query),
    /// Changes the configuration.
    Change(Change),
    /// Puts the whole configuration that comes with the line in place.
    ReplaceConfiguration,
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
    /// Which customers there are and their limits.
    ShowCustomers,
    /// Which request kinds there are and where they go.
    ShowKinds,
    /// Which plain services there are.
    ShowServices,
    /// The configuration.
    ShowConfiguration,
    /// The newest commands.
    ShowCommands,
    /// Why a group serves or does not.
    WhyGroup(GroupId),
    /// Why a VM is idle or not.
    WhyVm(VmId),
    /// Why a request was refused or failed.
    WhyRequest(RequestId),
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
        /// Whom it serves.
        audience: Audience,
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
    /// Changes whom a group serves.
    SetGroup {
        /// The group.
        group: GroupId,
        /// Whom it serves.
        audience: Audience,
    },
    /// Removes a stopped group.
    RemoveGroup(GroupId),
    /// Adds or changes a customer.
    SetCustomer {
        /// The customer.
        customer: CustomerId,
        /// What changes.
        settings: CustomerChange,
    },
    /// Removes a customer.
    RemoveCustomer(CustomerId),
    /// Adds or changes a request kind.
    SetKind {
        /// The request kind.
        kind: RequestKind,
        /// What changes.
        settings: KindChange,
    },
    /// Removes a request kind.
    RemoveKind(RequestKind),
    /// Adds or changes a plain service.
    SetService {
        /// The service.
        service: ServiceId,
        /// Addresses of its backend servers; empty means those in the platform's list.
        backend_servers: Vec<SocketAddr>,
    },
    /// Removes a plain service.
    RemoveService(ServiceId),
    /// Changes the policy's weights.
    SetPolicy(PolicyChange),
    /// Says whether engines check fencing numbers.
    SetFence(FenceMode),
    /// Sends no new work to a VM.
    DrainVm(VmId),
    /// Lets a VM take work again.
    ResumeVm(VmId),
    /// Removes an entry VM.
    RemoveNode(VmId),
}

/// Whom a group serves; `None` leaves it as it is, and an empty list means all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// Customers.
    pub customers: Option<Vec<CustomerId>>,
    /// Request kinds.
    pub kinds: Option<Vec<RequestKind>>,
}

/// What changes of a customer; `None` leaves it as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CustomerChange {
    /// Limit over all entry VMs.
    pub requests_per_second: Option<RequestsPerSecond>,
    /// Limit of requests in flight over all entry VMs.
    pub in_flight_max: Option<u32>,
    /// Added to the priority of the request kind.
    pub priority: Option<Priority>,
}

/// What changes of a request kind; `None` leaves it as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KindChange {
    /// Where requests go.
    pub target: Option<KindTarget>,
    /// Whether a request may be repeated without a second effect.
    pub idempotent: Option<bool>,
    /// Priority.
    pub priority: Option<Priority>,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What changes of the policy; `None` leaves it as it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyChange {
    /// Cost of one second of group downtime.
    pub group_downtime: Option<f64>,
    /// Cost of one second of one stranded accelerator.
    pub stranded_accelerator: Option<f64>,
    /// Loads that the weight store serves at once.
    pub concurrent_loads: Option<u32>,
    /// Kinds that go before everything else.
    pub first_kinds: Option<Vec<RequestKind>>,
}
