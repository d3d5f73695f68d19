//! VMs with a model engine.

use std::net::SocketAddr;

use mangocross_types::VmId;

/// A VM with a model engine in the fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Whether it is leaving; it must then receive no new work.
    pub leaving: bool,
    /// Whether the platform's newest list contains it.
    ///
    /// A VM that is not listed is not used for new groups, but stays a member of its group as long
    /// as it answers probes.
    pub listed: bool,
}
