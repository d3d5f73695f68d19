//! Admits or refuses requests immediately and without a remote call.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::CustomerSpec;
use mangocross_types::Priority;
use mangocross_types::Refusal;
use mangocross_types::RequestKind;
use mangocross_types::ResultCode;

use crate::fair_level;
use crate::gateway_share;
use crate::retry_schedule::RetrySchedule;
use crate::share::is_fresh;
use crate::spread_retry_after;

/// Time over which demand and completions are measured.
const WINDOW: Duration = Duration::from_secs(1);
/// Burst of a customer's rate, as time at the full rate.
const BURST_S: f64 = 1.0;
/// Smallest burst at one gateway, in requests.
const BURST_MIN: f64 = 3.0;
/// Share of capacity open to customers above their fair share.
const OVER_SHARE_CEILING: f64 = 0.8;
/// Share of capacity open to customers within their fair share.
const WITHIN_SHARE_CEILING: f64 = 0.95;
/// Factor on the ceiling of kinds outside `first_kinds`, if any are configured, for customers
/// above their fair share.
const OTHER_KINDS_OVER_SHARE_FACTOR: f64 = 0.75;
/// Like `OTHER_KINDS_OVER_SHARE_FACTOR`, for customers within their fair share.
const OTHER_KINDS_WITHIN_SHARE_FACTOR: f64 = 0.9;
/// Share of capacity by which the ceiling of the least important requests is lower.
const PRIORITY_SPAN: f64 = 0.1;

/// A request to decide on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Customer whose limits and fair share apply.
    pub customer: CustomerId,
    /// Kind of the request; with the customer, it sets the priority.
    pub kind: RequestKind,
    /// Priority that the caller gave; it can only lower the configured one.
    pub priority: Option<Priority>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Cost against the customer's rate; one for an ordinary request.
    pub cost: u32,
}

/// A customer's usage at all other gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherUsage {
    /// Customer's requests in flight, summed over the other gateways.
    pub in_flight: u32,
    /// Requests received in the last second, including refused ones.
    pub demand_per_second: u32,
    /// Age of these values.
    pub age: Duration,
}

/// Inputs of a decision besides the limiter's own state.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionView<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Usage at the other gateways; no entry for a customer without a report.
    pub others: &'a BTreeMap<CustomerId, OtherUsage>,
    /// Age of the newest report from any other gateway, even if it contains no customer; `None` if
    /// there is none.
    pub report_age: Option<Duration>,
    /// Number of gateways that accept requests, including this one.
    pub gateways: u32,
    /// Own requests in flight that all groups together accept.
    pub capacity: u32,
    /// Expected time to the first token at present.
    pub expected_first_token: Duration,
    /// Time of the decision.
    pub now: Instant,
    /// Seed for the jitter of retry delays.
    pub seed: u64,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Admit the request; call [`AdmissionLimiter::record_end`] when it has ended.
    Admit,
    /// Refuse the request with this result; it has not run.
    Refuse(Refusal),
}

/// State of one customer at this gateway.
#[derive(Debug, Clone, Default)]
struct Customer {
    in_flight: u32,
    /// Requests in flight at the end of each of the last two windows, the older first; the
    /// last report to the other gateways is assumed to contain one of these values.
    in_flight_history: [u32; 2],
    tokens: f64,
    /// This gateway's share of the customer's rate at its last request.
    rate_per_second: f64,
    refilled_at: Option<Instant>,
    window: Window,
    retries: RetrySchedule,
}

/// Counts in the current second and the last whole one.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    started: Option<Instant>,
    current: u32,
    last: u32,
}

impl Window {
    /// Starts a new second if the current one is over; returns whether it did.
    fn roll(&mut self, now: Instant) -> bool {
        let age = self.started.map(|it| now.saturating_duration_since(it));
        match age {
            Some(age) if age < WINDOW => return false,
            Some(age) if age < WINDOW * 2 => self.last = self.current,
            _ => self.last = 0,
        }
        self.current = 0;
        self.started = Some(now);
        true
    }

    fn add(&mut self, now: Instant, count: u32) {
        self.roll(now);
        self.current = self.current.saturating_add(count);
    }

    /// Returns the count of the last whole second, or that of the current one if larger.
    fn per_second(&self) -> u32 {
        self.last.max(self.current)
    }
}

impl Customer {
    fn roll(&mut self, now: Instant) {
        if self.window.roll(now) {
            self.in_flight_history = [self.in_flight_history[1], self.in_flight];
        }
    }

