//! A VM with a model engine.

use std::net::SocketAddr;

use mangocross_types::VmId;

/// A VM with a model engine in the fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineVm {
    /// The VM.
    pub vm: VmId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Whether it must receive no new work.
    pub leaving: bool,
    /// Whether the platform's newest list names it; no group is formed with one
    /// that is not listed, and none loses it as long as it answers.
    pub listed: bool,
}
