//! The status of the gateways, reported by them directly or relayed by another coordinator.

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
    /// Revision of the configuration that the gateway had in force.
    pub revision: Revision,
    /// Lower bound on the time at which the gateway sent the report, if known.
    pub reported_after: Option<Instant>,
    /// Time from which the age of the report counts: its receipt, or `reported_after` if relayed.
    pub age_counts_from: Instant,
    /// Whether the gateway reported to this coordinator, which then relays the status.
    pub is_direct: bool,
    /// The rest of the report.
    pub report: T,
}

/// The newest status of each gateway.
#[derive(Debug, Clone)]
pub struct GatewayTable<T> {
    validity: Duration,
    newest: HashMap<VmId, GatewayStatus<T>>,
}

impl<T> GatewayTable<T> {
    /// Returns an empty table in which a status is current for `validity`.
    pub fn new(validity: Duration) -> Self {
        Self { validity, newest: HashMap::new() }
    }

    /// Records the status of the gateway on a VM unless the table has a newer one.
    pub fn record(&mut self, vm: &VmId, status: GatewayStatus<T>) {
        if self.newest.get(vm).is_none_or(|it| it.age_counts_from <= status.age_counts_from) {
            self.newest.insert(vm.clone(), status);
        }
    }

    /// Returns the newest status of each gateway, regardless of its age.
    pub fn all(&self) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        self.newest.iter()
    }

    /// Returns each gateway status that is still current.
    pub fn current(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        let validity = self.validity;
        self.newest
            .iter()
            .filter(move |(_, it)| now.saturating_duration_since(it.age_counts_from) < validity)
    }

    /// Returns the current status of each gateway that reported to this coordinator, for relaying.
    pub fn direct(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayStatus<T>)> {
        self.current(now).filter(|(_, it)| it.is_direct)
    }
}
