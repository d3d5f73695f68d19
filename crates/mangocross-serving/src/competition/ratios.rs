//! Admission ratios of the classes and customers that compete for a model's groups.

use std::time::Duration;

use mangocross_types::CustomerId;

use super::customers::CustomerRatios;
use super::customers::divide;
use super::demand_window::WINDOW;
use crate::ClassDemand;
use crate::CompetitionRules;
use crate::ModelCapacity;
use crate::ModelDemand;
use crate::StreamClass;
use crate::Timing;

/// Share of the starts that late streams get at least while capacity is short.
const LATE_FLOOR: f64 = 0.1;
/// Least ratio of a priority in time, as a share of the ratio of all streams. Callers need a quarter,
/// and none to be far behind another; the rest covers streams that are refused when they return.
const PRIORITY_FLOOR: f64 = 0.6;
/// Least ratio of a customer, as a share of the ratio of all streams. Callers need a quarter; the rest
/// covers streams that are refused when they return.
const CUSTOMER_FLOOR: f64 = 0.4;
/// Factor by which late demand that rises is taken to be higher than it is known, at most.
const RISE_MAX: f64 = 4.0;
/// Share of the capacity below which the demand must fall before capacity is no longer short.
const SUFFICIENT_SHARE: f64 = 0.9;
/// Share of the slots that may be in use, so that the groups' queues stay empty although their loads
/// differ.
const USED_SLOTS: f64 = 0.92;
/// The same where streams have equal priorities: a refused stream costs its caller more than one that
/// waits a little. With all slots planned, one customer of 7.5 times its usual load takes over a tenth
/// of the streams in time of the others.
const QUEUED_SLOTS: f64 = 0.96;
/// Time in which streams of a less urgent priority cannot be held back yet, since it takes as long
/// to learn of them.
const REPORT_HORIZON: Duration = Duration::from_millis(500);
/// Maximum share of the slots that is kept free for more urgent priorities.
const RESERVED_MAX: f64 = 0.1;
/// Share of the slots that late streams may not use beyond their floor, so that streams in time meet
/// no queue.
const RESERVED_FROM_LATE: f64 = 0.15;

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
    /// Streams that are refused the first time each second.
    pub refused_per_s: f64,
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

    /// Returns the streams each second for which the others leave capacity.
    pub(super) fn free_per_s(&self) -> f64 {
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
        // The begin and the end of a burst show in the newer half of the window.
        let change = change(it.streams, it.recent_streams);
        let by_cost = if mean_cost > 0.0 { it.cost as f64 / mean_cost } else { streams };
        by_cost * (1.0 + change / streams.max(1.0)) / WINDOW.as_secs_f64()
    };
    let mut rates: Vec<_> = demand.classes.iter().map(|it| (it, rate(it))).collect();
    rates.retain(|(_, per_s)| *per_s > 0.0);
    rates.sort_by_key(|(it, _)| it.class);
    rates
}

/// Returns by how much more streams there are in the newer half of the window than in the other one, if
/// that is more than chance.
fn change(streams: u32, recent: u32) -> f64 {
    let difference = 2.0 * f64::from(recent) - f64::from(streams);
    let chance = f64::from(streams).sqrt();
    difference - difference.clamp(-chance, chance)
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
    /// The rates of late classes are raised by `rise`.
    fn fill(
        &self,
        rates: &mut [(&ClassDemand, f64)],
        allowed: &mut [f64],
        overall: f64,
        rise: f64,
    ) {
        let in_time = rates.partition_point(|(it, _)| it.class.timing == Timing::InTime);
        let late_per_s: f64 = rates[in_time..].iter().map(|(_, per_s)| per_s).sum();
        let late_floor = late_per_s.min(LATE_FLOOR * self.capacity_per_s);
        let floors = rates[..in_time].iter().map(|(_, per_s)| PRIORITY_FLOOR * overall * per_s);
        floors.zip(&mut *allowed).for_each(|(floor, allowed)| *allowed = floor);
        allowed[in_time..].fill(0.0);
        let mut used = allowed.iter().sum::<f64>() + late_floor;
        for at in 0..in_time {
            let room = self.ceiling_per_s[at].min(self.capacity_per_s) - used;
            let more = (rates[at].1 - allowed[at]).min(room).max(0.0);
            allowed[at] += more;
            used += more;
        }
        let mut floor_left = late_floor;
        used -= late_floor;
        for at in in_time..rates.len() {
            rates[at].1 *= rise;
            let room = (self.ceiling_per_s[at].min(self.capacity_per_s) - used).max(floor_left);
            allowed[at] = rates[at].1.min(room).max(0.0);
            used += allowed[at];
            floor_left = (floor_left - allowed[at]).max(0.0);
        }
    }
}

/// Returns the factor by which late demand is higher than it is known: while it rises, up to as many
/// streams return as are refused.
fn late_rise(demand: &ModelDemand) -> f64 {
    let late = || demand.classes.iter().filter(|it| it.class.timing != Timing::InTime);
    let streams: u32 = late().map(|it| it.streams).sum();
    let recent: u32 = late().map(|it| it.recent_streams).sum();
    if change(streams, recent) <= 0.0 {
        return 1.0;
    }
    (f64::from(demand.refused) / f64::from(streams.max(1))).clamp(1.0, RISE_MAX)
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
    let used_slots = if rules.has_priorities { USED_SLOTS } else { QUEUED_SLOTS };
    let capacity_per_s = capacity.streams_per_s(used_slots);
    let slots = capacity.slots();
    let ceiling_per_s: Vec<f64> = rates
        .iter()
        .map(|(it, _)| {
            let ceiling = slot_ceiling(it.class, &rates, slots) + used_slots - USED_SLOTS;
            capacity.streams_per_s(ceiling)
        })
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
        let rise = late_rise(demand);
        Room { capacity_per_s, ceiling_per_s }.fill(&mut rates, &mut allowed, overall, rise);
    }
    let ratios = |((demand, per_s), allowed): (&(&ClassDemand, f64), f64)| {
        let (class, per_s, allowed_per_s) = (demand.class, *per_s, allowed);
        let mut customers = divide(demand, per_s, allowed_per_s, CUSTOMER_FLOOR * overall);
        if class.timing == Timing::InTime && !rules.has_priorities {
            customers.common = 1.0;
        }
        ClassRatios { class, per_s, allowed_per_s, customers }
    };
    let classes: Vec<ClassRatios> = rates.iter().zip(allowed).map(ratios).collect();
    let in_time = classes.iter().filter(|it| it.class.timing == Timing::InTime);
    let not_allowed: f64 = in_time.map(|it| (it.per_s - it.allowed_per_s).max(0.0)).sum();
    let mut refused_per_s = f64::from(demand.refused) / WINDOW.as_secs_f64();
    if rules.has_priorities {
        refused_per_s = refused_per_s.max(not_allowed);
    }
    let mut ratios = AdmissionRatios {
        demand_per_s,
        capacity_per_s,
        is_short,
        refused_per_s,
        classes,
        late_ratio: 1.0,
    };
    if refused_per_s > 0.0 {
        ratios.late_ratio = (ratios.free_per_s() / refused_per_s).min(1.0);
    }
    ratios
}
