//! The demand for the models' groups, by class and customer.

use std::time::Duration;

use mangocross_types::CustomerId;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// Cost of an output token in prompt tokens: it takes an engine about ten times as long.
const OUTPUT_TOKEN_COST: u64 = 10;
/// Customers of a class that a report names; a report of six classes fits into a usual network
/// packet.
const NAMED_CUSTOMERS_MAX: usize = 6;
/// Time that each stream waits at an entry VM, or that a caller's deadlines differ by.
const WAITED_MIN: Duration = Duration::from_millis(50);
/// Share of the target latency that the predicted time to the first event may use.
const TARGET_LATENCY_SHARE: f64 = 0.95;

/// A model of an engine service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelKey {
    /// Service whose groups serve the model.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
}

/// Whether a stream can meet its target latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timing {
    /// It can.
    InTime,
    /// It cannot, and its caller was refused before.
    Returned,
    /// It cannot, since it waited at an entry VM.
    Late,
}

impl Timing {
    /// Returns the timing of a stream whose caller was refused `waited_before` ago, or not at all, and
    /// that has waited here for `age`; `first_event_min` is the time to the first event at an idle
    /// group.
    pub fn new(
        waited_before: Duration,
        age: Duration,
        first_event_min: Duration,
        target_latency: Duration,
    ) -> Self {
        let waited = waited_before + age;
        let can_meet = waited + first_event_min <= target_latency.mul_f64(TARGET_LATENCY_SHARE);
        if can_meet || waited < WAITED_MIN {
            return Self::InTime;
        }
        if waited_before >= WAITED_MIN { Self::Returned } else { Self::Late }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Returned => "returned",
            Self::Late => "late",
        }
    }
}

/// Streams that are equally urgent; the first class in order is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamClass {
    /// Whether the streams can meet their target latencies.
    pub timing: Timing,
    /// Priority; zero is the highest.
    pub priority: u8,
}

/// Returns the cost of a stream at an engine, in prompt tokens.
pub fn stream_cost(prompt_tokens: u32, output_tokens: u32) -> u64 {
    u64::from(prompt_tokens) + OUTPUT_TOKEN_COST * u64::from(output_tokens)
}

/// Streams of a class within a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// The class.
    pub class: StreamClass,
    /// Streams within the window.
    pub streams: u32,
    /// Streams within the newer half of the window.
    pub recent_streams: u32,
    /// Cost of the streams.
    pub cost: u64,
    /// Customers with the highest costs, and these.
    pub customers: Vec<(CustomerId, u64)>,
    /// Number of customers that are not named.
    pub other_customers: u32,
}

impl ClassDemand {
    /// Creates the demand of a class without streams.
    pub fn new(class: StreamClass) -> Self {
        Self {
            class,
            streams: 0,
            recent_streams: 0,
            cost: 0,
            customers: Vec::new(),
            other_customers: 0,
        }
    }

    /// Adds streams of a customer.
    pub fn add(&mut self, customer: Option<&CustomerId>, streams: u32, recent: u32, cost: u64) {
        self.streams += streams;
        self.recent_streams += recent;
        self.cost += cost;
        if let Some(customer) = customer {
            self.add_customer(customer, cost);
        }
    }

    fn add_customer(&mut self, customer: &CustomerId, cost: u64) {
        match self.customers.iter_mut().find(|(it, _)| it == customer) {
            Some((_, sum)) => *sum += cost,
            None => self.customers.push((customer.clone(), cost)),
        }
    }

    fn plus(&mut self, other: &Self) {
        self.add(None, other.streams, other.recent_streams, other.cost);
        other.customers.iter().for_each(|(customer, cost)| self.add_customer(customer, *cost));
        // The customers that two reports do not name are mostly the same.
        self.other_customers = self.other_customers.max(other.other_customers);
    }