    /// Returns this gateway's share of the customer's rate.
    fn rate_share(&self, limit: f64, others: &OtherUsage, view: &AdmissionView<'_>) -> f64 {
        let (own, others) = (self.window.last.into(), others.demand_per_second.into());
        gateway_share(limit, own, others, view.report_age, view.gateways)
    }

    /// Returns this gateway's share of the customer's limit of requests in flight.
    ///
    /// The unused part of the limit, as of the last reports, is divided equally, so that no
    /// two gateways use the same slot. If nothing is unused, the share follows demand but never
    /// exceeds this gateway's requests in flight at the end of either of the last two windows; a
    /// gateway above its share then does not replace requests that end.
    fn in_flight_share(&self, limit: f64, others: &OtherUsage, view: &AdmissionView<'_>) -> f64 {
        let before = self.in_flight_history[0].min(self.in_flight_history[1]);
        let (own, remote) = (before.into(), others.in_flight.into());
        if own + remote < limit || !is_fresh(view.report_age) {
            return gateway_share(limit, own, remote, view.report_age, view.gateways);
        }
        let own = f64::from(self.window.last);
        let remote = f64::from(others.demand_per_second);
        let scale = limit / f64::max(own + remote, 1.0);
        let by_demand =
            gateway_share(limit, own * scale, remote * scale, view.report_age, view.gateways);
        by_demand.min(before.into())
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RefusalReason {
    code: ResultCode,
    text: &'static str,
}

/// Admission limiter of one gateway.
#[derive(Debug, Clone, Default)]
pub struct AdmissionLimiter {
    customers: BTreeMap<CustomerId, Customer>,
    completed: Window,
    in_flight: u32,
}

impl AdmissionLimiter {
    /// Admits a request and counts it as in flight, or refuses it.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest,
        view: &AdmissionView<'_>,
    ) -> AdmissionDecision {
        let Some(spec) = view.configuration.customer(&request.customer) else {
            let text = format!("customer {} is not configured", request.customer);
            return AdmissionDecision::Refuse(Refusal::not_run(ResultCode::UnknownCustomer, text));
        };
        self.refill(request, spec, view);
        match self.refusal_reason(request, spec, view) {
            Some(reason) => {
                let retry_after = self.retry_after(reason.code, request, view);
                let refusal = Refusal::not_run(reason.code, reason.text);
                AdmissionDecision::Refuse(refusal.retry_after(retry_after))
            }
            None => {
                self.admit(request);
                AdmissionDecision::Admit
            }
        }
    }

    /// Records the end of an admitted request.
    pub fn record_end(&mut self, customer: &CustomerId, now: Instant) {
        self.completed.add(now, 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
    }

    /// Returns a customer's requests in flight and those received in the last
    /// second, to be reported to the other gateways.
    pub fn usage(&mut self, customer: &CustomerId, now: Instant) -> (u32, u32) {
        let Some(customer) = self.customers.get_mut(customer) else { return (0, 0) };
        customer.roll(now);
        (customer.in_flight, customer.window.last)
    }

    fn refill(&mut self, request: &AdmissionRequest, spec: &CustomerSpec, view: &AdmissionView) {
        let customer = self.customers.entry(request.customer.clone()).or_default();
        customer.roll(view.now);
        customer.window.add(view.now, request.cost);
        let limit = f64::from(spec.requests_per_second.0);
        let rate = customer.rate_share(limit, &others(request, view), view);
        let burst = (rate * BURST_S).max(BURST_MIN);
        let elapsed = customer.refilled_at.map(|it| view.now.saturating_duration_since(it));
        let earned = elapsed.map_or(burst, |it| it.as_secs_f64() * rate);
        customer.tokens = (customer.tokens + earned).min(burst);
        customer.refilled_at = Some(view.now);
        customer.rate_per_second = rate;
    }

    fn refusal_reason(
        &self,
        request: &AdmissionRequest,
        spec: &CustomerSpec,
        view: &AdmissionView<'_>,
    ) -> Option<RefusalReason> {
        if request.time_left < view.expected_first_token {
            let text = "the deadline cannot be met now; allow more time or come back later";
            return Some(RefusalReason { code: ResultCode::DeadlineExceeded, text });
        }
        let customer = &self.customers[&request.customer];
        if customer.tokens < f64::from(request.cost) {
            let text = "the customer's request rate is used up; come back later";
            return Some(RefusalReason { code: ResultCode::CustomerLimit, text });
        }
        let limit = f64::from(spec.in_flight_max);
        let in_flight_max = customer.in_flight_share(limit, &others(request, view), view).max(1.0);
        if f64::from(customer.in_flight) + 1.0 > in_flight_max {
            let text = "the customer has its most requests in flight; come back later";
            return Some(RefusalReason { code: ResultCode::CustomerLimit, text });
        }
        if f64::from(self.in_flight + 1) > self.ceiling(request, view).max(1.0) {
            let text = "requests of this importance are shed now; come back later";
            return Some(RefusalReason { code: ResultCode::Overloaded, text });
        }
        None
    }

    /// Returns the number of own requests in flight up to which this request is admitted.
    fn ceiling(&self, request: &AdmissionRequest, view: &AdmissionView<'_>) -> f64 {
        let capacity = f64::from(view.capacity.max(1));
        let first_kinds = &view.configuration.policy.first_kinds;
        if first_kinds.contains(&request.kind) {
            return capacity;
        }
        let demands: Vec<f64> = self
            .customers
            .iter()
            .map(|(id, it)| f64::from(it.in_flight + u32::from(*id == request.customer)))
            .filter(|it| *it > 0.0)
            .collect();
        // At full use, fair shares divide the part of the capacity that customers above their share
        // can fill; at lower use, proportionally less.
        let in_use = f64::from(self.in_flight + 1).min(capacity);
        let level = fair_level(&demands, in_use * OVER_SHARE_CEILING).max(1.0);
        let customer = &self.customers[&request.customer];
        let within = f64::from(customer.in_flight) + 1.0 <= level;
        let (share, other_kinds_factor) = match within {
            true => (WITHIN_SHARE_CEILING, OTHER_KINDS_WITHIN_SHARE_FACTOR),
            false => (OVER_SHARE_CEILING, OTHER_KINDS_OVER_SHARE_FACTOR),
        };
        let factor = if first_kinds.is_empty() { 1.0 } else { other_kinds_factor };
        capacity * factor * (share - PRIORITY_SPAN * (1.0 - importance(request, view)))
    }

    /// Schedules the retry of a refused caller.
    ///
    /// The rate of completions is divided equally among the customers with scheduled retries, so
    /// that a large customer's retries do not delay a small one's. If the customer's own limit is
    /// the reason, its retries are scheduled at no more than this gateway's share of its request
    /// rate.
    fn retry_after(
        &mut self,
        code: ResultCode,
        request: &AdmissionRequest,
        view: &AdmissionView<'_>,
    ) -> Duration {
        let completed_per_second = f64::from(self.completed.per_second().max(1));
        let others = self.customers.iter().filter(|(id, _)| **id != request.customer);
        let waiting = 1 + others.filter(|(_, it)| it.retries.has_pending(view.now)).count();
        let fair_per_second = completed_per_second / waiting as f64;
        let customer = self.customers.entry(request.customer.clone()).or_default();
        let per_second = match code {
            ResultCode::CustomerLimit => fair_per_second.min(customer.rate_per_second),
            _ => fair_per_second,
        };
        spread_retry_after(customer.retries.schedule_next(per_second, view.now), view.seed)
    }

    fn admit(&mut self, request: &AdmissionRequest) {
        self.in_flight += 1;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.in_flight += 1;
            customer.tokens -= f64::from(request.cost);
        }
    }
}

fn others(request: &AdmissionRequest, view: &AdmissionView<'_>) -> OtherUsage {
    view.others.get(&request.customer).copied().unwrap_or_default()
}

/// Returns the request's priority relative to the highest configured one, from 0 to 1.
fn importance(request: &AdmissionRequest, view: &AdmissionView<'_>) -> f64 {
    let configuration = view.configuration;
    let of_kind = configuration.kind(&request.kind).map_or(0, |it| it.priority.0);
    let of_customer = configuration.customer(&request.customer).map_or(0, |it| it.priority.0);
    let configured = u16::from(of_kind) + u16::from(of_customer);
    let effective = request.priority.map_or(configured, |it| configured.min(it.0.into()));
    let highest_of_kinds = configuration.kinds.iter().map(|it| it.priority.0).max().unwrap_or(0);
    let highest_of_customers =
        configuration.customers.iter().map(|it| it.priority.0).max().unwrap_or(0);
    let highest = u16::from(highest_of_kinds) + u16::from(highest_of_customers);
    if highest == 0 { 1.0 } else { f64::from(effective) / f64::from(highest) }
}
