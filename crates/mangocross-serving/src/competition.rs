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
mod return_time;

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::CustomerId;

pub use self::capacity::ModelCapacity;
use self::customers::CustomerRatios;
use self::customers::divide;
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
pub use self::return_time::ExpectedReturns;
use crate::FirstEventError;
use crate::Moment;

/// Share of the starts that late streams get at least while capacity is short.
const LATE_FLOOR: f64 = 0.1;
/// Least ratio of a priority or a customer, as a share of the ratio of all streams. Callers need a
/// quarter; the rest covers streams that are refused when they return.
const KIND_FLOOR: f64 = 0.4;
/// Share of the capacity below which the demand must fall before capacity is no longer short.
const SUFFICIENT_SHARE: f64 = 0.9;
/// Share of the slots that may be in use, so that the groups' queues stay empty although their loads
/// differ.
const USED_SLOTS: f64 = 0.85;
/// Time in which streams of a less urgent priority cannot be held back yet, since it takes as long
/// to learn of them.
const REPORT_HORIZON: Duration = Duration::from_millis(500);
/// Time for which ratios are used before they are derived anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);
/// Age at which the ratios of a model without streams are dropped.
const COMPETITION_AGE_MAX: Duration = Duration::from_secs(10);
/// Maximum share of the slots that is kept free for more urgent priorities.
const RESERVED_MAX: f64 = 0.1;

/// Share of the slots that late streams may not use beyond their floor, so that streams in time meet
/// no queue.
const RESERVED_FROM_LATE: f64 = 0.15;

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

/// Admission ratio of a class.
#[derive(Debug, Clone, PartialEq)]
struct ClassRatios {
    class: StreamClass,
    per_s: f64,
    allowed_per_s: f64,
    customers: CustomerRatios,
}

/// Admission ratios for the streams of a model.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AdmissionRatios {
    /// Demand, in streams of the mean cost per second.
    pub demand_per_s: f64,
    /// Capacity, in the same unit.
    pub capacity_per_s: f64,
    /// Whether the capacity is short.
    pub is_short: bool,
    classes: Vec<ClassRatios>,
    /// Ratio of late classes of which no stream is known yet.
    late_ratio: f64,
}

impl AdmissionRatios {
    /// Returns the share of a customer's streams of a class that are admitted.
    pub fn ratio(&self, class: StreamClass, customer: Option<&CustomerId>) -> f64 {
        let Some(found) = self.classes.iter().find(|it| it.class == class) else {
            return if class.timing == Timing::InTime { 1.0 } else { self.late_ratio };
        };
        let limited = &found.customers.limited;
        let of_customer = limited.iter().find(|(it, _)| Some(it) == customer);
        of_customer.map_or(found.customers.common, |(_, ratio)| *ratio)
    }

    /// Returns the classes and the shares that are admitted of the streams of customers that are not
    /// limited.
    pub fn classes(&self) -> impl Iterator<Item = (StreamClass, f64)> {
        self.classes.iter().map(|it| (it.class, it.customers.common))
    }

    fn refused_per_s(&self) -> f64 {
        let in_time = self.classes.iter().filter(|it| it.class.timing == Timing::InTime);
        in_time.map(|it| (it.per_s - it.allowed_per_s).max(0.0)).sum()
    }

    fn free_per_s(&self) -> f64 {
        let late = self.classes.iter().filter(|it| it.class.timing != Timing::InTime);
        let allowed: f64 = self.classes.iter().map(|it| it.allowed_per_s).sum();
        let late: f64 = late.map(|it| it.allowed_per_s).sum();
        let unused = (self.capacity_per_s - allowed).max(0.0);
        (late + unused).max(self.capacity_per_s * LATE_FLOOR)
    }
}

/// Returns the demand of each class in streams of the mean cost per second, in order.
fn rates(demand: &ModelDemand) -> Vec<(&ClassDemand, f64)> {
    let cost: u64 = demand.classes.iter().map(|it| it.cost).sum();
    let mean_cost = cost as f64 / f64::from(demand.streams().max(1));
    let rate = |it: &ClassDemand| {
        let streams = f64::from(it.streams);
        // The begin and the end of a burst show in the newer half of the window; a difference as large as
        // chance makes it is none.
        let difference = 2.0 * f64::from(it.recent_streams) - streams;
        let change = difference - difference.clamp(-streams.sqrt(), streams.sqrt());
        let by_cost = if mean_cost > 0.0 { it.cost as f64 / mean_cost } else { streams };
        by_cost * (1.0 + change / streams.max(1.0)) / WINDOW.as_secs_f64()
    };
    let mut rates: Vec<_> = demand.classes.iter().map(|it| (it, rate(it))).collect();
    rates.retain(|(_, per_s)| *per_s > 0.0);
    rates.sort_by_key(|(it, _)| it.class);
    rates
}

/// Returns the share of the slots that streams of a class may use: some are kept free for the more
/// urgent ones that arrive before the streams of this class can be held back.
fn slot_ceiling(class: StreamClass, rates: &[(&ClassDemand, f64)], slots: f64) -> f64 {
    let more_urgent = rates
        .iter()
        .filter(|(it, _)| it.class.timing == Timing::InTime && it.class.priority < class.priority);
    let per_s: f64 = more_urgent.map(|(_, per_s)| per_s).sum();
    let reserved = (per_s * REPORT_HORIZON.as_secs_f64() / slots.max(1.0)).min(RESERVED_MAX);
    match class.timing {
        Timing::InTime => USED_SLOTS - reserved,
        Timing::Returned | Timing::Late => USED_SLOTS - reserved.max(RESERVED_FROM_LATE),
    }
}

