//! Requests over the groups of a fleet, in either version.

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
use super::Rules;
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

/// Gateways of today's size.
const GATEWAYS: usize = 7;
/// Groups that one gateway stands before at the larger size.
const GROUPS_FOR_EACH_GATEWAY: f64 = 438.0 / 350.0;
/// Time until a gateway knows that a group is not complete.
const PROOF_LAG_MS: u64 = SECOND_MS;
/// Time between reports of load and use; each carries the one before.
const REPORT_MS: u64 = SECOND_MS;
/// Time until an attempt at a group that is gone fails.
const CONNECT_FAILS_MS: u64 = 20;
/// Age of a cache event when it reaches the gateways.
const CACHE_EVENT_LAG_MS: Range<u64> = SECOND_MS..3 * SECOND_MS;
/// Share of the batches of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.1;
/// Attempts for one request, the first one included.
const ATTEMPTS_MAX: u32 = 3;
/// Times that a client comes with a request, the first one included.
const TRIES_MAX: u32 = 4;
/// Promised time to the first token.
pub(crate) const FIRST_TOKEN_PROMISE_MS: u64 = 1_600;

/// What became of the requests.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// First-token times by customer class (0: large, 1: small) and kind, in
    /// milliseconds from the client's try that was admitted.
    pub first_token_ms: [[Vec<u64>; 3]; 2],
    /// Requests by class and kind.
    pub asked: [[u32; 3]; 2],
    /// Requests whose first token came within the promise of the first try.
    pub good: [[u32; 3]; 2],
    /// Tries that were refused, by class.
    pub refused_tries: [u32; 2],
    /// Requests that were never admitted, by class.
    pub given_up: [u32; 2],
    /// Requests that were admitted and got no whole answer.
    pub failed: u32,
    /// Attempts beyond the first one.
    pub retries: u32,
    /// Share of the prefixes of started requests that were in the group's cache.
    pub cached_share: f64,
}

impl RequestOutcome {
    fn new() -> Self {
        Self {
            first_token_ms: Default::default(),
            asked: [[0; 3]; 2],
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

    /// Returns the share of all requests whose first token came within the promise.
    pub fn good_share(&self) -> f64 {
        let asked: u32 = self.asked.iter().flatten().sum();
        f64::from(self.good.iter().flatten().sum::<u32>()) / f64::from(asked.max(1))
    }
}

/// What happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended { group: usize, attempt: u64 },
    FirstToken { group: usize, attempt: u64 },
    Break { group: usize },
    Report,
    Arrive { request: usize },
    Fail { request: usize },
}

/// A request under way.
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

struct Run<'a> {
    now_ms: u64,
    start: Instant,
    configuration: Configuration,
    ids: Vec<GroupId>,
    timelines: &'a [Timeline],
    requests: Vec<Request>,
    progress: Vec<Progress>,
    engines: Vec<Engine>,
    snapshot: Vec<u32>,
    gateways: Vec<Gateway>,
    usage: Vec<Vec<(u32, u32)>>,
    attempts: HashMap<u64, usize>,
    next_attempt: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pushed: u64,
    pending: usize,
    random: fastrand::Rng,
    news_random: fastrand::Rng,
    outcome: RequestOutcome,
    rules: Rules,
    feed_mode: CacheFeedMode,
}

/// Runs the requests of a case over groups that serve as `timelines` say.
pub fn run_requests(
    case: Case,
    user: User,
    rules: Rules,
    feed_mode: CacheFeedMode,
    timelines: &[Timeline],
    seed: u64,
) -> RequestOutcome {
    let mut run = Run::new(case, user, rules, timelines, seed);
    run.feed_mode = feed_mode;
    while let Some(Reverse((at_ms, _, event))) = run.events.pop() {
        run.now_ms = at_ms;
        run.handle(event);
        if run.pending == 0 {
            break;
        }
    }
    let (cached, started) =
        run.engines.iter().fold((0, 0), |sum, it| (sum.0 + it.hits, sum.1 + it.starts));
    run.outcome.cached_share = f64::from(cached) / f64::from(started.max(1));
    run.outcome
}

