//! Messages between entry VMs.

use std::net::SocketAddr;

use mangocross_types::CustomerId;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::GroupProof;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Which process of an entry VM polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Takes callers' requests.
    Gateway,
    /// Owns fabric domains and answers operators.
    Coordinator,
}

/// How much of what a coordinator knows a gateway wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollScope {
    /// Everything.
    All,
    /// Everything, and who proves the groups chosen for the gateway.
    Relay,
    /// The proofs of groups, besides what says how fresh the configuration is.
    #[serde(rename = "Proofs")]
    HealthLeases,
}

/// A question to a coordinator.
///
/// Size: about 40 bytes and 12 for each customer with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Echoed by the reply.
    pub nonce: u64,
    /// The VM that asks.
    pub vm: VmId,
    /// Which process asks.
    pub role: ProcessRole,
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Revision of the configuration that is in force at the asker.
    pub revision: Revision,
    /// Whether the asker takes new requests.
    pub serving: bool,
    /// How much a gateway wants to know.
    pub scope: PollScope,
    /// Whether the coordinator asked is to pass on what this poll says of the gateway.
    pub reports: bool,
    /// Use by customer at this gateway, if it reports.
    pub usage: Vec<CustomerUsage>,
    /// Requests that failed lately; sent only to the coordinator on the same VM.
    pub failures: Vec<RequestFailure>,
    /// The newest reply that came from the coordinator asked; filled in by the poller.
    ///
    /// It tells the coordinator that this poll was sent after that reply, however long
    /// the poll was under way.
    pub echo: Option<ReplyStamp>,
}

/// A request that was refused or failed.
///
/// Size: at most about 300 bytes; a poll carries a few.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFailure {
    /// The request.
    pub request: RequestId,
    /// Result code.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// What its caller was told.
    pub message: String,
    /// When it failed, as Unix time in milliseconds, for people.
    pub failed_at_unix_ms: u64,
}

/// When a reply was made, by the clock of the process that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyStamp {
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Time since the process's start, in milliseconds.
    pub uptime_ms: u64,
}

/// Use of a customer's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// The customer.
    pub customer: CustomerId,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests asked for in the last second, refused ones included.
    pub demand_per_second: u32,
}

/// A coordinator's answer.
///
/// Size: about 60 bytes, 100 for each group that it probes, 25 for each VM that
/// is leaving and 30 for each backend server of a plain service. An answer that would not fit a datagram is split; each part
/// stands on its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// The poll's nonce.
    pub nonce: u64,
    /// The VM that answers.
    pub vm: VmId,
    /// When the reply was made, and by which process.
    pub stamp: ReplyStamp,
    /// Newest revision of the configuration that can be fetched from the answerer.
    pub revision: Revision,
    /// Newest revision that the answerer knows of.
    pub newest_known: Revision,
    /// Whether the answerer vouches that it knows of nothing newer.
    pub established: bool,
    /// Whether the answerer is about to end, so that others take its fabric domains over.
    pub stopping: bool,
    /// How long the answerer waits for vouches to run out, in milliseconds.
    #[serde(rename = "vouch_ms")]
    pub freshness_lease_ms: u32,
    /// Time since the store confirmed that nothing newer than `newest_known` was
    /// there, in milliseconds, rounded up; `None` if it never did.
    pub store_age_ms: Option<u32>,
    /// Time since a majority of the entry VMs of `revision` was asked, all of which vouched, in
    /// milliseconds, rounded up; `None` if it never was, or something newer is known.
    pub majority_age_ms: Option<u32>,
    /// Proofs from the answerer's own probes; no time left means that the group is
    /// known to be incomplete. Told to gateways only.
    #[serde(rename = "proofs")]
    pub health_leases: Vec<GroupProof>,
    /// Newest revision of the placements that the answerer knows.
    pub placements_revision: Revision,
    /// Newest revision of any fabric domain's assignment that the answerer knows.
    pub assignments_revision: Revision,
    /// Fabric domains that the answerer probes; told to coordinators only.
    pub domains: Vec<DomainSummary>,
    /// VMs that must receive no new work.
    pub leaving: Vec<LeavingVm>,
    /// Use by customer at all other gateways; told to gateways that want everything.
    pub usage: Option<Vec<CustomerUsage>>,
    /// Backend servers of plain services in the platform's list; told with the use.
    pub service_servers: Vec<ServiceServer>,
    /// Coordinators that prove the groups chosen for the asker; told to gateways that ask a relay.
    pub owners: Vec<SocketAddr>,
    /// The platform's list that the answerer holds; told to coordinators of a large fleet only.
    pub vm_list: Option<HeldListReport>,
    /// Gateways that report to the answerer; told to coordinators of a large fleet only.
    pub gateways: Vec<GatewayReport>,
    /// Cache events of the answerer's groups that the asker was not told yet; told to gateways only.
    pub caches: Vec<GroupCacheEvents>,
}

/// Which list of VMs a coordinator holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldListReport {
    /// Hash of its text.
    pub hash: u64,
    /// Time since the platform was asked and gave this list, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// What a gateway reported to a coordinator.
///
/// Size: about 30 bytes and 17 for each customer with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Its VM.
    pub vm: VmId,
    /// Random number chosen at the gateway's start.
    pub process_id: u64,
    /// Revision of the configuration that it had in force.
    pub revision: Revision,
    /// Time since a moment after which it said so, in milliseconds, rounded up.
    pub age_ms: u32,
    /// Use by customer there.
    pub usage: Vec<CustomerUsage>,
}

/// Events of a group's prefix cache, oldest first.
///
/// Size: about 20 bytes and 10 for each event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupCacheEvents {
    /// The group.
    pub group: GroupId,
    /// Random number that the cache chose when it was last started.
    pub epoch: u64,
    /// The events.
    pub events: Vec<RelayedCacheEvent>,
}

/// An event of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedCacheEvent {
    /// One more than that of the event before; a gap means that events are missing.
    pub number: u64,
    /// Time since the event in milliseconds.
    pub age_ms: u32,
    /// What happened.
    pub change: CacheChange,
}

/// What happened in a prefix cache; prefixes are named by their hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// A prefix came into the cache.
    Stored(u64),
    /// A prefix was dropped from the cache.
    Evicted(u64),
    /// Everything was dropped.
    Cleared,
}

/// A backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceServer {
    /// The service.
    pub service: ServiceId,
    /// The VM.
    pub vm: VmId,
    /// Address of the server.
    pub address: SocketAddr,
}

/// A VM that must receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingVm {
    /// The VM.
    pub vm: VmId,
    /// Time since the platform or the VM itself last said so, in milliseconds;
    /// passing the report on does not make it younger.
    pub age_ms: u32,
}

/// Room in a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The fabric domain.
    pub domain: FabricDomain,
    /// VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// VMs that answer probes.
    pub healthy_vms: u16,
    /// Groups that should be formed in another domain with room.
    pub stuck_groups: Vec<GroupId>,
    /// Groups that belong here and that the domain's VMs cannot complete, also those that wait.
    pub incomplete_groups: Vec<GroupId>,
}
