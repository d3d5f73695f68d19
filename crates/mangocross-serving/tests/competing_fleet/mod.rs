//! Entry VMs and heads that are played in steps of a few milliseconds, with counts as old as on the
//! largest deployments.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use mangocross_serving::Admission;
use mangocross_serving::Candidates;
use mangocross_serving::Competition;
use mangocross_serving::CompetitionRules;
use mangocross_serving::Draws;
use mangocross_serving::EngineSpec;
use mangocross_serving::FirstEventTimes;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::LoadTable;
use mangocross_serving::ModelCapacity;
use mangocross_serving::ModelKey;
use mangocross_serving::Moment;
use mangocross_serving::NewStream;
use mangocross_serving::StreamClass;
use mangocross_serving::StreamDemand;
use mangocross_serving::Timing;
use mangocross_serving::admit;
use mangocross_serving::stream_cost;
use mangocross_types::CustomerId;
use mangocross_types::VmId;

use crate::figures::engine_spec;

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 250;
const DEADLINE: Duration = Duration::from_secs(6);
const SLOTS: u32 = 20;
const STRIDE: u32 = 4;
const TOKENS: u32 = 95;
const PROMPT: u32 = 600;

/// Streams of a priority.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) priority: u8,
    pub(crate) per_s: f64,
    pub(crate) target: Duration,
    /// Weights of the customers.
    pub(crate) customers: Vec<f64>,
}

/// What became of the streams that were first sent within a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Second {
    pub(crate) received: u32,
    pub(crate) started: u32,
    pub(crate) in_time: u32,
    pub(crate) refused_for_ever: u32,
}

impl Second {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            received: self.received + other.received,
            started: self.started + other.started,
            in_time: self.in_time + other.in_time,
            refused_for_ever: self.refused_for_ever + other.refused_for_ever,
        }
    }
}

#[derive(Debug, Clone)]
struct Stream {
    sent_at: u64,
    load: usize,
    customer: usize,
    attempts: u32,
    vm: usize,
    predicted: Duration,
    chosen_at: u64,
    tokens_left: u32,
}

#[derive(Debug, Default)]
struct Head {
    is_gone: bool,
    queue: VecDeque<Stream>,
    running: Vec<Stream>,
    pass_ends_at: u64,
}

struct EntryVm {
    loads: LoadTable,
    competition: Competition,
    is_cut_off: bool,
}

/// The fleet and what it did, by second, load and customer.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) loads: Vec<Load>,
    pub(crate) seconds: HashMap<(u64, usize, usize), Second>,
    model: ModelKey,
    times: GroupTimes,
    engine: EngineSpec,
    names: Vec<VmId>,
    customers: Vec<CustomerId>,
    heads: Vec<Head>,
    vms: Vec<EntryVm>,
    rules: CompetitionRules,
    returning: Vec<(u64, Stream)>,
    /// Starts and those of streams that returned, by second.
    starts: HashMap<u64, (u32, u32)>,
    rng: fastrand::Rng,
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

