//! Competition for the capacity of a model's groups.
//!
//! All entry VMs derive the same admission ratios from the same counts, and each admits its streams at
//! random with them. Streams of the first class are served first; a class that is short of capacity
//! is divided among its customers.

mod capacity;
mod customers;
mod demand;
mod demand_window;
mod fleet_demand;
mod ratios;
mod return_time;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::CustomerId;

pub use self::capacity::ModelCapacity;
pub use self::demand::ClassDemand;
pub use self::demand::DemandReport;
pub use self::demand::ModelDemand;
pub use self::demand::ModelKey;
pub use self::demand::StreamClass;
pub use self::demand::Timing;
pub use self::demand::stream_cost;
pub use self::demand_window::DemandWindow;
pub use self::demand_window::FirstEventTimes;
use self::demand_window::WINDOW;
pub use self::fleet_demand::DemandSource;
pub use self::fleet_demand::FleetDemand;
pub use self::fleet_demand::KnownDemand;
pub use self::ratios::AdmissionRatios;
pub use self::ratios::admission_ratios;
pub use self::return_time::ExpectedReturns;
use crate::FirstEventError;
use crate::Moment;

/// Time for which ratios are used before they are derived anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);
/// Age at which the ratios of a model without streams are dropped.
const COMPETITION_AGE_MAX: Duration = Duration::from_secs(60);

/// Which rules apply to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompetitionRules {
    /// Whether its streams have different priorities. If they do not, streams in time are only
    /// refused to customers far above their fair shares.
    pub has_priorities: bool,
    /// Whether late streams are placed behind the others, and errors of predictions lower the
    /// capacity.
    pub ranks_late: bool,
}

/// A stream that is to be started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NewStream<'a> {
    /// Its class.
    pub class: StreamClass,
    /// Its customer, if it has one.
    pub customer: Option<&'a CustomerId>,
    /// Least predicted time to the first event.
    pub first_event_in: Duration,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
}

/// Why a stream is refused although a group may have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// Its deadline passes before its first event.
    Deadline,
    /// More urgent streams, or those of other customers, need the capacity.
    Capacity,
}

impl StartRefusal {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Capacity => "capacity",
        }
    }
}

/// The competition for one model's groups.
#[derive(Debug, Default)]
pub struct ModelCompetition {
    error: FirstEventError,
    error_known_at: Option<Moment>,
    ratios: AdmissionRatios,
    updated_at: Moment,
    inputs: RatioInputs,
    /// Classes of which there were streams.
    classes: BTreeSet<StreamClass>,
}

/// What the ratios are based on, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RatioInputs {
    /// What the known demand is based on.
    pub source: DemandSource,
    /// When the demand was received.
    pub received_at: Moment,
    /// Requests in progress.
    pub in_flight: f64,
    /// Slots of the usable groups.
    pub slots: f64,
}

impl Default for RatioInputs {
    fn default() -> Self {
        let source = DemandSource::OwnStreams;
        Self { source, received_at: Moment::default(), in_flight: 0.0, slots: 0.0 }
    }
}

impl ModelCompetition {
    /// Derives the ratios anew from the demand for the model, a part of `known`.
    ///
    /// Returns whether it has changed that the capacity is short.
    pub fn update(
        &mut self,
        demand: &ModelDemand,
        capacity: ModelCapacity,
        rules: CompetitionRules,
        known: &KnownDemand,
        now: Moment,
    ) -> bool {
        if self.error_known_at != Some(known.received_at) {
            self.error_known_at = Some(known.received_at);
            self.error.record(demand.first_event_error(), demand.first_events, now);
        }
        self.inputs = RatioInputs {
            source: known.source,
            received_at: known.received_at,
            in_flight: capacity.in_flight(),
            slots: capacity.slots(),
        };
        let was_short = self.is_short(now);
        let reduction = match rules.ranks_late && was_short {
            true => self.error.capacity_reduction(now),
            false => 0.0,
        };
        let mut capacity = capacity.reduced(reduction);
        if known.source != DemandSource::OwnStreams {
            capacity = capacity.with_begun(f64::from(demand.begun) / WINDOW.as_secs_f64());
        }
        self.ratios = admission_ratios(demand, &capacity, rules, was_short);
        self.classes.extend(demand.classes.iter().map(|it| it.class));
        self.updated_at = now;
        was_short != self.ratios.is_short
    }