    /// Keeps the names of the customers with the highest costs.
    fn shorten(&mut self) {
        self.customers.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let others = self.customers.len().saturating_sub(NAMED_CUSTOMERS_MAX);
        self.customers.truncate(NAMED_CUSTOMERS_MAX);
        self.other_customers += u32::try_from(others).unwrap_or(u32::MAX);
    }

    fn scale(&mut self, factor: f64) {
        let scaled = |it: u32| (f64::from(it) * factor).round() as u32;
        self.streams = scaled(self.streams);
        self.recent_streams = scaled(self.recent_streams);
        let scaled = |it: u64| (it as f64 * factor).round() as u64;
        self.cost = scaled(self.cost);
        self.customers.iter_mut().for_each(|(_, cost)| *cost = scaled(*cost));
    }
}

/// Streams for a model within a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelKey,
    /// Its classes, in no order.
    pub classes: Vec<ClassDemand>,
    /// Streams whose answers began within the window.
    pub begun: u32,
    /// Streams that were refused within the window for the first time.
    pub refused: u32,
    /// First events within the newer half of the window that were predicted.
    pub first_events: u32,
    /// Sum over these of the time by which the first event came later than predicted, in thousandths
    /// of the stream's target latency.
    pub first_event_error_permille: i64,
}

impl ModelDemand {
    /// Creates the demand for a model without streams.
    pub fn new(model: ModelKey) -> Self {
        Self {
            model,
            classes: Vec::new(),
            begun: 0,
            refused: 0,
            first_events: 0,
            first_event_error_permille: 0,
        }
    }

    /// Returns the demand of a class, which is added if it is missing.
    pub fn class_mut(&mut self, class: StreamClass) -> &mut ClassDemand {
        let at = self.classes.iter().position(|it| it.class == class).unwrap_or_else(|| {
            self.classes.push(ClassDemand::new(class));
            self.classes.len() - 1
        });
        &mut self.classes[at]
    }

    /// Returns the number of streams.
    pub fn streams(&self) -> u32 {
        self.classes.iter().map(|it| it.streams).sum()
    }

    /// Returns the mean error of the predicted times to the first event, as a share of the target
    /// latency.
    pub fn first_event_error(&self) -> f64 {
        self.first_event_error_permille as f64 / 1000.0 / f64::from(self.first_events.max(1))
    }
}

/// Streams for all models within a window, of one entry VM or of several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Number of entry VMs whose streams are counted.
    pub entry_vms: u32,
    /// The models, in no order.
    pub models: Vec<ModelDemand>,
}

impl DemandReport {
    /// Returns the demand for a model, which is added if it is missing.
    pub fn model_mut(&mut self, model: &ModelKey) -> &mut ModelDemand {
        let at = self.models.iter().position(|it| it.model == *model).unwrap_or_else(|| {
            self.models.push(ModelDemand::new(model.clone()));
            self.models.len() - 1
        });
        &mut self.models[at]
    }

    /// Returns the demand for a model.
    pub fn model(&self, model: &ModelKey) -> Option<&ModelDemand> {
        self.models.iter().find(|it| it.model == *model)
    }

    /// Adds the streams of another report.
    pub fn plus(&mut self, other: &Self) {
        self.entry_vms += other.entry_vms;
        for demand in &other.models {
            let sum = self.model_mut(&demand.model);
            sum.begun += demand.begun;
            sum.refused += demand.refused;
            sum.first_events += demand.first_events;
            sum.first_event_error_permille += demand.first_event_error_permille;
            for class in &demand.classes {
                sum.class_mut(class.class).plus(class);
            }
        }
    }

    /// Keeps the names of the customers with the highest costs in each class.
    pub fn shorten(&mut self) {
        self.models.iter_mut().flat_map(|it| &mut it.classes).for_each(ClassDemand::shorten);
    }

    /// Multiplies all streams and costs.
    pub fn scale(&mut self, factor: f64) {
        for it in &mut self.models {
            it.refused = (f64::from(it.refused) * factor).round() as u32;
            it.classes.iter_mut().for_each(|it| it.scale(factor));
        }
    }
}
