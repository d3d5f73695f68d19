//! Simulates requests to the groups of a fleet, for both policy variants.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::OtherUsage;
use mangocross_types::Configuration;
use mangocross_types::GroupId;

use super::CacheFeedMode;
use super::Case;
use super::PolicyVariant;
use super::Timeline;
use super::User;
use super::case::SECOND_MS;
use super::engine::Attempt;
use super::engine::Engine;
use super::gateway::Gateway;
use super::traffic;
use super::traffic::CUSTOMERS;
use super::traffic::KINDS;
use super::traffic::LARGE_CUSTOMERS;
use super::traffic::Request;
use super::traffic::customer_id;

/// Number of gateways in all but the large cases.
const GATEWAYS: usize = 7;
/// Groups per gateway in the large cases.
const GROUPS_PER_GATEWAY: f64 = 438.0 / 350.0;
/// Time until a gateway's health lease of an incomplete group ends.
const HEALTH_LEASE_LAG_MS: u64 = SECOND_MS;
/// Time between reports of load and usage; each delivers the figures of the previous interval.
const REPORT_MS: u64 = SECOND_MS;
/// Time until an attempt to reach a failed group fails.
const CONNECT_FAILURE_MS: u64 = 20;
/// Age of a cache event when it reaches the gateways.
const CACHE_EVENT_LAG_MS: Range<u64> = SECOND_MS..3 * SECOND_MS;
/// Share of the batches of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.1;
/// Attempts for one request, the first one included.
const ATTEMPTS_MAX: u32 = 3;
/// Tries of a client for one request, the first one included.
const TRIES_MAX: u32 = 4;
/// Promised time to the first token.
pub(crate) const FIRST_TOKEN_PROMISE_MS: u64 = 1_600;

/// Outcome of the requests.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// First-token times by customer class (0: large, 1: small) and kind, in
    /// milliseconds from the client's try that was admitted.
    pub first_token_ms: [[Vec<u64>; 3]; 2],
    /// Number of requests by class and kind.
    pub total: [[u32; 3]; 2],
    /// Number of requests whose first token came within the promised time from the first try.
    pub good: [[u32; 3]; 2],
    /// Number of refused tries, by class.
    pub refused_tries: [u32; 2],
    /// Number of requests that were never admitted, by class.
    pub given_up: [u32; 2],
    /// Number of requests that were admitted but got no complete answer.
    pub failed: u32,
    /// Number of attempts beyond the first one.
    pub retries: u32,
    /// Share of the prefixes of started requests that were in the group's cache.
    pub cached_share: f64,
}

impl RequestOutcome {
    fn new() -> Self {
        Self {
            first_token_ms: Default::default(),
            total: [[0; 3]; 2],
            good: [[0; 3]; 2],
            refused_tries: [0; 2],
            given_up: [0; 2],
            failed: 0,
            retries: 0,
            cached_share: 0.0,
        }
    }

    /// Returns all first-token times, in order.
    pub fn all_first_token_ms(&self) -> Vec<u64> {
        let mut all: Vec<u64> = self.first_token_ms.iter().flatten().flatten().copied().collect();
        all.sort_unstable();
        all
    }

    /// Returns the share of all requests whose first token came within the promised time.
    pub fn good_share(&self) -> f64 {
        let total: u32 = self.total.iter().flatten().sum();
        f64::from(self.good.iter().flatten().sum::<u32>()) / f64::from(total.max(1))
    }
}

/// A scheduled event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AttemptEnded { group: usize, attempt: u64 },
    FirstToken { group: usize, attempt: u64 },
    GroupFailed { group: usize },
    Report,
    Arrive { request: usize },
    AttemptFailed { request: usize },
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    gateway: usize,
    tries: u32,
    attempts: u32,
    admitted_ms: u64,
    sent_ms: u64,
    has_first_token: bool,
    tokens_done: u64,
    last_group: Option<usize>,
}

/// State of a simulated run.
struct Simulation<'a> {
    now_ms: u64,
    start: Instant,
    configuration: Configuration,
    ids: Vec<GroupId>,
    timelines: &'a [Timeline],
    requests: Vec<Request>,
    progress: Vec<Progress>,
    engines: Vec<Engine>,
    reported_loads: Vec<u32>,
    gateways: Vec<Gateway>,
    usage: Vec<Vec<(u32, u32)>>,
    attempts: HashMap<u64, usize>,
    next_attempt: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_pushed: u64,
    pending: usize,
    random: fastrand::Rng,
    cache_event_random: fastrand::Rng,
    outcome: RequestOutcome,
    variant: PolicyVariant,
    feed_mode: CacheFeedMode,
}