impl<'a> Run<'a> {
    fn new(case: Case, user: User, rules: Rules, timelines: &'a [Timeline], seed: u64) -> Self {
        let groups = timelines.len();
        let gateways = match case {
            Case::LargeDay | Case::LargeDark | Case::LargePressure => {
                (groups as f64 / GROUPS_FOR_EACH_GATEWAY).round() as usize
            }
            _ => GATEWAYS,
        };
        let configuration = traffic::configuration(case, user, groups);
        let requests = traffic::requests(case, groups, seed);
        let id = |it| format!("group-{it:03}").parse().expect("a valid id");
        let gateway = |it: usize| {
            Gateway::new(rules, groups, gateways as u32, &configuration, seed * 1_000 + it as u64)
        };
        let mut run = Self {
            now_ms: 0,
            start: Instant::now(),
            ids: (0..groups).map(id).collect(),
            timelines,
            progress: vec![Progress::default(); requests.len()],
            engines: vec![Engine::default(); groups],
            snapshot: vec![0; groups],
            gateways: (0..gateways).map(gateway).collect(),
            usage: vec![vec![(0, 0); CUSTOMERS]; gateways],
            attempts: HashMap::new(),
            next_attempt: 0,
            events: BinaryHeap::new(),
            pushed: 0,
            pending: requests.len(),
            random: fastrand::Rng::with_seed(seed ^ 0x6761_7465),
            news_random: fastrand::Rng::with_seed(seed ^ 0x6361_6368),
            outcome: RequestOutcome::new(),
            configuration,
            requests,
            rules,
            feed_mode: CacheFeedMode::None,
        };
        run.seed_events();
        run
    }

    fn seed_events(&mut self) {
        let first_ms = self.requests.first().map_or(0, |it| it.at_ms);
        for request in 0..self.requests.len() {
            self.push(self.requests[request].at_ms, Event::Arrive { request });
            let asked = &self.requests[request];
            self.outcome.asked[class(asked)][asked.kind] += 1;
        }
        for group in 0..self.timelines.len() {
            let mut at_ms = first_ms;
            while let Some(next_ms) = self.timelines[group].next_break(at_ms) {
                self.push(next_ms, Event::Break { group });
                at_ms = next_ms;
            }
        }
        self.push(first_ms, Event::Report);
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.pushed += 1;
        self.events.push(Reverse((at_ms, self.pushed, event)));
    }

    fn instant(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::FirstToken { group, attempt } => self.first_token(group, attempt),
            Event::Ended { group, attempt } => self.ended(group, attempt),
            Event::Break { group } => self.break_down(group),
            Event::Fail { request } => self.attempt_failed(request),
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let asked = self.requests[request].clone();
        let gateway = self.balance(&asked);
        let now = self.instant(self.now_ms);
        let report_age = Some(Duration::from_millis(REPORT_MS));
        self.progress[request].tries += 1;
        self.progress[request].gateway = gateway;
        let admitted = self.gateways[gateway].admit(&asked, &self.configuration, report_age, now);
        match admitted {
            Ok(()) => {
                self.progress[request].admitted_ms = self.now_ms;
                self.send(request);
            }
            Err(retry_after) => self.refused(request, retry_after),
        }
    }

    /// Picks the gateway as a balancer does: a large customer keeps to few connections.
    fn balance(&mut self, request: &Request) -> usize {
        let gateways = self.gateways.len();
        if request.customer < LARGE_CUSTOMERS {
            let used = gateways.div_ceil(2);
            return (request.customer * 2 + self.random.usize(..used)) % gateways;
        }
        self.random.usize(..gateways)
    }

    fn refused(&mut self, request: usize, retry_after: Duration) {
        let asked = &self.requests[request];
        self.outcome.refused_tries[class(asked)] += 1;
        if self.progress[request].tries >= TRIES_MAX {
            self.outcome.given_up[class(asked)] += 1;
            self.pending -= 1;
            return;
        }
        self.push(self.now_ms + retry_after.as_millis() as u64, Event::Arrive { request });
    }

    fn send(&mut self, request: usize) {
        let progress = self.progress[request];
        let believed_at_ms = self.now_ms.saturating_sub(PROOF_LAG_MS);
        let believed = |it: &usize| {
            Some(*it) != progress.last_group
                && self.timelines[*it].slowdown(believed_at_ms).is_some()
        };
        let groups: Vec<(usize, GroupId)> =
            (0..self.ids.len()).filter(believed).map(|it| (it, self.ids[it].clone())).collect();
        let asked = self.requests[request].clone();
        let now = self.instant(self.now_ms);
        let chosen = self.gateways[progress.gateway].choose(&asked, &groups);
        let Some(group) = chosen else { return self.finish(request, false) };
        self.progress[request].attempts += 1;
        self.progress[request].last_group = Some(group);
        self.progress[request].sent_ms = self.now_ms;
        if self.timelines[group].slowdown(self.now_ms).is_none() {
            self.push(self.now_ms + CONNECT_FAILS_MS, Event::Fail { request });
            return;
        }
        self.gateways[progress.gateway].record_sent(group, &self.ids[group], &asked, now);
        self.next_attempt += 1;
        self.attempts.insert(self.next_attempt, request);
        let priority = self.priority(&asked);
        self.engines[group].submit(Attempt {
            id: self.next_attempt,
            request,
            priority,
            prefix: asked.prefix,
            tokens: asked.tokens - progress.tokens_done,
            deadline_ms: progress.admitted_ms + asked.deadline_ms,
        });
        self.start_work(group);
    }

