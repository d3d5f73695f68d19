//! Shares of the entry VMs in the requests for each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Age at which the counts of other entry VMs expire.
const COUNTS_AGE_MAX: Duration = Duration::from_secs(3);

/// Requests of callers for each service in a recent window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Number of entry VMs whose requests are counted.
    pub entry_vms: u32,
    /// Requests by service.
    pub requests: Vec<(ServiceId, u32)>,
}

impl RequestCounts {
    /// Returns the requests for a service plus one for each entry VM, so that one without requests
    /// has a share too.
    fn of(&self, service: &ServiceId) -> f64 {
        let found = self.requests.iter().find(|(it, _)| it == service);
        f64::from(self.entry_vms) + found.map_or(0.0, |(_, count)| f64::from(*count))
    }
}

/// The requests of the other entry VMs, from which this one derives its share.
///
/// They tell each other their counts directly, or all tell one of them, which tells them the sum.
#[derive(Debug, Default)]
pub struct RequestShares {
    others: HashMap<Arc<str>, (Moment, RequestCounts)>,
}

impl RequestShares {
    /// Replaces the counts that an entry VM sent: its own, or the sum over several.
    pub fn record(&mut self, from: Arc<str>, counts: RequestCounts, now: Moment) {
        self.others.insert(from, (now, counts));
    }

    /// Returns the sum of an entry VM's own counts and the recent ones of the others.
    pub fn sum(&self, own: &RequestCounts, now: Moment) -> RequestCounts {
        let mut requests: HashMap<ServiceId, u32> = own.requests.iter().cloned().collect();
        let mut entry_vms = own.entry_vms;
        for counts in self.recent(now).filter(|it| it.entry_vms == 1) {
            entry_vms += 1;
            for (service, count) in &counts.requests {
                *requests.entry(service.clone()).or_default() += count;
            }
        }
        RequestCounts { entry_vms, requests: requests.into_iter().collect() }
    }

    /// Returns the share of this entry VM, of `entry_vms` in total, in the requests for a service.
    ///
    /// Entry VMs that have told nothing count like the mean of the others.
    pub fn share(
        &self,
        own: &RequestCounts,
        service: &ServiceId,
        entry_vms: usize,
        now: Moment,
    ) -> f64 {
        let own_requests = own.of(service);
        // A sum includes this entry VM.
        let sum = self.recent(now).filter(|it| it.entry_vms > 1).max_by_key(|it| it.entry_vms);
        let (known_requests, known_vms) = match sum {
            Some(sum) => (sum.of(service).max(own_requests), sum.entry_vms),
            None => {
                let others = self.recent(now).map(|it| it.of(service));
                (own_requests + others.sum::<f64>(), 1 + self.recent(now).count() as u32)
            }
        };
        let known_vms = f64::from(known_vms);
        let missing = (entry_vms as f64 - known_vms).max(0.0);
        own_requests / (known_requests * (1.0 + missing / known_vms))
    }

    fn recent(&self, now: Moment) -> impl Iterator<Item = &RequestCounts> {
        let others = self.others.values();
        others.filter(move |it| now.since(it.0) < COUNTS_AGE_MAX).map(|it| &it.1)
    }

    /// Removes counts that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.others.retain(|_, it| now.since(it.0) < COUNTS_AGE_MAX);
    }
}
