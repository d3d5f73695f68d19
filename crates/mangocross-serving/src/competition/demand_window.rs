//! The streams that an entry VM received within a window.

use std::collections::VecDeque;
use std::time::Duration;

use mangocross_types::CustomerId;

use crate::DemandReport;
use crate::ModelKey;
use crate::Moment;
use crate::StreamClass;

/// Length of the window. A customer's unused share goes to others within this time.
pub(super) const WINDOW: Duration = Duration::from_millis(1000);
/// Length of the newer half, in which a burst shows first.
const RECENT: Duration = Duration::from_millis(500);
/// Entries beyond which the oldest are dropped; ten times what an entry VM receives in a second.
const ENTRIES_MAX: usize = 8192;

#[derive(Debug)]
struct Arrival {
    at: Moment,
    model: ModelKey,
    class: StreamClass,
    customer: Option<CustomerId>,
    cost: u64,
}

/// What became of a stream.
#[derive(Debug)]
enum Outcome {
    /// Its answer began.
    Begun {
        /// By how much its first event came later than predicted, if that is known.
        error_permille: Option<i64>,
    },
    /// It was refused for the first time.
    Refused,
}

/// A prediction of the time to the first event, and what came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEventTimes {
    /// Predicted time.
    pub predicted: Duration,
    /// Observed time.
    pub observed: Duration,
    /// Target time.
    pub target: Duration,
}

impl FirstEventTimes {
    /// Returns by how much the first event came later, in thousandths of the target and at most that.
    fn error_permille(&self) -> i64 {
        let target = self.target.as_secs_f64().max(0.001);
        let error = (self.observed.as_secs_f64() - self.predicted.as_secs_f64()) / target;
        (error.clamp(-1.0, 1.0) * 1000.0) as i64
    }
}

/// Streams of an entry VM, and the errors of its predictions, within a sliding window.
#[derive(Debug, Default)]
pub struct DemandWindow {
    arrivals: VecDeque<Arrival>,
    outcomes: VecDeque<(Moment, ModelKey, Outcome)>,
}

impl DemandWindow {
    /// Records a stream that is to be started.
    pub fn record(
        &mut self,
        model: &ModelKey,
        class: StreamClass,
        customer: Option<&CustomerId>,
        cost: u64,
        now: Moment,
    ) {
        if self.arrivals.len() >= ENTRIES_MAX {
            self.arrivals.pop_front();
        }
        let (model, customer) = (model.clone(), customer.cloned());
        self.arrivals.push_back(Arrival { at: now, model, class, customer, cost });
        self.expire(now);
    }

    /// Records that an answer began, and the times to its first event if it was predicted.
    pub fn record_begin(&mut self, model: &ModelKey, times: Option<FirstEventTimes>, now: Moment) {
        let error_permille = times.map(|it| it.error_permille());
        self.record_outcome(model, Outcome::Begun { error_permille }, now);
    }

    /// Records that a stream was refused for the first time.
    pub fn record_refusal(&mut self, model: &ModelKey, now: Moment) {
        self.record_outcome(model, Outcome::Refused, now);
    }

    fn record_outcome(&mut self, model: &ModelKey, outcome: Outcome, now: Moment) {
        if self.outcomes.len() >= ENTRIES_MAX {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, model.clone(), outcome));
        self.expire(now);
    }

    fn expire(&mut self, now: Moment) {
        while self.arrivals.front().is_some_and(|it| now.since(it.at) >= WINDOW) {
            self.arrivals.pop_front();
        }
        while self.outcomes.front().is_some_and(|it| now.since(it.0) >= WINDOW) {
            self.outcomes.pop_front();
        }
    }

    /// Returns the streams of the window.
    pub fn report(&self, now: Moment) -> DemandReport {
        let mut report = DemandReport { entry_vms: 1, models: Vec::new() };
        for it in self.arrivals.iter().filter(|it| now.since(it.at) < WINDOW) {
            let recent = u32::from(now.since(it.at) < RECENT);
            let class = report.model_mut(&it.model).class_mut(it.class);
            class.add(it.customer.as_ref(), 1, recent, it.cost);
        }
        for (at, model, outcome) in &self.outcomes {
            if now.since(*at) >= WINDOW {
                continue;
            }
            let model = report.model_mut(model);
            match outcome {
                Outcome::Refused => model.refused += 1,
                Outcome::Begun { error_permille } => {
                    model.begun += 1;
                    if let Some(error) = error_permille.filter(|_| now.since(*at) < RECENT) {
                        model.first_events += 1;
                        model.first_event_error_permille += error;
                    }
                }
            }
        }
        report
    }
}
