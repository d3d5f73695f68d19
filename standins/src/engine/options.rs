//! Properties and faults of an engine.

use std::net::SocketAddr;

use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The VM that the engine runs on.
    pub vm: VmId,
    /// Time to load weights that are not on the VM, in milliseconds.
    pub load_ms: u64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Weight store where a load is scheduled before it starts, if any.
    pub weight_store: Option<SocketAddr>,
    /// Whether orders with outdated fencing numbers are refused.
    pub honours_fence: bool,
    /// Most prefixes that the cache holds.
    pub cached_prefixes_max: usize,
}

impl EngineOptions {
    /// Creates options with load and token times short enough for tests.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            load_ms: 100,
            first_token_ms: 20,
            token_ms: 5,
            weight_store: None,
            honours_fence: false,
            cached_prefixes_max: 64,
        }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Processes no call, and sends status 500 after 30 s.
    pub frozen: bool,
    /// Answers every call immediately with status 500, to represent a VM without its engine.
    pub dead: bool,
    /// Answers probes but generates many times slower, without progress in its report.
    pub straggler: bool,
    /// Reports that it is leaving.
    pub leaving: bool,
    /// Pauses for 30 s before each token from this index on.
    pub silent_after: Option<u32>,
    /// Ends the answer before the token of this index, without [`GenerateLine::End`].
    ///
    /// [`GenerateLine::End`]: peer_engine::GenerateLine::End
    pub cut_after: Option<u32>,
    /// Sends the id of another attempt from the token of this index on.
    pub swap_after: Option<u32>,
    /// Sends the token of this index twice.
    pub repeat_token: Option<u32>,
    /// Omits the token of this index.
    pub skip_token: Option<u32>,
    /// Delay before orders are executed, in milliseconds.
    pub order_delay_ms: u64,
    /// Executes orders even after their deadline.
    pub ignore_deadline: bool,
    /// Age of the load figures in reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which cache events are published, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Never publishes every n-th cache event; zero publishes all.
    pub cache_event_lose_each: u64,
}
