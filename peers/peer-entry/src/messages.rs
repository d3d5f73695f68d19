//! Messages between entry VMs.

use mangocross_types::CustomerId;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::GroupProof;
use mangocross_types::Revision;
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
    /// Use by customer at this gateway.
    pub usage: Vec<CustomerUsage>,
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
/// Size: about 60 bytes, 100 for each group that it probes and 25 for each VM
/// that is leaving. An answer that would not fit a datagram is split; each part
/// stands on its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// The poll's nonce.
    pub nonce: u64,
    /// The VM that answers.
    pub vm: VmId,
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Newest revision of the configuration that the answerer holds.
    pub revision: Revision,
    /// Time since the answerer learned from the store that `revision` was the
    /// newest, in milliseconds; `None` if it never did.
    pub store_age_ms: Option<u32>,
    /// Proofs from the answerer's own probes; no time left means that the group is
    /// known to be incomplete.
    pub proofs: Vec<GroupProof>,
    /// Fabric domains that the answerer probes.
    pub domains: Vec<DomainSummary>,
    /// VMs that must receive no new work.
    pub leaving: Vec<LeavingVm>,
    /// Use by customer at all other gateways that poll the answerer.
    pub usage: Vec<CustomerUsage>,
}

/// A VM that must receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingVm {
    /// The VM.
    pub vm: VmId,
    /// Time since the platform or the VM itself last said so, in milliseconds;
    /// passing the word on does not make it younger.
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
    /// Groups that the domain's idle VMs cannot complete.
    pub stuck_groups: Vec<GroupId>,
}
