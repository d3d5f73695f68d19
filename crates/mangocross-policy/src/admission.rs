//! Whether a request is taken or refused, at once and without a call.

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
use crate::return_schedule::ReturnSchedule;
use crate::share::is_fresh;
use crate::spread_retry_after;

/// Time over which demand and drain are measured.
const WINDOW: Duration = Duration::from_secs(1);
/// Burst of a customer's rate, as time at the full rate.
const BURST_S: f64 = 1.0;
/// Smallest burst at one gateway, in requests.
const BURST_MIN: f64 = 3.0;
/// Share of capacity open to customers above their fair share.
const OVER_SHARE_CEILING: f64 = 0.8;
/// Share of capacity open to customers within their fair share.
const WITHIN_SHARE_CEILING: f64 = 0.95;
/// Share of capacity open to other kinds while some kinds go first: of customers
/// above their fair share, and of those within it.
const BESIDE_FIRST_OVER: f64 = 0.75;
const BESIDE_FIRST_WITHIN: f64 = 0.9;
/// Part of a ceiling that the least important requests do not get.
const PRIORITY_SPAN: f64 = 0.1;

/// A request to decide on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The customer.
    pub customer: CustomerId,
    /// The kind.
    pub kind: RequestKind,
    /// Priority that the caller named; it can only lower the configured one.
    pub priority: Option<Priority>,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Cost against the customer's rate; one for an ordinary request.
    pub cost: u32,
}

/// A customer's use at all other gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherUsage {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests asked for in the last second, refused ones included.
    pub demand_per_second: u32,
    /// Age of these figures.
    pub age: Duration,
}

/// What the decision rests on besides the limiter's own state.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionView<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Use at the other gateways; `None` for a customer when nothing was heard.
    pub others: &'a BTreeMap<CustomerId, OtherUsage>,
    /// Age of the newest report from the other gateways, whatever it said.
    pub report_age: Option<Duration>,
    /// Gateways that take requests, this one included.
    pub gateways: u32,
    /// Own requests in flight that the groups take, over all groups.
    pub capacity: u32,
    /// Time within which the first token is expected now.
    pub expected_first_token: Duration,
    /// The time.
    pub now: Instant,
    /// Random number for spreading.
    pub seed: u64,
}

/// The decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Take the request; call [`Admission::finished`] when it has ended.
    Admit,
    /// Refuse it now.
    Refuse(Refusal),
}

/// One customer at this gateway.
#[derive(Debug, Clone, Default)]
struct Customer {
    in_flight: u32,
    /// As it was when each of the last two seconds ended, the older one first;
    /// the others know one of them.
    in_flight_before: [u32; 2],
    tokens: f64,
    /// This gateway's part of the customer's rate when it last asked.
    rate_per_second: f64,
    refilled: Option<Instant>,
    window: Window,
    returns: ReturnSchedule,
}

/// Counts over the last whole second.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    started: Option<Instant>,
    current: u32,
    last: u32,
}

impl Window {
    /// Begins a new second if the present one is over; returns whether it did.
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

    /// Returns the count of the last whole second, or the present one's if larger.
    fn per_second(&self) -> u32 {
        self.last.max(self.current)
    }
}

impl Customer {
    fn roll(&mut self, now: Instant) {
        if self.window.roll(now) {
            self.in_flight_before = [self.in_flight_before[1], self.in_flight];
        }
    }

    /// Returns this gateway's part of the customer's rate.
    fn rate_share(&self, limit: f64, others: &OtherUsage, view: &AdmissionView<'_>) -> f64 {
        let (own, others) = (self.window.last.into(), others.demand_per_second.into());
        gateway_share(limit, own, others, view.report_age, view.gateways)
    }

    /// Returns this gateway's part of the customer's requests in flight.
    ///
    /// Only what was free when the others last reported is divided, so that no
    /// two gateways take the same place. Once all are used, a gateway with more
    /// than its part by demand does not refill.
    fn in_flight_share(&self, limit: f64, others: &OtherUsage, view: &AdmissionView<'_>) -> f64 {
        let before = self.in_flight_before[0].min(self.in_flight_before[1]);
        let (own, known) = (before.into(), others.in_flight.into());
        if own + known < limit || !is_fresh(view.report_age) {
            return gateway_share(limit, own, known, view.report_age, view.gateways);
        }
        let own = f64::from(self.window.last);
        let known = f64::from(others.demand_per_second);
        let scale = limit / f64::max(own + known, 1.0);
        let by_demand =
            gateway_share(limit, own * scale, known * scale, view.report_age, view.gateways);
        by_demand.min(before.into())
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Objection {
    code: ResultCode,
    text: &'static str,
}

/// The limiter of one gateway.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    customers: BTreeMap<CustomerId, Customer>,
    drained: Window,
    in_flight: u32,
}

impl Admission {
    /// Decides on a request.
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
        match self.objection(request, spec, view) {
            Some(objection) => {
                let retry_after = self.retry_after(objection.code, request, view);
                let refusal = Refusal::not_run(objection.code, objection.text);
                AdmissionDecision::Refuse(refusal.retry_after(retry_after))
            }
            None => {
                self.take(request);
                AdmissionDecision::Admit
            }
        }
    }

