//! Settings of the coordinator.

use std::net::SocketAddr;

use mangocross_types::AvailabilityZone;
use mangocross_types::VmId;
use serde::Deserialize;

use crate::OperatorKey;
use crate::Settings;
use crate::operator_key::check_operator_keys;
use crate::range::PROBE_INTERVAL_MS;
use crate::range::TIME_MS;
use crate::range::check_freshness_lease;
use crate::range::check_range;
use crate::range::check_secret;
use crate::range::check_share;

/// Settings of the coordinator.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// This entry VM.
    pub vm: VmId,
    /// Availability zone of this entry VM.
    pub availability_zone: AvailabilityZone,
    /// UDP and TCP address for gateways and other coordinators.
    pub listen: SocketAddr,
    /// Address at which gateways and other coordinators reach this one, if it is not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// UDP address that polls are sent from.
    pub poll_from: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Memory of the process in megabytes; bodies of operators' requests are charged to a share of it.
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
    /// Keys of the operators; commands without a valid key are refused. If the list is empty,
    /// anyone who can reach the address may give commands.
    #[serde(default)]
    pub operator_keys: Vec<OperatorKey>,
    /// Coordinators to contact first; the configuration lists all of them.
    pub coordinators: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secret shared by the entry VMs; frames with another secret are dropped.
    pub peer_secret: String,
    /// Time between polls in milliseconds.
    #[serde(default = "poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// How long a freshness lease for the configuration is valid, in milliseconds.
    #[serde(rename = "vouch_ms", default = "freshness_lease_ms")]
    pub freshness_lease_ms: u64,
    /// Time between probes of an engine in milliseconds.
    #[serde(default = "probe_interval_ms")]
    pub probe_interval_ms: u64,
    /// Timeout of a probe, in milliseconds.
    #[serde(default = "probe_timeout_ms")]
    pub probe_timeout_ms: u64,
    /// How long an answer to a probe, and so a health lease, is valid, in milliseconds.
    #[serde(rename = "proof_ms", default = "health_lease_ms")]
    pub health_lease_ms: u64,
    /// How long a member with work may go without progress, in milliseconds.
    #[serde(default = "stall_ms")]
    pub stall_ms: u64,
    /// How long a command waits for its change to be in force, in milliseconds.
    #[serde(default = "in_force_wait_ms")]
    pub in_force_wait_ms: u64,
    /// How long after its issue an order may still be executed, in milliseconds.
    #[serde(default = "order_deadline_ms")]
    pub order_deadline_ms: u64,
    /// How long an engine may fail all probes before it is replaced, in milliseconds.
    #[serde(default = "lost_ms")]
    pub lost_ms: u64,
    /// How long an engine may fail all probes before it is replaced if idle VMs that hold the weights
    /// can replace all failing members of its group, in milliseconds; at most `lost_ms` is applied.
    #[serde(default = "lost_with_spare_ms")]
    pub lost_with_spare_ms: u64,
    /// Expected time of one load from the weight store, in milliseconds.
    #[serde(default = "expected_load_ms")]
    pub expected_load_ms: u64,
    /// Expected time for a VM to restart, in milliseconds.
    #[serde(default = "expected_restart_ms")]
    pub expected_restart_ms: u64,
    /// How long a report that a VM is leaving, from the platform or the VM itself, is valid, in
    /// milliseconds; longer than the lag of the platform's list.
    #[serde(default = "leaving_kept_ms")]
    pub leaving_kept_ms: u64,
    /// Fraction of operators' requests and of the coordinator's own activities that is traced, from
    /// 0 to 1; a trace decision that comes with a request takes precedence.
    #[serde(default = "trace_share")]
    pub trace_share: f64,
    /// Time between logs of the metrics' totals, in milliseconds.
    #[serde(default = "metrics_log_ms")]
    pub metrics_log_ms: u64,
}

impl CoordinatorSettings {
    /// Returns the address at which gateways and other coordinators reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

fn memory_mb() -> u64 {
    256
}

fn poll_interval_ms() -> u64 {
    750
}

fn freshness_lease_ms() -> u64 {
    6_000
}

fn probe_interval_ms() -> u64 {
    1_000
}

fn probe_timeout_ms() -> u64 {
    800
}

fn health_lease_ms() -> u64 {
    2_500
}

fn stall_ms() -> u64 {
    3_000
}

fn in_force_wait_ms() -> u64 {
    15_000
}

fn order_deadline_ms() -> u64 {
    2_000
}

fn lost_ms() -> u64 {
    3_000
}

fn lost_with_spare_ms() -> u64 {
    1_000
}

fn expected_load_ms() -> u64 {
    60_000
}

fn expected_restart_ms() -> u64 {
    180_000
}

fn leaving_kept_ms() -> u64 {
    600_000
}

fn trace_share() -> f64 {
    1.0
}

fn metrics_log_ms() -> u64 {
    60_000
}

impl Settings for CoordinatorSettings {
    fn vm(&self) -> &VmId {
        &self.vm
    }

    fn check(&self) -> Result<(), String> {
        check_secret("peer_secret", &self.peer_secret)?;
        check_operator_keys(&self.operator_keys)?;
        check_freshness_lease(self.freshness_lease_ms, self.poll_interval_ms)?;
        check_range("probe_interval_ms", self.probe_interval_ms, PROBE_INTERVAL_MS)?;
        let times = [
            ("probe_timeout_ms", self.probe_timeout_ms),
            ("proof_ms", self.health_lease_ms),
            ("stall_ms", self.stall_ms),
            ("in_force_wait_ms", self.in_force_wait_ms),
            ("order_deadline_ms", self.order_deadline_ms),
            ("lost_ms", self.lost_ms),
            ("lost_with_spare_ms", self.lost_with_spare_ms),
            ("leaving_kept_ms", self.leaving_kept_ms),
            ("metrics_log_ms", self.metrics_log_ms),
        ];
        times.iter().try_for_each(|(name, value)| check_range(name, *value, TIME_MS))?;
        if self.health_lease_ms < self.probe_interval_ms + self.probe_timeout_ms {
            return Err("`proof_ms` is less than a probe's interval and timeout; raise it".into());
        }
        check_share("trace_share", self.trace_share)?;
        if self.lost_ms < self.order_deadline_ms {
            return Err("`lost_ms` is less than `order_deadline_ms`; raise it".into());
        }
        Ok(())
    }
}
