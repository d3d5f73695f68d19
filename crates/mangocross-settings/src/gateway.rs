//! Settings of the gateway.

use std::net::SocketAddr;

use mangocross_types::AvailabilityZone;
use mangocross_types::VmId;
use serde::Deserialize;

use crate::Settings;
use crate::range::check_freshness_lease;
use crate::range::check_secret;
use crate::range::check_share;

/// Settings of the gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This entry VM.
    pub vm: VmId,
    /// Availability zone of this entry VM.
    pub availability_zone: AvailabilityZone,
    /// Address for callers.
    pub listen: SocketAddr,
    /// UDP address that polls are sent from.
    pub poll_from: SocketAddr,
    /// Coordinators to contact first; the configuration lists all of them.
    pub coordinators: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Secret shared by the entry VMs; frames with another secret are dropped.
    pub peer_secret: String,
    /// Time between polls in milliseconds.
    #[serde(default = "poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// How long a freshness lease for the configuration is valid, in milliseconds.
    #[serde(rename = "vouch_ms", default = "freshness_lease_ms")]
    pub freshness_lease_ms: u64,
    /// Time to the first token, in milliseconds, after which another group is tried if available.
    #[serde(default = "first_token_ms")]
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds, after which another group is tried if available.
    #[serde(default = "token_gap_ms")]
    pub token_gap_ms: u64,
    /// Mean time between tokens over eight tokens, in milliseconds, above which another group is
    /// tried if available.
    #[serde(default = "token_gap_mean_ms")]
    pub token_gap_mean_ms: u64,
    /// Multiple of `first_token_ms` and `token_gap_ms` after which an engine is considered silent
    /// and the attempt ends, whether or not another group is available.
    #[serde(rename = "patience", default = "silence_factor")]
    pub silence_factor: u32,
    /// How long a started answer waits for another complete group, in milliseconds; long enough to
    /// repair a group with a spare VM that holds the weights.
    #[serde(default = "resume_wait_ms")]
    pub resume_wait_ms: u64,
    /// Time between keep-alive messages on a stream without tokens, in milliseconds.
    #[serde(default = "keep_alive_ms")]
    pub keep_alive_ms: u64,
    /// Most tokens that a request may ask for.
    #[serde(default = "max_tokens_max")]
    pub max_tokens_max: u32,
    /// Largest request body in bytes.
    #[serde(default = "body_bytes_max")]
    pub body_bytes_max: usize,
    /// Memory of the process in megabytes; callers' bodies are charged to a share of it.
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
    /// Most requests handled concurrently.
    #[serde(default = "in_flight_max")]
    pub in_flight_max: usize,
    /// Initial limit of this gateway's requests in flight per group; the limit then adapts to the
    /// times to the first token.
    #[serde(default = "group_in_flight_start")]
    pub group_in_flight_start: u32,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// Fraction of requests without a trace decision of their own that is traced, from 0 to 1.
    #[serde(default = "trace_share")]
    pub trace_share: f64,
    /// Time between logs of the metrics' totals, in milliseconds.
    #[serde(default = "metrics_log_ms")]
    pub metrics_log_ms: u64,
    /// How long a planned stop continues to accept requests, so that the load balancer can remove
    /// this gateway, in milliseconds.
    #[serde(default = "notice_ms")]
    pub notice_ms: u64,
}

fn poll_interval_ms() -> u64 {
    500
}

fn freshness_lease_ms() -> u64 {
    6_000
}

/// Twice the target time to the first token, 1.6 s.
fn first_token_ms() -> u64 {
    2 * 1_600
}

/// Twenty times the target time between tokens, 74 ms.
fn token_gap_ms() -> u64 {
    20 * 74
}

/// Four times the target time between tokens, 74 ms.
fn token_gap_mean_ms() -> u64 {
    4 * 74
}

fn silence_factor() -> u32 {
    3
}

fn resume_wait_ms() -> u64 {
    15_000
}

fn keep_alive_ms() -> u64 {
    1_000
}

fn max_tokens_max() -> u32 {
    32_768
}

fn group_in_flight_start() -> u32 {
    256
}

fn trace_share() -> f64 {
    0.01
}

fn metrics_log_ms() -> u64 {
    60_000
}

fn notice_ms() -> u64 {
    2_000
}

fn body_bytes_max() -> usize {
    1024 * 1024
}

fn memory_mb() -> u64 {
    256
}

fn in_flight_max() -> usize {
    1024
}

fn stop_ms() -> u64 {
    300_000
}

impl Settings for GatewaySettings {
    fn vm(&self) -> &VmId {
        &self.vm
    }

    fn check(&self) -> Result<(), String> {
        if self.coordinators.is_empty() {
            return Err("`coordinators` is empty; name at least one address".into());
        }
        check_secret("peer_secret", &self.peer_secret)?;
        check_freshness_lease(self.freshness_lease_ms, self.poll_interval_ms)?;
        let positive = [
            ("first_token_ms", self.first_token_ms),
            ("token_gap_ms", self.token_gap_ms),
            ("token_gap_mean_ms", self.token_gap_mean_ms),
            ("patience", self.silence_factor.into()),
            ("keep_alive_ms", self.keep_alive_ms),
            ("metrics_log_ms", self.metrics_log_ms),
            ("max_tokens_max", self.max_tokens_max.into()),
        ];
        check_share("trace_share", self.trace_share)?;
        if let Some((name, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(format!("`{name}` is 0; use a positive number"));
        }
        Ok(())
    }
}
