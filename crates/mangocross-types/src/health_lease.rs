//! Health lease of a group.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::FabricDomain;
use crate::FencingNumber;
use crate::GroupId;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;

/// A lease that a coordinator grants when all members of a group answered a probe
/// and reported the expected group, incarnation, rank and model version.
///
/// `remaining_ms` is the time left when the coordinator wrote the lease. The receiver
/// counts it from when it sent its request, which is earlier, on its own monotonic
/// clock, so that no delay in transit can extend it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthLease {
    /// Group that may serve while the lease is valid.
    pub group: GroupId,
    /// Fabric domain of the group; fencing numbers and incarnations of different domains cannot be
    /// compared.
    pub domain: FabricDomain,
    /// The incarnation that was probed.
    pub incarnation: Incarnation,
    /// Fencing number of the domain's owner, as known to the prober.
    pub fencing_number: FencingNumber,
    /// Model that the group serves.
    pub model: ModelId,
    /// Version of the weights that all members reported.
    pub model_version: ModelVersion,
    /// Address of rank zero, which receives the requests.
    pub address: SocketAddr,
    /// Time left until the lease expires, in milliseconds.
    pub remaining_ms: u32,
    /// Whether new work may be sent; false while draining.
    pub accepts_new: bool,
    /// Requests running and waiting at the group, as last reported.
    pub load: u32,
    /// Age of `load` in milliseconds.
    pub load_age_ms: u32,
}
