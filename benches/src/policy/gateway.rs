//! Model of one gateway, for both policy variants.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::AdmissionDecision;
use mangocross_policy::AdmissionLimiter;
use mangocross_policy::AdmissionRequest;
use mangocross_policy::AdmissionView;
use mangocross_policy::Candidate;
use mangocross_policy::ConcurrencyLimit;
use mangocross_policy::FirstTokenTimes;
use mangocross_policy::LoadEstimate;
use mangocross_policy::OtherUsage;
use mangocross_policy::PrefixTable;
use mangocross_policy::RetryBudget;
use mangocross_policy::choose_group;
use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::GroupId;

use super::PolicyVariant;
use super::engine::CACHED_PREFIXES;
use super::engine::PublishedEvent;
use super::engine::SLOTS;
use super::traffic::CUSTOMERS;
use super::traffic::Request;
use super::traffic::customer_id;
use super::traffic::kind_id;

/// Target first-token time of the concurrency limit, below the promised 1.6 s.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_000);
/// Time after which a refused client retries if the refusal gives no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A simulated gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    variant: PolicyVariant,
    pub(crate) admission: AdmissionLimiter,
    pub(crate) others: BTreeMap<CustomerId, OtherUsage>,
    loads: Vec<LoadEstimate>,
    times: FirstTokenTimes,
    prefixes: PrefixTable,
    budget: RetryBudget,
    limit: ConcurrencyLimit,
    in_flight: u32,
    next: usize,
    naive: Vec<NaiveLimit>,
    gateways: u32,
    random: fastrand::Rng,
}

/// One gateway's equal share of a customer's limits.
#[derive(Debug, Clone, Copy)]
struct NaiveLimit {
    per_second: f64,
    in_flight_max: f64,
    tokens: f64,
    refilled: Option<Instant>,
    in_flight: u32,
}

impl Gateway {
    pub(crate) fn new(
        variant: PolicyVariant,
        groups: usize,
        gateways: u32,
        configuration: &Configuration,
        seed: u64,
    ) -> Self {
        let slots = groups as u32 * SLOTS as u32;
        let part = |limit: u32| f64::from(limit) / f64::from(gateways);
        let naive = configuration.customers.iter().map(|it| NaiveLimit {
            per_second: part(it.requests_per_second.0),
            in_flight_max: part(it.in_flight_max).max(1.0),
            tokens: part(it.requests_per_second.0).max(1.0),
            refilled: None,
            in_flight: 0,
        });
        Self {
            variant,
            admission: AdmissionLimiter::default(),
            others: BTreeMap::new(),
            loads: vec![LoadEstimate::default(); groups],
            times: FirstTokenTimes::default(),
            prefixes: PrefixTable::new(CACHED_PREFIXES),
            budget: RetryBudget::default(),
            limit: ConcurrencyLimit::new(2 * slots.div_ceil(gateways), FIRST_TOKEN_TARGET),
            in_flight: 0,
            next: seed as usize,
            naive: naive.collect(),
            gateways,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Decides whether to admit a request; a refusal returns the time to wait before a retry.
    pub(crate) fn admit(
        &mut self,
        request: &Request,
        configuration: &Configuration,
        usage_age: Option<Duration>,
        now: Instant,
    ) -> Result<(), Duration> {
        if self.variant == PolicyVariant::Naive {
            return self.naive[request.customer].admit(now).ok_or(DEFAULT_RETRY_AFTER);
        }
        let admission_request = AdmissionRequest {
            customer: customer_id(request.customer),
            kind: kind_id(request.kind),
            priority: None,
            time_left: request.deadline(),
            cost: 1,
        };
        let view = AdmissionView {
            configuration,
            others: &self.others,
            report_age: usage_age,
            gateways: self.gateways,
            capacity: self.limit.get(),
            expected_first_token: Duration::ZERO,
            now,
            seed: self.random.u64(..),
        };
        match self.admission.decide(&admission_request, &view) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Refuse(refusal) => {
                Err(refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Chooses one of the groups that have a valid health lease.
    pub(crate) fn choose(
        &mut self,
        request: &Request,
        groups: &[(usize, GroupId)],
    ) -> Option<usize> {
        if self.variant == PolicyVariant::Naive {
            self.next += 1;
            return groups.get(self.next % groups.len().max(1)).map(|(number, _)| *number);
        }
        let candidates: Vec<Candidate> = groups
            .iter()
            .map(|(number, id)| {
                let load = &self.loads[*number];
                Candidate::new(id.clone(), load.own_in_flight(), load.load())
                    .prefix_residency(self.prefixes.residency(id, request.prefix))
                    .first_token(self.times.get(id))
            })
            .collect();
        let chosen = choose_group(&candidates, Some(request.prefix), self.random.u64(..))?;
        groups.iter().find(|(_, id)| *id == chosen.group).map(|(number, _)| *number)
    }

    pub(crate) fn may_retry(&mut self) -> bool {
        self.variant == PolicyVariant::Naive || self.budget.try_retry()
    }

    pub(crate) fn record_sent(
        &mut self,
        group: usize,
        id: &GroupId,
        request: &Request,
        now: Instant,
    ) {
        self.loads[group].record_sent(now);
        self.prefixes.record_sent(id, request.prefix, now);
        self.in_flight += 1;
    }

    pub(crate) fn record_first_token(&mut self, id: &GroupId, time: Duration) {
        self.times.observe(id, time);
        self.limit.observe(time, self.in_flight);
    }

    /// Applies a cache event of a group.
    pub(crate) fn apply_cache_event(&mut self, id: &GroupId, it: &PublishedEvent, at: Instant) {
        self.prefixes.apply_event(id, it.sequence, it.event, at);
    }

    /// Records the end of an attempt.
    pub(crate) fn record_attempt_end(&mut self, group: usize, now: Instant) {
        self.loads[group].record_end(now);
        self.in_flight -= 1;
    }

    /// Removes the state of a group that failed.
    pub(crate) fn remove_group(&mut self, id: &GroupId) {
        self.prefixes.remove(id);
        self.times.remove(id);
    }

    /// Records the end of a request that was admitted.
    pub(crate) fn record_finished(&mut self, request: &Request, succeeded: bool, now: Instant) {
        self.admission.record_end(&customer_id(request.customer), now);
        let naive = &mut self.naive[request.customer];
        naive.in_flight = naive.in_flight.saturating_sub(1);
        if succeeded {
            self.budget.record_success();
        }
    }

    pub(crate) fn record_load(&mut self, group: usize, load: u32, measured_at: Instant) {
        self.loads[group].apply_report(load, measured_at);
    }

    /// Returns the in-flight requests and the demand per second of each customer.
    pub(crate) fn usage(&mut self, now: Instant) -> Vec<(u32, u32)> {
        (0..CUSTOMERS).map(|it| self.admission.usage(&customer_id(it), now)).collect()
    }
}

impl NaiveLimit {
    fn admit(&mut self, now: Instant) -> Option<()> {
        let elapsed = self.refilled.map(|it| now.saturating_duration_since(it));
        let earned = elapsed.unwrap_or_default().as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second.max(1.0));
        self.refilled = Some(now);
        let fits = self.tokens >= 1.0 && f64::from(self.in_flight) + 1.0 <= self.in_flight_max;
        if fits {
            self.tokens -= 1.0;
            self.in_flight += 1;
        }
        fits.then_some(())
    }
}
