//! Messages between entry VMs.

use std::net::SocketAddr;

use mangocross_types::CustomerId;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::HealthLease;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Kind of process that sends a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Accepts callers' requests.
    Gateway,
    /// Owns fabric domains and answers operators.
    Coordinator,
}

/// What a gateway requests from a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollScope {
    /// All parts of the reply that are for gateways, except `owners`.
    All,
    /// The same parts and `owners`, whose health leases the gateway needs. In a large fleet, a
    /// gateway sends this to a few coordinators, its relays.
    Relay,
    /// Health leases of groups and the freshness of the configuration.
    #[serde(rename = "Proofs")]
    HealthLeases,
}

/// A poll of a coordinator.
///
/// Size: about 40 bytes and 12 for each customer with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Random number chosen by the poller; the reply echoes it.
    pub nonce: u64,
    /// VM of the polling process.
    pub vm: VmId,
    /// Kind of the polling process.
    pub role: ProcessRole,
    /// Random number chosen when the process started.
    pub process_id: u64,
    /// Revision of the configuration in force at the polling process.
    pub revision: Revision,
    /// Whether the polling process accepts new requests.
    pub serving: bool,
    /// What a gateway requests.
    pub scope: PollScope,
    /// Whether the polled coordinator should relay this gateway's state to other coordinators.
    pub reports: bool,
    /// Usage by customer at this gateway; empty unless `reports` is set.
    pub usage: Vec<CustomerUsage>,
    /// Recently failed requests; sent only to the coordinator on the same VM.
    pub failures: Vec<RequestFailure>,
    /// Stamp of the newest reply from the polled coordinator; set by the poller.
    ///
    /// It proves to the coordinator that this poll was sent after that reply, however long
    /// the poll was in transit.
    pub echo: Option<ReplyStamp>,
}

/// A request that was refused or failed.
///
/// Size: at most about 300 bytes; a poll carries a few.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFailure {
    /// Id of the request.
    pub request: RequestId,
    /// Result code that the caller received.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Message that the caller received.
    pub message: String,
    /// When it failed, as Unix time in milliseconds; for display only.
    pub failed_at_unix_ms: u64,
}

/// When a reply was created, by the clock of the replying process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyStamp {
    /// Random number chosen when the process started.
    pub process_id: u64,
    /// Time since the process's start, in milliseconds.
    pub uptime_ms: u64,
}

/// A customer's requests at a gateway, which count against its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Customer that sent the requests.
    pub customer: CustomerId,
    /// Number of requests in flight at the gateway.
    pub in_flight: u32,
    /// Number of requests received in the last second, including refused ones.
    pub demand_per_second: u32,
}