    /// Records the end of a request that was admitted.
    pub fn finished(&mut self, customer: &CustomerId, now: Instant) {
        self.drained.add(now, 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
    }

    /// Returns a customer's requests in flight and those asked for in the last
    /// second, for the other gateways.
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
        let elapsed = customer.refilled.map(|it| view.now.saturating_duration_since(it));
        let earned = elapsed.map_or(burst, |it| it.as_secs_f64() * rate);
        customer.tokens = (customer.tokens + earned).min(burst);
        customer.refilled = Some(view.now);
        customer.rate_per_second = rate;
    }

    fn objection(
        &self,
        request: &AdmissionRequest,
        spec: &CustomerSpec,
        view: &AdmissionView<'_>,
    ) -> Option<Objection> {
        if request.deadline < view.expected_first_token {
            let text = "the deadline cannot be met now; allow more time or come back later";
            return Some(Objection { code: ResultCode::DeadlineExceeded, text });
        }
        let customer = &self.customers[&request.customer];
        if customer.tokens < f64::from(request.cost) {
            let text = "the customer's request rate is used up; come back later";
            return Some(Objection { code: ResultCode::CustomerLimit, text });
        }
        let limit = f64::from(spec.in_flight_max);
        let in_flight_max = customer.in_flight_share(limit, &others(request, view), view).max(1.0);
        if f64::from(customer.in_flight) + 1.0 > in_flight_max {
            let text = "the customer has its most requests in flight; come back later";
            return Some(Objection { code: ResultCode::CustomerLimit, text });
        }
        if f64::from(self.in_flight + 1) > self.ceiling(request, view).max(1.0) {
            let text = "requests of this importance are shed now; come back later";
            return Some(Objection { code: ResultCode::Overloaded, text });
        }
        None
    }

    /// Returns the own requests in flight up to which this request is taken.
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
        let taken = f64::from(self.in_flight + 1).min(capacity);
        let level = fair_level(&demands, taken * OVER_SHARE_CEILING).max(1.0);
        let customer = &self.customers[&request.customer];
        let within = f64::from(customer.in_flight) + 1.0 <= level;
        let (share, beside_first) = match within {
            true => (WITHIN_SHARE_CEILING, BESIDE_FIRST_WITHIN),
            false => (OVER_SHARE_CEILING, BESIDE_FIRST_OVER),
        };
        let open = if first_kinds.is_empty() { 1.0 } else { beside_first };
        capacity * open * (share - PRIORITY_SPAN * (1.0 - importance(request, view)))
    }

    /// Books the return of a refused client.
    ///
    /// What is drained is divided among the customers whose clients wait, so that
    /// a large customer's returns do not put off a small one's; a customer over
    /// its own limit has no more than its rate.
    fn retry_after(
        &mut self,
        code: ResultCode,
        request: &AdmissionRequest,
        view: &AdmissionView<'_>,
    ) -> Duration {
        let drained_per_second = f64::from(self.drained.per_second().max(1));
        let others = self.customers.iter().filter(|(id, _)| **id != request.customer);
        let waiting = 1 + others.filter(|(_, it)| it.returns.is_booked(view.now)).count();
        let fair_per_second = drained_per_second / waiting as f64;
        let customer = self.customers.entry(request.customer.clone()).or_default();
        let per_second = match code {
            ResultCode::CustomerLimit => fair_per_second.min(customer.rate_per_second),
            _ => fair_per_second,
        };
        spread_retry_after(customer.returns.book(per_second, view.now), view.seed)
    }

    fn take(&mut self, request: &AdmissionRequest) {
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

/// Returns the request's place among the configured priorities, from 0 to 1.
fn importance(request: &AdmissionRequest, view: &AdmissionView<'_>) -> f64 {
    let configuration = view.configuration;
    let of_kind = configuration.kind(&request.kind).map_or(0, |it| it.priority.0);
    let of_customer = configuration.customer(&request.customer).map_or(0, |it| it.priority.0);
    let configured = u16::from(of_kind) + u16::from(of_customer);
    let named = request.priority.map_or(configured, |it| configured.min(it.0.into()));
    let most_of_kinds = configuration.kinds.iter().map(|it| it.priority.0).max().unwrap_or(0);
    let most_of_customers =
        configuration.customers.iter().map(|it| it.priority.0).max().unwrap_or(0);
    let most = u16::from(most_of_kinds) + u16::from(most_of_customers);
    if most == 0 { 1.0 } else { f64::from(named) / f64::from(most) }
}
