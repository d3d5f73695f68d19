//! Selects the backend server of a plain service for a request.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Weight of the latest outcome in a server's moving failure share.
const NEWEST_WEIGHT: f64 = 0.25;
/// Cost of a failure share of 1, in requests in progress.
const FAILURE_SHARE_COST: f64 = 24.0;
/// Half-life of a server's failure share.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Cost of a server in another availability zone, in requests in progress.
const OTHER_ZONE_COST: f64 = 0.5;

/// A server that can receive a request, and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLoad {
    /// VM of the server.
    pub vm: VmId,
    /// Requests in progress.
    pub in_flight: u32,
    /// Whether the server is in the availability zone of this entry VM.
    pub is_same_zone: bool,
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    share: f64,
    at: Moment,
}

/// Recent share of failed requests of each server.
#[derive(Debug, Default)]
pub struct FailureTable {
    servers: HashMap<VmId, Failures>,
}

impl FailureTable {
    /// Records the outcome of a request at a server.
    pub fn record(&mut self, vm: &VmId, has_failed: bool, now: Moment) {
        let before = self.share(vm, now);
        let outcome = f64::from(u8::from(has_failed));
        let share = before + NEWEST_WEIGHT * (outcome - before);
        self.servers.insert(vm.clone(), Failures { share, at: now });
    }

    /// Returns a server's failure share, which decays over time.
    pub fn share(&self, vm: &VmId, now: Moment) -> f64 {
        let Some(it) = self.servers.get(vm) else { return 0.0 };
        it.share * 0.5_f64.powf(now.since(it.at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Removes servers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&VmId) -> bool) {
        self.servers.retain(|vm, _| is_listed(vm));
    }

    /// Returns the load of a server in requests in progress, to which failures add.
    pub fn load(&self, server: &ServerLoad, now: Moment) -> f64 {
        f64::from(server.in_flight) + FAILURE_SHARE_COST * self.share(&server.vm, now)
    }

    /// Chooses the server with the lowest cost of load, distance and failures.
    pub fn choose<'a>(&self, servers: &'a [ServerLoad], now: Moment) -> Option<&'a ServerLoad> {
        let cost = |it: &ServerLoad| {
            let distance = if it.is_same_zone { 0.0 } else { OTHER_ZONE_COST };
            self.load(it, now) + distance
        };
        servers.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}