/// A coordinator's reply to a poll.
///
/// Size: about 60 bytes, plus 100 for each group that it probes, 25 for each leaving VM and 30 for
/// each backend server of a plain service. A reply that would not fit a datagram is split into
/// parts that are valid independently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Nonce of the poll that this replies to.
    pub nonce: u64,
    /// VM of the replying coordinator.
    pub vm: VmId,
    /// When the reply was created, and by which process.
    pub stamp: ReplyStamp,
    /// Newest revision of the configuration that can be fetched from this coordinator.
    pub revision: Revision,
    /// Newest revision of the configuration that this coordinator knows of, even if it does not
    /// hold the document.
    pub newest_known: Revision,
    /// Whether this coordinator grants a freshness lease: since it started, the store or a majority
    /// of the entry VMs confirmed the newest revision that it knew of.
    pub established: bool,
    /// Whether this coordinator is stopping, so that others take over its fabric domains.
    pub stopping: bool,
    /// Duration of a freshness lease at this coordinator, in milliseconds.
    #[serde(rename = "vouch_ms")]
    pub freshness_lease_ms: u32,
    /// Time since the store confirmed that `newest_known` is the newest revision, in
    /// milliseconds, rounded up; `None` if it never did.
    pub store_age_ms: Option<u32>,
    /// Age of the freshness leases granted by a majority of the entry VMs listed in the
    /// configuration with `revision`, in milliseconds, rounded up; `None` without a majority or if
    /// a newer revision is known.
    pub majority_age_ms: Option<u32>,
    /// Health leases from this coordinator's own probes; no remaining time means that the group
    /// is known to be incomplete. Sent to gateways only.
    #[serde(rename = "proofs")]
    pub health_leases: Vec<HealthLease>,
    /// Newest revision of the placements that this coordinator knows.
    pub placements_revision: Revision,
    /// Newest revision of any fabric domain's assignment that this coordinator knows.
    pub assignments_revision: Revision,
    /// Fabric domains that this coordinator probes; sent to coordinators only.
    pub domains: Vec<DomainSummary>,
    /// VMs that must receive no new work.
    pub leaving: Vec<LeavingVm>,
    /// Usage by customer at all other gateways; sent to gateways that request everything.
    pub usage: Option<Vec<CustomerUsage>>,
    /// Backend servers of plain services in the platform's list of VMs; sent along with `usage`.
    pub service_servers: Vec<ServiceServer>,
    /// Owners whose health leases the polling gateway needs; sent in reply to [`PollScope::Relay`].
    pub owners: Vec<SocketAddr>,
    /// Hash and age of this coordinator's copy of the platform's list of VMs; sent to coordinators
    /// of a large fleet only.
    pub vm_list: Option<VmListVersion>,
    /// Gateways that report to this coordinator; sent to coordinators of a large fleet only.
    pub gateways: Vec<GatewayReport>,
    /// Cache events of this coordinator's groups that the polling gateway has not received yet;
    /// sent to gateways only.
    pub caches: Vec<GroupCacheEvents>,
}

/// Hash and age of a coordinator's copy of the platform's list of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListVersion {
    /// Hash of the list's text.
    pub hash: u64,
    /// Time since the request to the platform that returned this list, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// What a gateway reported to a coordinator.
///
/// Size: about 30 bytes and 17 for each customer with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// VM of the gateway.
    pub vm: VmId,
    /// Random number chosen when the gateway started.
    pub process_id: u64,
    /// Revision of the configuration in force at the gateway.
    pub revision: Revision,
    /// Upper bound of the report's age, in milliseconds, rounded up.
    pub age_ms: u32,
    /// Usage by customer at the gateway.
    pub usage: Vec<CustomerUsage>,
}

/// Events of a group's prefix cache, oldest first.
///
/// Size: about 20 bytes and 10 for each event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupCacheEvents {
    /// Group whose cache published the events.
    pub group: GroupId,
    /// Random number that the cache chose when it last started.
    pub epoch: u64,
    /// Events of this epoch, oldest first.
    pub events: Vec<RelayedCacheEvent>,
}

/// An event of a prefix cache, relayed by a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCacheEvent {
    /// Sequence number, increasing by one; a gap means that events are missing.
    pub number: u64,
    /// Time since the event in milliseconds.
    pub age_ms: u32,
    /// What changed in the cache.
    pub change: CacheChange,
}

/// A change to a prefix cache; prefixes are identified by their hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// A prefix was added to the cache.
    Stored(u64),
    /// A prefix was evicted from the cache.
    Evicted(u64),
    /// The cache was emptied.
    Cleared,
}

/// A backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceServer {
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// VM that the server runs on.
    pub vm: VmId,
    /// Address for calls to the server.
    pub address: SocketAddr,
}

/// A VM that must receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Time since the platform or the VM itself last reported it, in milliseconds;
    /// relaying the report does not reset it.
    pub age_ms: u32,
}

/// Numbers of idle and healthy VMs of a fabric domain, and its groups that lack VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Id of the fabric domain.
    pub domain: FabricDomain,
    /// Number of VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// Number of VMs that answer probes.
    pub healthy_vms: u16,
    /// Groups placed in this domain that are to move to another domain, one with enough VMs.
    pub stuck_groups: Vec<GroupId>,
    /// All groups placed in this domain that its VMs cannot complete, whether or not they are to be
    /// moved.
    pub incomplete_groups: Vec<GroupId>,
}