/// Runs the requests of a case over groups that serve according to `timelines`.
pub fn run_requests(
    case: Case,
    user: User,
    variant: PolicyVariant,
    feed_mode: CacheFeedMode,
    timelines: &[Timeline],
    seed: u64,
) -> RequestOutcome {
    let mut simulation = Simulation::new(case, user, variant, timelines, seed);
    simulation.feed_mode = feed_mode;
    while let Some(Reverse((at_ms, _, event))) = simulation.events.pop() {
        simulation.now_ms = at_ms;
        simulation.handle(event);
        if simulation.pending == 0 {
            break;
        }
    }
    let (cached, started) =
        simulation.engines.iter().fold((0, 0), |sum, it| (sum.0 + it.hits, sum.1 + it.starts));
    simulation.outcome.cached_share = f64::from(cached) / f64::from(started.max(1));
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(
        case: Case,
        user: User,
        variant: PolicyVariant,
        timelines: &'a [Timeline],
        seed: u64,
    ) -> Self {
        let groups = timelines.len();
        let gateways = match case {
            Case::LargeDay | Case::LargeDark | Case::LargePressure => {
                (groups as f64 / GROUPS_PER_GATEWAY).round() as usize
            }
            _ => GATEWAYS,
        };
        let configuration = traffic::configuration(case, user, groups);
        let requests = traffic::requests(case, groups, seed);
        let id = |it| format!("group-{it:03}").parse().expect("a valid id");
        let gateway = |it: usize| {
            Gateway::new(variant, groups, gateways as u32, &configuration, seed * 1_000 + it as u64)
        };
        let mut simulation = Self {
            now_ms: 0,
            start: Instant::now(),
            ids: (0..groups).map(id).collect(),
            timelines,
            progress: vec![Progress::default(); requests.len()],
            engines: vec![Engine::default(); groups],
            reported_loads: vec![0; groups],
            gateways: (0..gateways).map(gateway).collect(),
            usage: vec![vec![(0, 0); CUSTOMERS]; gateways],
            attempts: HashMap::new(),
            next_attempt: 0,
            events: BinaryHeap::new(),
            events_pushed: 0,
            pending: requests.len(),
            random: fastrand::Rng::with_seed(seed ^ 0x6761_7465),
            cache_event_random: fastrand::Rng::with_seed(seed ^ 0x6361_6368),
            outcome: RequestOutcome::new(),
            configuration,
            requests,
            variant,
            feed_mode: CacheFeedMode::None,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        let first_ms = self.requests.first().map_or(0, |it| it.at_ms);
        for request in 0..self.requests.len() {
            self.push(self.requests[request].at_ms, Event::Arrive { request });
            let spec = &self.requests[request];
            self.outcome.total[class(spec)][spec.kind] += 1;
        }
        for group in 0..self.timelines.len() {
            let mut at_ms = first_ms;
            while let Some(next_ms) = self.timelines[group].next_outage(at_ms) {
                self.push(next_ms, Event::GroupFailed { group });
                at_ms = next_ms;
            }
        }
        self.push(first_ms, Event::Report);
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.events_pushed += 1;
        self.events.push(Reverse((at_ms, self.events_pushed, event)));
    }

    fn instant(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.handle_arrival(request),
            Event::FirstToken { group, attempt } => self.handle_first_token(group, attempt),
            Event::AttemptEnded { group, attempt } => self.handle_attempt_end(group, attempt),
            Event::GroupFailed { group } => self.handle_group_failure(group),
            Event::AttemptFailed { request } => self.attempt_failed(request),
            Event::Report => self.exchange_reports(),
        }
    }

    fn handle_arrival(&mut self, request: usize) {
        let spec = self.requests[request].clone();
        let gateway = self.balance(&spec);
        let now = self.instant(self.now_ms);
        let usage_age = Some(Duration::from_millis(REPORT_MS));
        self.progress[request].tries += 1;
        self.progress[request].gateway = gateway;
        let admitted = self.gateways[gateway].admit(&spec, &self.configuration, usage_age, now);
        match admitted {
            Ok(()) => {
                self.progress[request].admitted_ms = self.now_ms;
                self.send(request);
            }
            Err(retry_after) => self.handle_refusal(request, retry_after),
        }
    }

    /// Picks a gateway like a load balancer: a large customer uses few connections, so only half of
    /// the gateways.
    fn balance(&mut self, request: &Request) -> usize {
        let gateways = self.gateways.len();
        if request.customer < LARGE_CUSTOMERS {
            let used = gateways.div_ceil(2);
            return (request.customer * 2 + self.random.usize(..used)) % gateways;
        }
        self.random.usize(..gateways)
    }

    fn handle_refusal(&mut self, request: usize, retry_after: Duration) {
        let spec = &self.requests[request];
        self.outcome.refused_tries[class(spec)] += 1;
        if self.progress[request].tries >= TRIES_MAX {
            self.outcome.given_up[class(spec)] += 1;
            self.pending -= 1;
            return;
        }
        self.push(self.now_ms + retry_after.as_millis() as u64, Event::Arrive { request });
    }

    fn send(&mut self, request: usize) {
        let progress = self.progress[request];
        let lease_at_ms = self.now_ms.saturating_sub(HEALTH_LEASE_LAG_MS);
        let eligible = |it: &usize| {
            Some(*it) != progress.last_group && self.timelines[*it].slowdown(lease_at_ms).is_some()
        };
        let groups: Vec<(usize, GroupId)> =
            (0..self.ids.len()).filter(eligible).map(|it| (it, self.ids[it].clone())).collect();
        let spec = self.requests[request].clone();
        let now = self.instant(self.now_ms);
        let chosen = self.gateways[progress.gateway].choose(&spec, &groups);
        let Some(group) = chosen else { return self.finish(request, false) };
        self.progress[request].attempts += 1;
        self.progress[request].last_group = Some(group);
        self.progress[request].sent_ms = self.now_ms;
        if self.timelines[group].slowdown(self.now_ms).is_none() {
            self.push(self.now_ms + CONNECT_FAILURE_MS, Event::AttemptFailed { request });
            return;
        }
        self.gateways[progress.gateway].record_sent(group, &self.ids[group], &spec, now);
        self.next_attempt += 1;
        self.attempts.insert(self.next_attempt, request);
        let priority = self.priority(&spec);
        self.engines[group].submit(Attempt {
            id: self.next_attempt,
            request,
            priority,
            prefix: spec.prefix,
            tokens: spec.tokens - progress.tokens_done,
            deadline_ms: progress.admitted_ms + spec.deadline_ms,
        });
        self.start_attempts(group);
    }

    fn priority(&self, request: &Request) -> u16 {
        let kind = &self.configuration.kinds[request.kind];
        let first = self.configuration.policy.first_kinds.contains(&kind.id);
        match self.variant {
            PolicyVariant::Naive => 0,
            PolicyVariant::Project => u16::from(kind.priority.0) + if first { 256 } else { 0 },
        }
    }

    fn start_attempts(&mut self, group: usize) {
        let Some(slowdown) = self.timelines[group].slowdown(self.now_ms) else { return };
        let mut expired = Vec::new();
        while let Some(started) =
            self.engines[group].start_next(self.now_ms, slowdown, &mut expired)
        {
            let attempt = started.attempt;
            self.push(started.first_token_ms, Event::FirstToken { group, attempt });
            self.push(started.end_ms, Event::AttemptEnded { group, attempt });
        }
        for attempt in expired {
            self.attempts.remove(&attempt.id);
            self.record_attempt_end(attempt.request, group);
            self.finish(attempt.request, false);
        }
    }

    fn handle_first_token(&mut self, group: usize, attempt: u64) {
        let Some(request) = self.attempts.get(&attempt).copied() else { return };
        let progress = self.progress[request];
        let time = Duration::from_millis(self.now_ms - progress.sent_ms);
        self.gateways[progress.gateway].record_first_token(&self.ids[group], time);
        if progress.has_first_token {
            return;
        }
        self.progress[request].has_first_token = true;
        let spec = &self.requests[request];
        let (class, kind) = (class(spec), spec.kind);
        self.outcome.first_token_ms[class][kind].push(self.now_ms - progress.admitted_ms);
        if self.now_ms - spec.at_ms <= FIRST_TOKEN_PROMISE_MS {
            self.outcome.good[class][kind] += 1;
        }
    }

    fn handle_attempt_end(&mut self, group: usize, attempt: u64) {
        let Some(request) = self.attempts.remove(&attempt) else { return };
        self.engines[group].end(attempt);
        self.record_attempt_end(request, group);
        self.finish(request, true);
        self.start_attempts(group);
    }

    fn record_attempt_end(&mut self, request: usize, group: usize) {
        let now = self.instant(self.now_ms);
        self.gateways[self.progress[request].gateway].record_attempt_end(group, now);
    }

    fn handle_group_failure(&mut self, group: usize) {
        for gateway in &mut self.gateways {
            gateway.remove_group(&self.ids[group]);
        }
        for attempt in self.engines[group].fail(self.now_ms) {
            self.attempts.remove(&attempt.id);
            self.record_attempt_end(attempt.request, group);
            if self.progress[attempt.request].has_first_token {
                let streamed_ms = self.now_ms - self.progress[attempt.request].sent_ms;
                let done = streamed_ms / super::engine::TOKEN_GAP_MS;
                let left = self.requests[attempt.request].tokens - 1;
                let progress = &mut self.progress[attempt.request];
                progress.tokens_done = (progress.tokens_done + done).min(left);
            }
            self.attempt_failed(attempt.request);
        }
    }

    fn attempt_failed(&mut self, request: usize) {
        let progress = self.progress[request];
        let may_retry_now =
            progress.attempts < ATTEMPTS_MAX && self.gateways[progress.gateway].may_retry();
        if !may_retry_now {
            return self.finish(request, false);
        }
        self.outcome.retries += 1;
        self.send(request);
    }

    fn finish(&mut self, request: usize, succeeded: bool) {
        let now = self.instant(self.now_ms);
        let gateway = self.progress[request].gateway;
        self.gateways[gateway].record_finished(&self.requests[request], succeeded, now);
        self.outcome.failed += u32::from(!succeeded);
        self.pending -= 1;
    }

    /// Delivers the figures of the previous interval and collects new ones.
    fn exchange_reports(&mut self) {
        let measured_ms = self.now_ms.saturating_sub(REPORT_MS);
        let measured_at = self.instant(measured_ms);
        for gateway in &mut self.gateways {
            for (group, load) in self.reported_loads.iter().enumerate() {
                gateway.record_load(group, *load, measured_at);
            }
        }
        self.distribute_usage();
        self.distribute_cache_events();
        self.reported_loads = self.engines.iter().map(Engine::load).collect();
        let now = self.instant(self.now_ms);
        self.usage = self.gateways.iter_mut().map(|it| it.usage(now)).collect();
        self.push(self.now_ms + REPORT_MS, Event::Report);
    }

    /// Delivers each group's cache events, delayed and with some batches lost.
    fn distribute_cache_events(&mut self) {
        for group in 0..self.engines.len() {
            let lag_ms = self.cache_event_random.u64(CACHE_EVENT_LAG_MS);
            let batch = self.engines[group].drain_published(self.now_ms.saturating_sub(lag_ms));
            let lost = self.cache_event_random.f64() < CACHE_EVENT_LOSS;
            if lost || self.feed_mode == CacheFeedMode::None {
                continue;
            }
            for it in &batch {
                let at = self.instant(it.at_ms);
                for gateway in &mut self.gateways {
                    gateway.apply_cache_event(&self.ids[group], it, at);
                }
            }
        }
    }

    fn distribute_usage(&mut self) {
        for own in 0..self.gateways.len() {
            let mut others = BTreeMap::new();
            for customer in 0..CUSTOMERS {
                let rest = self.usage.iter().enumerate().filter(|(it, _)| *it != own);
                let rest: Vec<(u32, u32)> = rest.map(|(_, it)| it[customer]).collect();
                let usage = OtherUsage {
                    in_flight: rest.iter().map(|it| it.0).sum(),
                    demand_per_second: rest.iter().map(|it| it.1).sum(),
                    age: Duration::from_millis(REPORT_MS),
                };
                others.insert(customer_id(customer), usage);
            }
            self.gateways[own].others = others;
        }
    }
}

/// Returns 0 for a large customer and 1 for a small one.
fn class(request: &Request) -> usize {
    usize::from(request.customer >= LARGE_CUSTOMERS)
}

// The tables of the outcome have one column per kind.
const _: () = assert!(KINDS.len() == 3);
