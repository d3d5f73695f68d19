//! The operators' configuration: one document in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::AvailabilityZone;
use crate::CommandId;
use crate::CustomerId;
use crate::FabricDomain;
use crate::GroupId;
use crate::GroupSize;
use crate::ModelId;
use crate::ModelVersion;
use crate::OperatorId;
use crate::Priority;
use crate::RequestKind;
use crate::RequestsPerSecond;
use crate::Revision;
use crate::ServiceId;
use crate::VmId;

/// State of a group that the operators request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// The group should serve.
    Serving,
    /// The group should finish its requests, accept no new ones and stay loaded.
    Drained,
    /// The group should finish its requests and be unloaded.
    Stopped,
}

/// A model group that operators configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Id of the group, chosen by the operators.
    pub id: GroupId,
    /// Model that the group serves.
    pub model: ModelId,
    /// Version of the weights to load.
    pub model_version: ModelVersion,
    /// Number of members, one on each VM.
    pub size: GroupSize,
    /// State that the operators request.
    pub desired: DesiredState,
    /// The fabric domain that operators chose, if any.
    #[serde(default)]
    pub domain: Option<FabricDomain>,
    /// Customers served; empty means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Request kinds served; empty means all.
    #[serde(default)]
    pub kinds: Vec<RequestKind>,
}

/// A customer and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Id of the customer.
    pub id: CustomerId,
    /// Rate limit over all entry VMs.
    pub requests_per_second: RequestsPerSecond,
    /// Limit of requests in flight over all entry VMs.
    pub in_flight_max: u32,
    /// Added to the priority of the request kind.
    #[serde(default)]
    pub priority: Priority,
}

/// Destination of requests of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KindTarget {
    /// Groups that serve a model.
    Model(ModelId),
    /// Backend servers of a plain service.
    Service(ServiceId),
}

/// A request kind and how its requests are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Name of the kind, as requests give it.
    pub id: RequestKind,
    /// Destination of the requests.
    pub target: KindTarget,
    /// Whether a request may be repeated without a second effect.
    pub idempotent: bool,
    /// Priority; a larger number goes first.
    #[serde(default)]
    pub priority: Priority,
    /// Deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u64,
}

/// A plain service and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Id of the service.
    pub id: ServiceId,
    /// Addresses of its backend servers; empty means those in the platform's list.
    #[serde(default)]
    pub backend_servers: Vec<SocketAddr>,
}

/// Whether engines check fencing numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FenceMode {
    /// Engines refuse an order with an old fencing number.
    Honoured,
    /// Engines ignore fencing numbers.
    #[default]
    Ignored,
}

/// Parameters of placement, repair and admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyParameters {
    /// Cost of one second of group downtime.
    pub group_downtime: f64,
    /// Cost of one second of one stranded accelerator.
    pub stranded_accelerator: f64,
    /// Loads that the weight store serves at once.
    pub concurrent_loads: u32,
    /// Request kinds that are shed last under overload, whatever their priority; empty if there are
    /// none.
    pub first_kinds: Vec<RequestKind>,
}

impl Default for PolicyParameters {
    fn default() -> Self {
        Self {
            group_downtime: 1.0,
            stranded_accelerator: 1.0,
            concurrent_loads: 8,
            first_kinds: Vec::new(),
        }
    }
}

/// An entry VM of the system, with the addresses of its processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryVmSpec {
    /// Id of the entry VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// UDP and TCP address of its coordinator.
    pub coordinator: SocketAddr,
}

/// A command that changed the configuration, kept so that repeating it has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecentCommand {
    /// Id that the command was sent with; a repeated command has the same one.
    pub id: CommandId,
    /// Text of the command; another text with the same id is refused.
    pub text: String,
    /// Revision that the command was based on.
    pub based_on: Revision,
    /// The operator that issued it, if the coordinator identifies its operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<OperatorId>,
}

/// The operators' configuration.
///
/// Stored as JSON under [`Configuration::KEY`]; its revision is that of the
/// store's value and is not part of the document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    /// Entry VMs of the system.
    pub entry_vms: Vec<EntryVmSpec>,
    /// Model groups that should exist.
    pub groups: Vec<GroupSpec>,
    /// Customers that may send requests; others are refused.
    pub customers: Vec<CustomerSpec>,
    /// Request kinds, with their targets and priorities.
    pub kinds: Vec<KindSpec>,
    /// Plain services that requests can be sent to.
    pub services: Vec<ServiceSpec>,
    /// VMs that operators marked as leaving; they receive no new work.
    pub leaving_vms: Vec<VmId>,
    /// Whether engines check fencing numbers.
    pub fence_mode: FenceMode,
    /// Parameters of placement, repair and admission.
    pub policy: PolicyParameters,
    /// The newest commands, oldest first.
    pub recent_commands: Vec<RecentCommand>,
}

impl Configuration {
    /// Store key of the document.
    pub const KEY: &str = "config/current";

    /// Returns the specification of a group; `None` if it is not configured.
    pub fn group(&self, id: &GroupId) -> Option<&GroupSpec> {
        self.groups.iter().find(|it| it.id == *id)
    }

    /// Returns the specification of a customer; `None` if it is not configured.
    pub fn customer(&self, id: &CustomerId) -> Option<&CustomerSpec> {
        self.customers.iter().find(|it| it.id == *id)
    }

    /// Returns the specification of a request kind; `None` if it is not configured.
    pub fn kind(&self, id: &RequestKind) -> Option<&KindSpec> {
        self.kinds.iter().find(|it| it.id == *id)
    }

    /// Returns the specification of a service; `None` if it is not configured.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.iter().find(|it| it.id == *id)
    }
}
