//! The coordinators that grant freshness leases, and how many of them are a majority.

use std::net::SocketAddr;

use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;

/// The identity of a coordinator that grants freshness leases.
///
/// The address is part of the identity: a process that still runs at an old address does not count
/// as the coordinator in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CoordinatorEndpoint {
    /// Its entry VM.
    pub vm: VmId,
    /// Address at which it is polled.
    pub address: SocketAddr,
}

impl From<&EntryVmSpec> for CoordinatorEndpoint {
    fn from(spec: &EntryVmSpec) -> Self {
        Self { vm: spec.vm.clone(), address: spec.coordinator }
    }
}

/// Returns how many out of `members` are a majority.
pub(crate) fn majority(members: usize) -> usize {
    members / 2 + 1
}