    fn priority(&self, request: &Request) -> u16 {
        let kind = &self.configuration.kinds[request.kind];
        let first = self.configuration.policy.first_kinds.contains(&kind.id);
        match self.rules {
            Rules::Naive => 0,
            Rules::Project => u16::from(kind.priority.0) + if first { 256 } else { 0 },
        }
    }

    fn start_work(&mut self, group: usize) {
        let Some(slowdown) = self.timelines[group].slowdown(self.now_ms) else { return };
        let mut late = Vec::new();
        while let Some(started) = self.engines[group].start_next(self.now_ms, slowdown, &mut late) {
            let attempt = started.attempt;
            self.push(started.first_token_ms, Event::FirstToken { group, attempt });
            self.push(started.end_ms, Event::Ended { group, attempt });
        }
        for attempt in late {
            self.attempts.remove(&attempt.id);
            self.leave_group(attempt.request, group);
            self.finish(attempt.request, false);
        }
    }

    fn first_token(&mut self, group: usize, attempt: u64) {
        let Some(request) = self.attempts.get(&attempt).copied() else { return };
        let progress = self.progress[request];
        let time = Duration::from_millis(self.now_ms - progress.sent_ms);
        self.gateways[progress.gateway].first_token(&self.ids[group], time);
        if progress.has_first_token {
            return;
        }
        self.progress[request].has_first_token = true;
        let asked = &self.requests[request];
        let (class, kind) = (class(asked), asked.kind);
        self.outcome.first_token_ms[class][kind].push(self.now_ms - progress.admitted_ms);
        if self.now_ms - asked.at_ms <= FIRST_TOKEN_PROMISE_MS {
            self.outcome.good[class][kind] += 1;
        }
    }

    fn ended(&mut self, group: usize, attempt: u64) {
        let Some(request) = self.attempts.remove(&attempt) else { return };
        self.engines[group].end(attempt);
        self.leave_group(request, group);
        self.finish(request, true);
        self.start_work(group);
    }

    fn leave_group(&mut self, request: usize, group: usize) {
        let now = self.instant(self.now_ms);
        self.gateways[self.progress[request].gateway].ended(group, now);
    }

    fn break_down(&mut self, group: usize) {
        for gateway in &mut self.gateways {
            gateway.lost(&self.ids[group]);
        }
        for attempt in self.engines[group].break_down(self.now_ms) {
            self.attempts.remove(&attempt.id);
            self.leave_group(attempt.request, group);
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
        let may = progress.attempts < ATTEMPTS_MAX && self.gateways[progress.gateway].may_retry();
        if !may {
            return self.finish(request, false);
        }
        self.outcome.retries += 1;
        self.send(request);
    }

    fn finish(&mut self, request: usize, succeeded: bool) {
        let now = self.instant(self.now_ms);
        let gateway = self.progress[request].gateway;
        self.gateways[gateway].record_end(&self.requests[request], succeeded, now);
        self.outcome.failed += u32::from(!succeeded);
        self.pending -= 1;
    }

    /// Hands out the figures of one interval ago and takes new ones.
    fn report(&mut self) {
        let measured_ms = self.now_ms.saturating_sub(REPORT_MS);
        let measured_at = self.instant(measured_ms);
        for gateway in &mut self.gateways {
            for (group, load) in self.snapshot.iter().enumerate() {
                gateway.apply_report(group, *load, measured_at);
            }
        }
        self.hand_out_usage();
        self.hand_out_cache_events();
        self.snapshot = self.engines.iter().map(Engine::load).collect();
        let now = self.instant(self.now_ms);
        self.usage = self.gateways.iter_mut().map(|it| it.usage(now)).collect();
        self.push(self.now_ms + REPORT_MS, Event::Report);
    }

    /// Hands out each group's cache events, late and with some batches lost.
    fn hand_out_cache_events(&mut self) {
        for group in 0..self.engines.len() {
            let lag_ms = self.news_random.u64(CACHE_EVENT_LAG_MS);
            let batch = self.engines[group].take_published(self.now_ms.saturating_sub(lag_ms));
            let lost = self.news_random.f64() < CACHE_EVENT_LOSS;
            if lost || self.feed_mode == CacheFeedMode::None {
                continue;
            }
            for it in &batch {
                let at = self.instant(it.at_ms);
                for gateway in &mut self.gateways {
                    gateway.published(&self.ids[group], it, at);
                }
            }
        }
    }

    fn hand_out_usage(&mut self) {
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

// The kinds' places in the outcome's tables.
const _: () = assert!(KINDS.len() == 3);
