//! Demand of the zones, and the shares of requests that leave this one.

use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_serving::DemandKey;
use mangocross_serving::LeaveReason;
use mangocross_serving::Moment;
use mangocross_serving::ZoneBalance;
use mangocross_serving::ZoneDemands;
use mangocross_serving::ZoneFigures;
use mangocross_types::AvailabilityZone;
use mangocross_types::ServiceId;

/// Time between two decisions on the same service or model.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a decision that nobody asked for is forgotten.
const DECISION_RETENTION: Duration = Duration::from_secs(30);
/// Weight of the latest answer in the mean answer time of a plain service.
const NEWEST_WEIGHT: f64 = 0.1;

/// Where a request may be sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ZoneChoice {
    /// The other zone that it is sent to first, and why.
    pub(crate) first: Option<(AvailabilityZone, LeaveReason)>,
    /// Zones that may take it if no server of its own zone can.
    pub(crate) open: Vec<AvailabilityZone>,
}

impl ZoneChoice {
    /// Returns whether the request may be sent to another zone if its own cannot take it.
    pub(crate) fn allows(&self, zone: &AvailabilityZone) -> bool {
        self.open.contains(zone) || self.first.as_ref().is_some_and(|it| it.0 == *zone)
    }
}

/// What decides whether one request is among those that leave, and why it left.
#[derive(Debug)]
pub(crate) struct RequestZone {
    /// Random number that is the same for all attempts: a new one for each would send too many away.
    pub(crate) draw: f64,
    /// Why the latest choice was a server of another zone.
    pub(crate) left: Cell<Option<LeaveReason>>,
}

impl RequestZone {
    pub(crate) fn new(draw: f64) -> Self {
        Self { draw, left: Cell::new(None) }
    }
}

/// The decision on a service or model, and when it was made.
#[derive(Debug, Default)]
struct Decision {
    at: Option<Moment>,
    balance: ZoneBalance,
    /// All zones but this one.
    others: Vec<AvailabilityZone>,
}

/// Demand by zone, and the decisions that follow from it.
#[derive(Debug, Default)]
pub(crate) struct ZoneRouting {
    pub(crate) demands: ZoneDemands,
    decisions: HashMap<DemandKey, Decision>,
    /// Mean time until a plain service's answer.
    answer_seconds: HashMap<ServiceId, f64>,
}

impl ZoneRouting {
    /// Returns whether a decision is due.
    pub(crate) fn is_due(&self, key: &DemandKey, now: Moment) -> bool {
        let decided_at = self.decisions.get(key).and_then(|it| it.at);
        decided_at.is_none_or(|it| now.since(it) >= DECISION_INTERVAL)
    }

    /// Decides anew; returns the shares if they changed.
    pub(crate) fn decide(
        &mut self,
        key: &DemandKey,
        own: &ZoneFigures,
        others: &[ZoneFigures],
        now: Moment,
    ) -> Option<&[(AvailabilityZone, f64)]> {
        let decision = self.decisions.entry(key.clone()).or_default();
        decision.at = Some(now);
        decision.others = others.iter().map(|it| it.zone.clone()).collect();
        let is_changed = decision.balance.update(own, others, now);
        is_changed.then(|| decision.balance.shares())
    }

    /// Applies the decision to a request.
    pub(crate) fn choose(&self, key: &DemandKey, draw: f64) -> ZoneChoice {
        let Some(decision) = self.decisions.get(key) else { return ZoneChoice::default() };
        let first = decision.balance.choose(draw).map(|(zone, reason)| (zone.clone(), reason));
        ZoneChoice { first, open: decision.balance.open().to_vec() }
    }

    /// Returns the share of requests that goes to each other zone, also where it is zero.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&DemandKey, &AvailabilityZone, f64)> {
        self.decisions.iter().flat_map(|(key, it)| {
            let share = |zone: &AvailabilityZone| it.balance.share(zone);
            it.others.iter().map(move |zone| (key, zone, share(zone)))
        })
    }

    /// Records the time until a complete answer of a plain service.
    pub(crate) fn record_answer(&mut self, service: &ServiceId, time: Duration) {
        let newest = time.as_secs_f64();
        match self.answer_seconds.get_mut(service) {
            Some(mean) => *mean += NEWEST_WEIGHT * (newest - *mean),
            None => {
                self.answer_seconds.insert(service.clone(), newest);
            }
        }
    }

    /// Returns the mean time until an answer of a plain service.
    pub(crate) fn answer_time(&self, service: &ServiceId) -> Option<Duration> {
        self.answer_seconds.get(service).map(|it| Duration::from_secs_f64(*it))
    }

    /// Removes what has expired.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.demands.expire(now);
        let is_recent = |it: &Decision| it.at.is_some_and(|at| now.since(at) < DECISION_RETENTION);
        self.decisions.retain(|_, it| is_recent(it));
    }
}
