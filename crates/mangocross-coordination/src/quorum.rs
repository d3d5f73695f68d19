//! Which coordinators vouch for the configuration, and how many are a majority.

use std::net::SocketAddr;

use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;

/// A coordinator that vouches.
///
/// The address is part of its identity: a process left behind at an old address
/// is another voucher than the one that the configuration names.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CoordinatorEndpoint {
    /// Its entry VM.
    pub vm: VmId,
    /// Address at which it was asked.
    pub address: SocketAddr,
}

impl From<&EntryVmSpec> for CoordinatorEndpoint {
    fn from(spec: &EntryVmSpec) -> Self {
        Self { vm: spec.vm.clone(), address: spec.coordinator }
    }
}

/// Returns how many of `members` are a majority.
pub(crate) fn majority(members: usize) -> usize {
    members / 2 + 1
}