impl Fleet {
    pub(crate) fn new(
        (heads, vms): (usize, usize),
        loads: Vec<Load>,
        rules: CompetitionRules,
        seed: u64,
    ) -> Self {
        let engine = EngineSpec {
            slots: SLOTS,
            stride: STRIDE,
            usual_prompt_tokens: f64::from(PROMPT),
            usual_answer_tokens: f64::from(TOKENS),
            ..engine_spec()
        };
        let model = engine.models[0].clone();
        let id = |it: usize| format!("i-{it}").parse().expect("a valid id");
        let customer = |it: usize| format!("c-{it}").parse().expect("a valid id");
        let customers = loads.iter().map(|it| it.customers.len()).max().unwrap_or(0);
        let vm = || EntryVm {
            loads: LoadTable::default(),
            competition: Competition::default(),
            is_cut_off: false,
        };
        Self {
            now_ms: 10_000,
            loads,
            seconds: HashMap::new(),
            times: GroupTimes::new(&engine, &model),
            model: ModelKey { service: "s".parse().expect("a valid id"), model: model.model },
            engine,
            names: (0..heads).map(id).collect(),
            customers: (0..customers).map(customer).collect(),
            heads: (0..heads).map(|_| Head::default()).collect(),
            vms: (0..vms).map(|_| vm()).collect(),
            rules,
            returning: Vec::new(),
            starts: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Removes heads with all their streams.
    pub(crate) fn remove_heads(&mut self, count: usize) {
        for at in 0..count {
            let head = &mut self.heads[at];
            head.is_gone = true;
            for it in head.queue.drain(..).chain(head.running.drain(..)) {
                self.vms[it.vm].loads.record_end(&self.names[at], it.tokens_left < TOKENS);
            }
        }
    }

    /// Cuts entry VMs off from the others.
    pub(crate) fn cut_off(&mut self, vms: std::ops::Range<usize>) {
        self.vms[vms].iter_mut().for_each(|it| it.is_cut_off = true);
    }

    /// Returns the sum over the seconds from one to before another, in a load or in all.
    pub(crate) fn sum(&self, from: u64, to: u64, load: Option<usize>) -> Second {
        self.sum_of(from, to, |it_load, _| load.is_none_or(|it| it == it_load))
    }

    /// Returns the sum over loads and customers.
    pub(crate) fn sum_of(
        &self,
        from: u64,
        to: u64,
        counts: impl Fn(usize, usize) -> bool,
    ) -> Second {
        let of = |it: &&(u64, usize, usize)| (from..to).contains(&it.0) && counts(it.1, it.2);
        let found = self.seconds.iter().filter(|(it, _)| of(it));
        found.fold(Second::default(), |sum, (_, it)| sum.plus(*it))
    }

    /// Returns the starts in the seconds from one to before another, and those of returned streams.
    pub(crate) fn starts(&self, from: u64, to: u64) -> (u32, u32) {
        let seconds = (from..to).filter_map(|it| self.starts.get(&it));
        seconds.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    /// Plays some seconds.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now_ms + time.as_millis() as u64;
        while self.now_ms < until {
            self.exchange();
            self.receive();
            self.work();
            self.now_ms += STEP_MS;
        }
    }

    /// Sends the counts of one in some entry VMs to the first one, and its totals to all others.
    fn exchange(&mut self) {
        let now = at(self.now_ms);
        let count = self.vms.len();
        for vm in 1..count {
            let phase = (vm as u64 * REPORT_INTERVAL_MS / count as u64) / STEP_MS * STEP_MS;
            if self.now_ms % REPORT_INTERVAL_MS != phase || self.vms[vm].is_cut_off {
                continue;
            }
            let report = self.vms[vm].competition.demand.own_report(now);
            let loads = self.vms[vm].loads.local().clone();
            let name: std::sync::Arc<str> = format!("v-{vm}").into();
            self.vms[vm].loads.mark_reported();
            let planner = &mut self.vms[0];
            planner.competition.demand.record_report(std::sync::Arc::clone(&name), report, now);
            planner.loads.apply_peer_counts(name, loads, now);
        }
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            let report = self.vms[0].competition.demand.totals(now);
            let loads = self.vms[0].loads.compute_totals(now);
            for vm in self.vms[1..].iter_mut().filter(|it| !it.is_cut_off) {
                vm.competition.demand.record_totals(report.clone(), now);
                vm.loads.apply_totals(loads.clone(), now);
            }
        }
        self.vms.iter_mut().for_each(|it| {
            it.competition.expire(now);
            it.loads.expire(now);
        });
    }

    /// Receives new streams and those that return.
    fn receive(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.returning.drain(..).partition(|it| it.0 <= now_ms);
        self.returning = later;
        let due: Vec<(u64, Stream)> = due;
        due.into_iter().for_each(|(_, it)| self.start(it));
        for load in 0..self.loads.len() {
            let Load { per_s, customers, .. } = self.loads[load].clone();
            let expected = per_s * STEP_MS as f64 / 1000.0;
            // Poisson arrivals: the time between two is exponential.
            let mut time = -self.rng.f64().max(1e-12).ln();
            while time < expected {
                time -= self.rng.f64().max(1e-12).ln();
                let mut draw = self.rng.f64() * customers.iter().sum::<f64>();
                let chosen = customers.iter().position(|it| {
                    draw -= it;
                    draw < 0.0
                });
                let customer = chosen.unwrap_or(0);
                let stream = Stream {
                    sent_at: now_ms,
                    load,
                    customer,
                    attempts: 0,
                    vm: 0,
                    predicted: Duration::ZERO,
                    chosen_at: now_ms,
                    tokens_left: TOKENS,
                };
                self.second(&stream).received += 1;
                self.start(stream);
            }
        }
    }

    fn second(&mut self, stream: &Stream) -> &mut Second {
        let key = (stream.sent_at / 1000, stream.load, stream.customer);
        self.seconds.entry(key).or_default()
    }

    fn start(&mut self, mut stream: Stream) {
        let now = at(self.now_ms);
        stream.vm = self.rng.usize(0..self.vms.len());
        stream.attempts += 1;
        stream.chosen_at = self.now_ms;
        let Load { priority, target, .. } = self.loads[stream.load];
        let waited = Duration::from_millis(self.now_ms - stream.sent_at);
        let timing = match self.rules.ranks_late {
            true => Timing::new(waited, Duration::ZERO, self.times.first_event_min(PROMPT), target),
            false => Timing::InTime,
        };
        let class =
            StreamClass { timing, priority: if self.rules.has_priorities { priority } else { 0 } };
        let customer = self.customers[stream.customer].clone();
        let entry_vms = self.vms.len();
        let vm = &mut self.vms[stream.vm];
        let names = self.names.iter().zip(&self.heads).filter(|(_, it)| !it.is_gone);
        let heads: Vec<HeadLoad> = names
            .map(|(name, _)| {
                let load = vm.loads.load(name, now);
                let (in_flight, waiting) = (load.in_flight, load.waiting);
                let (vm, zone) = (name.clone(), "z1".parse().expect("a valid zone"));
                HeadLoad { vm, zone, in_flight, waiting, slowdown: 1.0 }
            })
            .collect();
        let demand = &mut vm.competition.demand;
        demand.record(&self.model, class, Some(&customer), stream_cost(PROMPT, TOKENS), now);
        let (times, loads) = (&self.times, &vm.loads);
        let capacity =
            |source| ModelCapacity::known(times, &heads, loads, (source, entry_vms), now);
        let (competition, _) =
            vm.competition.update(&self.model, entry_vms, self.rules, now, capacity);
        let new = NewStream {
            class,
            customer: Some(&customer),
            first_event_in: self.times.first_event_min(PROMPT),
            time_left: DEADLINE.saturating_sub(waited),
        };
        let refusal = competition.refusal(&new, self.rules, self.rng.f64());
        let returns = competition.expected_returns();
        let demand = StreamDemand { target_latency: target, waited, prompt_tokens: PROMPT };
        let draws = Draws { first: self.rng.f64(), second: self.rng.f64() };
        let admission = admit(&self.times, &heads, &demand, 0, Candidates::Sampled(draws));
        let chosen = heads.iter().find(|it| admission == Admission::Send(it.vm.clone()));
        let Some(chosen) = chosen.filter(|_| refusal.is_none()) else {
            if stream.attempts == 1 {
                vm.competition.demand.record_refusal(&self.model, now);
            }
            let limit = new.time_left / 3;
            let after = returns.return_after(limit, self.rng.f64());
            assert!(after <= limit, "callers honour no longer time");
            if stream.attempts < 2 && after < new.time_left {
                self.returning.push((self.now_ms + after.as_millis() as u64, stream));
            } else {
                self.second(&stream).refused_for_ever += 1;
            }
            return;
        };
        stream.predicted = self.times.first_event(chosen, PROMPT);
        vm.loads.record_start(&chosen.vm);
        let starts = self.starts.entry(self.now_ms / 1000).or_default();
        starts.0 += 1;
        starts.1 += u32::from(stream.attempts > 1);
        let head = self.names.iter().position(|it| *it == chosen.vm).expect("a known head");
        self.heads[head].queue.push_back(stream);
    }

    /// Plays the engines' passes: some token steps, then the prompts of new requests.
    fn work(&mut self) {
        for head in 0..self.heads.len() {
            while self.heads[head].pass_ends_at <= self.now_ms {
                self.pass(head);
            }
        }
    }

    fn pass(&mut self, at_head: usize) {
        let head = &mut self.heads[at_head];
        let pass_end = head.pass_ends_at.max(self.now_ms);
        let mut begun = Vec::new();
        let mut ended = Vec::new();
        for it in &mut head.running {
            if it.tokens_left == TOKENS {
                begun.push(it.clone());
            }
            it.tokens_left = it.tokens_left.saturating_sub(STRIDE);
        }
        head.running.retain(|it| {
            if it.tokens_left == 0 {
                ended.push(it.vm);
            }
            it.tokens_left > 0
        });
        let free = SLOTS as usize - head.running.len();
        let new: Vec<Stream> = head.queue.drain(..free.min(head.queue.len())).collect();
        let read_ms = new.len() as f64 * f64::from(PROMPT) / self.engine.read_tokens_per_s * 1000.0;
        head.running.extend(new);
        let running = head.running.len() as f64;
        let step_ms = self.engine.step_ms + running * self.engine.step_per_request_ms;
        head.pass_ends_at = pass_end + (f64::from(STRIDE) * step_ms + read_ms) as u64;
        let name = self.names[at_head].clone();
        for it in begun {
            // 70 ms on the network and in processes.
            let observed = Duration::from_millis(pass_end + 70 - it.chosen_at);
            let target = self.loads[it.load].target;
            let is_in_time = Duration::from_millis(pass_end + 70 - it.sent_at) <= target;
            let second = self.second(&it);
            second.started += 1;
            second.in_time += u32::from(is_in_time);
            let (now, vm) = (at(self.now_ms), &mut self.vms[it.vm]);
            vm.loads.record_first_event(&name);
            let demand = &mut vm.competition.demand;
            let times = FirstEventTimes { predicted: it.predicted, observed, target };
            demand.record_begin(&self.model, Some(times), now);
        }
        ended.into_iter().for_each(|vm| self.vms[vm].loads.record_end(&name, true));
    }
}
