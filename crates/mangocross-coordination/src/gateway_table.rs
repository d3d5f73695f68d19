//! What a coordinator knows of the gateways: by themselves, or passed on by another coordinator.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Revision;
use mangocross_types::VmId;

/// Status of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayStatus<T> {
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Revision of the configuration that it had in force.
    pub revision: Revision,
    /// A time after which the gateway said so, if one is known.
    pub reported_after: Option<Instant>,
    /// When it is taken to have said so.
    pub received_at: Instant,
    /// Whether it reported here, so that this coordinator passes the status on.
    pub is_direct: bool,
    /// What else it said.
    pub report: T,
}

/// The newest status of each gateway.
#[derive(Debug, Clone)]
pub struct GatewayTable<T> {
    retention: Duration,
    newest: HashMap<VmId, GatewayStatus<T>>,
}

impl<T> GatewayTable<T> {
    /// Returns an empty table; what a gateway said counts for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, newest: HashMap::new() }
    }

    /// Records the status of the gateway on a VM, unless a newer one is there.
    pub fn record(&mut self, vm: &VmId, status: GatewayStatus<T>) {
        if self.newest.get(vm).is_none_or(|it| it.received_at <= status.received_at) {
            self.newest.insert(vm.clone(), status);
        }
    }

    /// Returns the newest status of each gateway, however old.
    pub fn all(&self) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        self.newest.iter()
    }

    /// Returns the status of each gateway that still counts.
    pub fn current(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        let retention = self.retention;
        self.newest
            .iter()
            .filter(move |(_, it)| now.saturating_duration_since(it.received_at) < retention)
    }

    /// Returns the status of each gateway that reported here, to be passed on.
    pub fn direct(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        self.current(now).filter(|(_, it)| it.is_direct)
    }
}
