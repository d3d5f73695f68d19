//! The demand of all entry VMs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::CustomerId;

use crate::DemandReport;
use crate::DemandWindow;
use crate::FirstEventTimes;
use crate::ModelKey;
use crate::Moment;
use crate::StreamClass;

/// Age at which the report of another entry VM is no longer summed up. Its callers reach other entry
/// VMs once it has ended, and must not be counted twice for long.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1500);
/// Age at which totals expire; then an entry VM goes by its own streams.
const TOTALS_AGE_MAX: Duration = Duration::from_secs(3);
/// Time within which totals of less than half as many entry VMs do not replace others: a new planner
/// has not received all reports yet.
const PARTIAL_TOTALS_PAUSE: Duration = Duration::from_secs(1);

/// What the known demand is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandSource {
    /// Totals of the planner.
    Totals,
    /// Reports of the individual entry VMs.
    Reports,
    /// The streams of this entry VM, times the number of entry VMs.
    OwnStreams,
}

impl DemandSource {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Totals => "totals",
            Self::Reports => "reports",
            Self::OwnStreams => "own streams",
        }
    }
}

/// The demand of all entry VMs as one of them knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownDemand {
    /// Streams of all entry VMs.
    pub report: DemandReport,
    /// When the newest part of it arrived.
    pub received_at: Moment,
    /// What it is based on.
    pub source: DemandSource,
}

/// The streams of this entry VM and the latest reports of the others.
#[derive(Debug, Default)]
pub struct FleetDemand {
    own: DemandWindow,
    others: HashMap<Arc<str>, (Moment, DemandReport)>,
    totals: Option<(Moment, DemandReport)>,
}

impl FleetDemand {
    /// Records a stream of this entry VM that is to be started.
    pub fn record(
        &mut self,
        model: &ModelKey,
        class: StreamClass,
        customer: Option<&CustomerId>,
        cost: u64,
        now: Moment,
    ) {
        self.own.record(model, class, customer, cost, now);
    }

    /// Records that an answer began, and the times to its first event if it was predicted.
    pub fn record_begin(&mut self, model: &ModelKey, times: Option<FirstEventTimes>, now: Moment) {
        self.own.record_begin(model, times, now);
    }

    /// Records that a stream was refused for the first time.
    pub fn record_refusal(&mut self, model: &ModelKey, now: Moment) {
        self.own.record_refusal(model, now);
    }

    /// Replaces the report of another entry VM on its own streams.
    pub fn record_report(&mut self, from: Arc<str>, report: DemandReport, now: Moment) {
        self.others.insert(from, (now, report));
    }

    /// Replaces the totals of all entry VMs.
    pub fn record_totals(&mut self, report: DemandReport, now: Moment) {
        let is_partial = self.totals.as_ref().is_some_and(|(at, known)| {
            now.since(*at) < PARTIAL_TOTALS_PAUSE && report.entry_vms * 2 < known.entry_vms
        });
        if !is_partial {
            self.totals = Some((now, report));
        }
    }

    /// Returns the report on this entry VM's own streams.
    pub fn own_report(&self, now: Moment) -> DemandReport {
        let mut report = self.own.report(now);
        report.shorten();
        report
    }

    /// Returns the sum of this entry VM's streams and the recent reports of the others.
    pub fn totals(&self, now: Moment) -> DemandReport {
        let mut sum = self.sum(now);
        sum.shorten();
        sum
    }

    fn sum(&self, now: Moment) -> DemandReport {
        let mut sum = self.own.report(now);
        let recent = self.others.values().filter(|(at, _)| now.since(*at) < REPORT_AGE_MAX);
        recent.for_each(|(_, report)| sum.plus(report));
        sum
    }

    /// Returns the demand of all entry VMs, of which there are `entry_vms`.
    pub fn known(&self, entry_vms: usize, now: Moment) -> KnownDemand {
        let recent = |at: &Moment| now.since(*at) < REPORT_AGE_MAX;
        let reports = self.others.values().filter(|(at, _)| recent(at));
        let newest = reports.clone().map(|(at, _)| *at).max();
        if 2 * (reports.count() + 1) >= entry_vms {
            let (report, received_at) = (self.sum(now), newest.unwrap_or(now));
            return KnownDemand { report, received_at, source: DemandSource::Reports };
        }
        if let Some((at, report)) = &self.totals
            && now.since(*at) < TOTALS_AGE_MAX
        {
            let (report, received_at) = (report.clone(), *at);
            return KnownDemand { report, received_at, source: DemandSource::Totals };
        }
        let mut report = self.own.report(now);
        let streams: u32 = report.models.iter().map(|it| it.streams()).sum();
        report.scale(likely_total(f64::from(streams), entry_vms) / f64::from(streams.max(1)));
        KnownDemand { report, received_at: now, source: DemandSource::OwnStreams }
    }

    /// Removes reports that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.others.retain(|_, (at, _)| now.since(*at) < REPORT_AGE_MAX);
        self.totals.take_if(|(at, _)| now.since(*at) >= TOTALS_AGE_MAX);
    }
}

/// Returns the number that all entry VMs have at least, with some certainty, if one of them has `own`.
///
/// The number of one entry VM varies by chance; twice its share by chance must not look like a burst.
pub(super) fn likely_total(own: f64, entry_vms: usize) -> f64 {
    (own - own.sqrt()).max(0.0) * entry_vms as f64
}
