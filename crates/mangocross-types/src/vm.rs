//! The platform's list of VMs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::AvailabilityZone;
use crate::FabricDomain;
use crate::ServiceId;
use crate::VmId;

/// State of a VM in the platform's list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs, as far as the platform knows.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// What runs on a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum VmRole {
    /// A model engine in a fabric domain.
    Engine {
        /// Fabric domain that the VM belongs to; all members of a group are in one.
        fabric_domain: FabricDomain,
        /// Number of accelerators of the VM.
        accelerators: u16,
    },
    /// A backend server of a plain service.
    Service {
        /// Service that the backend server belongs to.
        service: ServiceId,
    },
    /// An entry VM of this system.
    Entry,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListEntry {
    /// Id that the platform gives the VM.
    pub vm: VmId,
    /// Address of the server that runs on the VM.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// State that the platform last observed.
    pub state: VmState,
    /// What runs on the VM.
    pub role: VmRole,
}
