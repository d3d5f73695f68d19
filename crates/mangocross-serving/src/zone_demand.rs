//! Requests of callers by availability zone, summed over the entry VMs of each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::AvailabilityZone;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::ReportedDemand;

/// Age at which a report expires.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);
/// Time over which the rate of requests is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Share of a zone's entry VMs that must have reported for its demand to be known.
const REPORTING_SHARE_MIN: f64 = 0.5;

/// What requests ask for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DemandKey {
    /// Service that the requests go to.
    pub service: ServiceId,
    /// Model that they name, if any.
    pub model: Option<ModelId>,
}

/// Demand of some entry VMs of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Zone of the entry VMs.
    pub zone: AvailabilityZone,
    /// Number of entry VMs whose requests are counted.
    pub entry_vms: u32,
    /// Mean age of their reports, in milliseconds.
    pub age_ms: u32,
    /// Requests per second.
    pub rates: Vec<(DemandKey, f32)>,
}

impl ZoneReport {
    fn per_s(&self, key: &DemandKey) -> f64 {
        self.rates.iter().find(|(it, _)| it == key).map_or(0.0, |(_, per_s)| f64::from(*per_s))
    }
}

/// Moving average of a rate.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at: Moment,
}

impl Rate {
    fn at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.per_s * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Moment) {
        *self = Self { per_s: self.at(now) + 1.0 / AVERAGING_TIME.as_secs_f64(), at: now };
    }
}

/// Requests of this entry VM's callers, and the reports of the others.
#[derive(Debug, Default)]
pub struct ZoneDemands {
    own: HashMap<DemandKey, Rate>,
    peers: HashMap<Arc<str>, (Moment, ZoneReport)>,
    /// Reports of all zones, summed by the planner.
    sums: Option<(Moment, Vec<ZoneReport>)>,
}

impl ZoneDemands {
    /// Records a request of a caller.
    pub fn record_request(&mut self, key: DemandKey, now: Moment) {
        self.own.entry(key).or_default().record(now);
    }

    /// Returns the demand of this entry VM alone.
    pub fn own_report(&self, zone: &AvailabilityZone, now: Moment) -> ZoneReport {
        let rates = self.own.iter().map(|(key, it)| (key.clone(), it.at(now) as f32));
        ZoneReport { zone: zone.clone(), entry_vms: 1, age_ms: 0, rates: rates.collect() }
    }

    /// Replaces the report of another entry VM.
    pub fn apply_report(&mut self, from: Arc<str>, report: ZoneReport, now: Moment) {
        self.peers.insert(from, (now, report));
    }

    /// Replaces the sums over all entry VMs.
    pub fn apply_sums(&mut self, sums: Vec<ZoneReport>, now: Moment) {
        self.sums = Some((now, sums));
    }

    /// Returns the sums of this entry VM's demand and the recent reports of the others, by zone.
    pub fn sums(&self, own_zone: &AvailabilityZone, now: Moment) -> Vec<ZoneReport> {
        let mut sums = vec![self.own_report(own_zone, now)];
        for (received_at, report) in self.peers.values() {
            let age = now.since(*received_at);
            if age >= REPORT_AGE_MAX {
                continue;
            }
            let age_ms = report.age_ms + age.as_millis() as u32;
            match sums.iter_mut().find(|it| it.zone == report.zone) {
                Some(sum) => add(sum, report, age_ms),
                None => sums.push(ZoneReport { age_ms, ..report.clone() }),
            }
        }
        sums
    }

    /// Returns the demand of a zone with this many listed entry VMs; `None` if it is not known.
    ///
    /// Entry VMs whose reports are missing count like the mean of the others.
    pub fn demand(
        &self,
        zone: &AvailabilityZone,
        key: &DemandKey,
        listed_vms: usize,
        own_zone: &AvailabilityZone,
        now: Moment,
    ) -> Option<ReportedDemand> {
        if listed_vms == 0 {
            return Some(ReportedDemand { per_s: 0.0, age: Duration::ZERO });
        }
        let computed;
        let (reports, delay) = match &self.sums {
            Some((at, sums)) if now.since(*at) < REPORT_AGE_MAX => (sums, now.since(*at)),
            Some(_) | None => {
                computed = self.sums(own_zone, now);
                (&computed, Duration::ZERO)
            }
        };
        let report = reports.iter().find(|it| it.zone == *zone)?;
        let (reporting, listed) = (f64::from(report.entry_vms), listed_vms as f64);
        if reporting < listed * REPORTING_SHARE_MIN {
            return None;
        }
        let per_s = report.per_s(key) * (listed / reporting).max(1.0);
        let age = Duration::from_millis(u64::from(report.age_ms)) + delay;
        Some(ReportedDemand { per_s, age })
    }

    /// Removes reports and rates that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.sums.take_if(|(at, _)| now.since(*at) >= REPORT_AGE_MAX);
        self.peers.retain(|_, (at, _)| now.since(*at) < REPORT_AGE_MAX);
        self.own.retain(|_, it| now.since(it.at) < AVERAGING_TIME * 10);
    }
}

/// Adds a report to a sum.
fn add(sum: &mut ZoneReport, report: &ZoneReport, age_ms: u32) {
    let weighted = |vms: u32, age_ms: u32| u64::from(vms) * u64::from(age_ms);
    let ages = weighted(sum.entry_vms, sum.age_ms) + weighted(report.entry_vms, age_ms);
    sum.entry_vms += report.entry_vms;
    sum.age_ms = (ages / u64::from(sum.entry_vms.max(1))) as u32;
    for (key, per_s) in &report.rates {
        match sum.rates.iter_mut().find(|(it, _)| it == key) {
            Some((_, total)) => *total += per_s,
            None => sum.rates.push((key.clone(), *per_s)),
        }
    }
}