/// What a model's groups can start.
struct Room {
    capacity_per_s: f64,
    /// For each class, the rate at which no more than its share of the slots is used.
    ceiling_per_s: Vec<f64>,
}

impl Room {
    /// Sets what each class may start: floors first, then the classes in order.
    ///
    /// The rates of late classes are raised to that of their streams to come.
    fn fill(&self, rates: &mut [(&ClassDemand, f64)], allowed: &mut [f64], overall: f64) {
        let in_time = rates.partition_point(|(it, _)| it.class.timing == Timing::InTime);
        let late_per_s: f64 = rates[in_time..].iter().map(|(_, per_s)| per_s).sum();
        let late_floor = late_per_s.min(LATE_FLOOR * self.capacity_per_s);
        let floors = rates[..in_time].iter().map(|(_, per_s)| KIND_FLOOR * overall * per_s);
        floors.zip(&mut *allowed).for_each(|(floor, allowed)| *allowed = floor);
        allowed[in_time..].fill(0.0);
        let mut used = allowed.iter().sum::<f64>() + late_floor;
        for at in 0..in_time {
            let room = self.ceiling_per_s[at].min(self.capacity_per_s) - used;
            let more = (rates[at].1 - allowed[at]).min(room).max(0.0);
            allowed[at] += more;
            used += more;
        }
        let demanded: f64 = rates[..in_time].iter().map(|(_, per_s)| per_s).sum();
        let refused = demanded - allowed[..in_time].iter().sum::<f64>();
        let to_come = (refused / late_per_s.max(f64::MIN_POSITIVE)).max(1.0);
        let mut floor_left = late_floor;
        used -= late_floor;
        for at in in_time..rates.len() {
            rates[at].1 *= to_come;
            let room = (self.ceiling_per_s[at].min(self.capacity_per_s) - used).max(floor_left);
            allowed[at] = rates[at].1.min(room).max(0.0);
            used += allowed[at];
            floor_left = (floor_left - allowed[at]).max(0.0);
        }
    }
}

/// Derives the admission ratios for a model's streams.
///
/// `was_short` is whether the capacity was short until now; a demand close to the capacity does not
/// change that.
pub fn admission_ratios(
    demand: &ModelDemand,
    capacity: &ModelCapacity,
    rules: CompetitionRules,
    was_short: bool,
) -> AdmissionRatios {
    let mut rates = rates(demand);
    let demand_per_s: f64 = rates.iter().map(|(_, per_s)| per_s).sum();
    let capacity_per_s = capacity.streams_per_s(USED_SLOTS);
    let slots = capacity.slots();
    let ceiling_per_s: Vec<f64> = rates
        .iter()
        .map(|(it, _)| capacity.streams_per_s(slot_ceiling(it.class, &rates, slots)))
        .collect();
    let sufficient_share = if was_short { SUFFICIENT_SHARE } else { 1.0 };
    let mut sum = 0.0;
    let is_short = rates.iter().zip(&ceiling_per_s).any(|((_, per_s), ceiling)| {
        sum += per_s;
        sum > ceiling * sufficient_share
    });
    let overall = (capacity_per_s / demand_per_s.max(1.0)).min(1.0);
    let mut allowed: Vec<f64> = rates.iter().map(|(_, per_s)| *per_s).collect();
    if is_short {
        let room = Room { capacity_per_s, ceiling_per_s };
        room.fill(&mut rates, &mut allowed, overall);
    }
    let ratios = |((demand, per_s), allowed): (&(&ClassDemand, f64), f64)| {
        let (class, per_s, allowed_per_s) = (demand.class, *per_s, allowed);
        let mut customers = divide(demand, per_s, allowed_per_s, KIND_FLOOR * overall);
        if class.timing == Timing::InTime && !rules.has_priorities {
            customers.common = 1.0;
        }
        ClassRatios { class, per_s, allowed_per_s, customers }
    };
    let classes = rates.iter().zip(allowed).map(ratios).collect();
    let mut ratios =
        AdmissionRatios { demand_per_s, capacity_per_s, is_short, classes, late_ratio: 1.0 };
    let refused_per_s = ratios.refused_per_s();
    if refused_per_s > 0.0 {
        ratios.late_ratio = (ratios.free_per_s() / refused_per_s).min(1.0);
    }
    ratios
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
    short_since: Option<Moment>,
    error: FirstEventError,
    error_known_at: Option<Moment>,
    ratios: AdmissionRatios,
    updated_at: Moment,
    inputs: RatioInputs,
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
        let was_short = self.short_since.is_some();
        let reduction = match rules.ranks_late && was_short {
            true => self.error.capacity_reduction(now),
            false => 0.0,
        };
        let mut capacity = capacity.reduced(reduction);
        if known.source != DemandSource::OwnStreams {
            capacity = capacity.with_begun(f64::from(demand.begun) / WINDOW.as_secs_f64());
        }
        self.ratios = admission_ratios(demand, &capacity, rules, was_short);
        self.updated_at = now;
        self.short_since = match self.ratios.is_short {
            true => self.short_since.or(Some(now)),
            false => None,
        };
        was_short != self.ratios.is_short
    }

    /// Returns the latest ratios.
    pub fn ratios(&self) -> &AdmissionRatios {
        &self.ratios
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
        ExpectedReturns {
            refused_per_s: self.ratios.refused_per_s(),
            free_per_s: self.ratios.free_per_s(),
        }
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

    /// Returns the competitions that were updated within a second.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = (&ModelKey, &ModelCompetition)> {
        self.models.iter().filter(move |(_, it)| now.since(it.updated_at) < WINDOW)
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: Moment) {
        self.demand.expire(now);
        self.models.retain(|_, it| now.since(it.updated_at) < COMPETITION_AGE_MAX);
    }
}