    /// Returns the latest ratios.
    pub fn ratios(&self) -> &AdmissionRatios {
        &self.ratios
    }

    /// Returns whether the capacity is short, by ratios that are recent.
    pub fn is_short(&self, now: Moment) -> bool {
        self.ratios.is_short && now.since(self.updated_at) < WINDOW
    }

    /// Returns all classes of which there were streams, and the shares that are admitted of the streams
    /// of customers that are not limited.
    pub fn class_ratios(&self, now: Moment) -> impl Iterator<Item = (StreamClass, f64)> {
        let is_short = self.is_short(now);
        let ratio = move |it| if is_short { self.ratios.ratio(it, None) } else { 1.0 };
        self.classes.iter().map(move |it| (*it, ratio(*it)))
    }

    /// Returns what the ratios are based on.
    pub fn inputs(&self) -> RatioInputs {
        self.inputs
    }

    /// Returns the error of the predictions, as a share of the target latency.
    pub fn first_event_error(&self, now: Moment) -> f64 {
        self.error.share(now)
    }

    /// Returns why a stream is refused, if it is; `draw` is a random number below 1.
    pub fn refusal(
        &self,
        stream: &NewStream<'_>,
        rules: CompetitionRules,
        draw: f64,
    ) -> Option<StartRefusal> {
        if !self.ratios.is_short {
            return None;
        }
        let is_late = stream.class.timing != Timing::InTime;
        if is_late && rules.ranks_late && stream.first_event_in >= stream.time_left {
            return Some(StartRefusal::Deadline);
        }
        let ratio = self.ratios.ratio(stream.class, stream.customer);
        (draw >= ratio).then_some(StartRefusal::Capacity)
    }

    /// Returns the callers that are expected to come back.
    pub fn expected_returns(&self) -> ExpectedReturns {
        let AdmissionRatios { refused_per_s, .. } = self.ratios;
        ExpectedReturns { refused_per_s, free_per_s: self.ratios.free_per_s() }
    }
}

/// The demand for all models, and the competition for the groups of each.
#[derive(Debug, Default)]
pub struct Competition {
    /// Demand of all entry VMs.
    pub demand: FleetDemand,
    models: HashMap<ModelKey, ModelCompetition>,
}

impl Competition {
    /// Returns a model's competition with ratios that are recent, and whether it has changed that the
    /// capacity is short.
    ///
    /// There are `entry_vms`; `capacity` derives the capacity, given whether only the streams of this
    /// entry VM are known.
    pub fn update(
        &mut self,
        model: &ModelKey,
        entry_vms: usize,
        rules: CompetitionRules,
        now: Moment,
        capacity: impl FnOnce(DemandSource) -> ModelCapacity,
    ) -> (&ModelCompetition, bool) {
        let competition = self.models.entry(model.clone()).or_default();
        if now.since(competition.updated_at) < REFRESH_INTERVAL {
            return (competition, false);
        }
        let known = self.demand.known(entry_vms, now);
        let none = ModelDemand::new(model.clone());
        let demand = known.report.model(model).unwrap_or(&none);
        let capacity = capacity(known.source);
        let has_changed = competition.update(demand, capacity, rules, &known, now);
        (competition, has_changed)
    }

    /// Returns the competition for a model's groups.
    pub fn model(&self, model: &ModelKey) -> Option<&ModelCompetition> {
        self.models.get(model)
    }

    /// Returns the competitions for the models that got streams.
    pub fn models(&self) -> impl Iterator<Item = (&ModelKey, &ModelCompetition)> {
        self.models.iter()
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Moment) {
        self.demand.expire(now);
        self.models.retain(|_, it| now.since(it.updated_at) < COMPETITION_AGE_MAX);
    }
}
