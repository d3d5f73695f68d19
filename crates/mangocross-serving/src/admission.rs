//! Admission control for streams: selects a group, or refuses the stream.

use std::time::Duration;

use mangocross_types::AvailabilityZone;
use mangocross_types::VmId;

use crate::EngineSpec;
use crate::ModelSpec;

/// Share of the target latency that the predicted time to the first event may use.
const TARGET_LATENCY_SHARE: f64 = 0.95;
/// Time to the first event in addition to the engine passes: fixed overhead and the network.
const FIRST_EVENT_BASE: Duration = Duration::from_millis(70);
/// Engine passes before the first event: on average half of the current pass, then the one that
/// processes the prompt.
const FIRST_EVENT_PASSES: f64 = 1.5;
/// Share of a group's slots that late streams may not use.
const RESERVED_FROM_LATE_SHARE: f64 = 0.1;
/// Late streams are admitted only if the predicted time is at most this multiple of the target
/// latency.
const LATE_LATENCY_FACTOR: f64 = 1.5;
/// Share of the slots by which stale counts of other entry VMs may be too low.
const STALE_COUNT_ERROR_SHARE: f64 = 0.1;
/// Time until a stream that is sent shows in the counts of all entry VMs: half of two report
/// intervals, and the way.
const COUNT_HORIZON: Duration = Duration::from_millis(350);
/// Share of all slots in use above which two groups are no longer compared.
const COMPARED_LOAD_MAX: f64 = 0.6;
/// Share of a group's slots up to which streams are planned with stale counts. The rest takes up the
/// scatter of arrivals, which would otherwise wait in the engine's queue.
const PLANNED_SLOTS_SHARE: f64 = 0.95;
/// Slowdown above which a group gets streams only if no other group has capacity.
const PREFERRED_SLOWDOWN_MAX: f64 = 1.6;

/// A head that accepts requests for the model, and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct HeadLoad {
    /// VM of the head.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Requests in progress, over all entry VMs.
    pub in_flight: u32,
    /// Requests in progress whose first event has not arrived; their prompts are read first.
    pub waiting: u32,
    /// Slowdown that the group reported; 1 is its expected speed, larger values are slower.
    pub slowdown: f64,
}

/// A stream to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamDemand {
    /// Target time to the first event.
    pub target_latency: Duration,
    /// Time since the caller's first attempt.
    pub waited: Duration,
    /// Number of tokens in the stream's prompt.
    pub prompt_tokens: u32,
}

/// Predicts the latencies of one model's groups from the engine specification.
///
/// An engine works in passes: several token steps for all requests, then the prompts
/// that arrived in the meantime. Prompts are read in order of arrival, which matters
/// most when a group opens and all entry VMs send to it.
#[derive(Debug, Clone, Copy)]
pub struct GroupTimes {
    slots: u32,
    stride: f64,
    step_ms: f64,
    step_per_request_ms: f64,
    read_per_token_ms: f64,
    prompt_tokens: f64,
    answer_tokens: f64,
}

impl GroupTimes {
    /// Derives the latencies of a model's groups.
    pub fn new(engine: &EngineSpec, model: &ModelSpec) -> Self {
        Self {
            slots: engine.slots.max(1),
            stride: f64::from(engine.stride.max(1)),
            step_ms: engine.step_ms * model.slowdown,
            step_per_request_ms: engine.step_per_request_ms * model.slowdown,
            read_per_token_ms: 1000.0 / engine.read_tokens_per_s.max(1.0) * model.slowdown,
            prompt_tokens: engine.usual_prompt_tokens,
            answer_tokens: engine.usual_answer_tokens.max(1.0),
        }
    }

    /// Returns the number of requests that a group processes concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the time of a token step without prompts, in milliseconds.
    fn token_step_ms(&self, running: u32) -> f64 {
        self.step_ms + f64::from(running.min(self.slots)) * self.step_per_request_ms
    }

    /// Returns the mean time between two completed requests of a full group.
    pub fn completion_interval(&self) -> Duration {
        let request_ms = self.answer_tokens * self.token_step_ms(self.slots);
        let read_ms = self.prompt_tokens * self.read_per_token_ms;
        Duration::from_secs_f64((request_ms / f64::from(self.slots) + read_ms) / 1000.0)
    }

    /// Predicts the time to the first event of a request that is sent to the group now.
    pub fn first_event(&self, head: &HeadLoad, prompt_tokens: u32) -> Duration {
        let queued = (head.in_flight + 1).saturating_sub(self.slots);
        let pass_ms = self.stride * self.token_step_ms(head.in_flight);
        let unread_tokens = f64::from(head.waiting) * self.prompt_tokens + f64::from(prompt_tokens);
        let time_ms = FIRST_EVENT_PASSES * pass_ms + self.read_per_token_ms * unread_tokens;
        let time = Duration::from_secs_f64(time_ms / 1000.0) + self.completion_interval() * queued;
        FIRST_EVENT_BASE + time.mul_f64(head.slowdown.max(1.0))
    }

    /// Returns how many streams a group can take until the counts show them: its free slots and the
    /// requests that it completes meanwhile.
    fn headroom(&self, head: &HeadLoad) -> f64 {
        self.free(head) + self.completed(head)
    }

    /// Returns the free slots among those that streams are planned for, negative if more are in use.
    fn free(&self, head: &HeadLoad) -> f64 {
        f64::from(self.slots) * PLANNED_SLOTS_SHARE - f64::from(head.in_flight)
    }

    /// Returns the requests that a group completes until the counts show it.
    fn completed(&self, head: &HeadLoad) -> f64 {
        let interval = self.completion_interval().mul_f64(head.slowdown.max(1.0));
        let at_full_load = COUNT_HORIZON.as_secs_f64() / interval.as_secs_f64().max(f64::EPSILON);
        at_full_load * (f64::from(head.in_flight) / f64::from(self.slots)).min(1.0)
    }
}

impl GroupTimes {
    /// Returns the requests that a group completes each second while so many are in progress.
    pub fn completions_per_s(&self, in_progress: f64) -> f64 {
        let step_ms = self.step_ms + in_progress * self.step_per_request_ms;
        let read_ms = self.prompt_tokens * self.read_per_token_ms;
        1000.0 / (self.answer_tokens * step_ms / in_progress.max(0.1) + read_ms)
    }

    /// Predicts the time to the first event at an idle group.
    pub fn first_event_min(&self, prompt_tokens: u32) -> Duration {
        let pass_ms = self.stride * self.token_step_ms(0);
        let read_ms = self.read_per_token_ms * f64::from(prompt_tokens);
        FIRST_EVENT_BASE
            + Duration::from_secs_f64((FIRST_EVENT_PASSES * pass_ms + read_ms) / 1000.0)
    }
}

/// Result of the admission of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Send the stream to the group of this head.
    Send(VmId),
    /// No group can start the stream in time; the caller may retry later.
    Refuse {
        /// Time until the group with the shortest predicted wait has a free slot.
        free_slot_in: Duration,
        /// The head of that group.
        best: HeadLoad,
        /// Predicted time to the first event in that group.
        first_event_in: Duration,
    },
    /// No group serves the model.
    NoGroup,
}

/// Which groups are considered for a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Candidates {
    /// All groups; suitable if counts are recent.
    All,
    /// The better of two random groups while few slots are in use, else one random group, in
    /// proportion to what each can take until the counts show it.
    ///
    /// With stale counts, all entry VMs would otherwise send to the same group until updated counts
    /// show that it is full.
    Sampled(Draws),
}

/// Random numbers in `0.0..1.0` for one choice of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Draws {
    /// Position of the group in the headroom of all groups.
    pub first: f64,
    /// Position of the group that it is compared with.
    pub second: f64,
}

/// Chooses the group with the shortest predicted time to the first event.
///
/// A stream that no group can start within its target latency is refused, so that
/// streams that arrive while all groups are full do not delay all later ones. A stream
/// that can no longer meet its target is late: it needs an unreserved free slot and a
/// prediction within `LATE_LATENCY_FACTOR` times the target. `late_queue` is added to the
/// slots for late streams, so that some of them, for example resumed ones, may wait at an
/// engine; if it is not zero, late streams have no limit on the prediction.
pub fn admit(
    times: &GroupTimes,
    heads: &[HeadLoad],
    demand: &StreamDemand,
    late_queue: u32,
    candidates: Candidates,
) -> Admission {
    let count_error = match candidates {
        Candidates::All => 0,
        Candidates::Sampled(_) => (f64::from(times.slots) * STALE_COUNT_ERROR_SHARE) as u32,
    };
    let rules = Rules { times, demand, late_queue, count_error };
    match candidates {
        Candidates::All => rules.admit_best(heads),
        Candidates::Sampled(draws) if late_queue == 0 => match rules.sample(heads, draws) {
            Some(vm) => Admission::Send(vm),
            None => rules.refuse(heads),
        },
        // Resumed streams are few, and may wait at an engine.
        Candidates::Sampled(_) => rules.admit_best(heads),
    }
}

/// Returns how many streams a group of these can take on average until the counts show them.
pub fn mean_headroom(times: &GroupTimes, heads: &[HeadLoad]) -> f64 {
    heads.iter().map(|it| times.headroom(it).max(0.0)).sum::<f64>() / heads.len().max(1) as f64
}

/// What decides whether a group may take a stream.
struct Rules<'a> {
    times: &'a GroupTimes,
    demand: &'a StreamDemand,
    late_queue: u32,
    count_error: u32,
}

impl Rules<'_> {
    fn predict(&self, head: &HeadLoad) -> Duration {
        let in_flight = head.in_flight + self.count_error;
        self.times.first_event(&HeadLoad { in_flight, ..head.clone() }, self.demand.prompt_tokens)
    }

    fn accepts(&self, head: &HeadLoad) -> bool {
        let (predicted, demand) = (self.predict(head), self.demand);
        let is_on_time =
            demand.waited + predicted <= demand.target_latency.mul_f64(TARGET_LATENCY_SHARE);
        let slots = self.times.slots;
        let reserved = (f64::from(slots) * RESERVED_FROM_LATE_SHARE) as u32;
        let is_within_late_limit =
            predicted <= demand.target_latency.mul_f64(LATE_LATENCY_FACTOR) || self.late_queue > 0;
        let is_allowed_late = head.in_flight + self.count_error + reserved
            < slots + self.late_queue
            && is_within_late_limit;
        is_on_time || is_allowed_late
    }

    /// Returns whether a group whose counts are stale can start the stream in time, or late if that
    /// leaves the reserved slots free, should it get a slot.
    fn starts_with_free_slot(&self, head: &HeadLoad) -> bool {
        let in_flight = head.in_flight.min(self.times.slots.saturating_sub(1));
        let prompt_tokens = self.demand.prompt_tokens;
        let predicted =
            self.times.first_event(&HeadLoad { in_flight, ..head.clone() }, prompt_tokens);
        let (waited, target) = (self.demand.waited, self.demand.target_latency);
        let is_on_time = waited + predicted <= target.mul_f64(TARGET_LATENCY_SHARE);
        let reserved = f64::from(self.times.slots) * RESERVED_FROM_LATE_SHARE;
        is_on_time
            || (self.times.headroom(head) > reserved
                && predicted <= target.mul_f64(LATE_LATENCY_FACTOR))
    }

    /// Returns whether two groups may be compared: the better one gets up to twice the streams that
    /// counts of some tenths of a second ago leave it headroom for.
    fn may_compare(&self, heads: &[HeadLoad]) -> bool {
        let in_flight: u32 = heads.iter().map(|it| it.in_flight).sum();
        let slots = f64::from(self.times.slots) * heads.len() as f64;
        f64::from(in_flight) <= COMPARED_LOAD_MAX * slots
    }

    /// Chooses a group in proportion to the headroom of each, the better one of two if they may be
    /// compared.
    fn sample(&self, heads: &[HeadLoad], draws: Draws) -> Option<VmId> {
        let (slow, normal): (Vec<&HeadLoad>, Vec<&HeadLoad>) = heads
            .iter()
            .filter(|it| self.times.headroom(it) > 0.0 && self.starts_with_free_slot(it))
            .partition(|it| is_slow(it));
        let accepting = if normal.is_empty() { slow } else { normal };
        let headrooms: Vec<f64> = accepting.iter().map(|it| self.times.headroom(it)).collect();
        let total: f64 = headrooms.iter().sum();
        let at = |draw: f64| {
            let mut left = draw * total;
            let position = headrooms.iter().position(|headroom| {
                left -= headroom;
                left < 0.0
            });
            accepting.get(position.unwrap_or(headrooms.len().saturating_sub(1))).copied()
        };
        let second = self.may_compare(heads).then_some(draws.second);
        let drawn = [Some(draws.first), second].into_iter().flatten().filter_map(at);
        let cost = |it: &&HeadLoad| self.times.first_event(it, self.demand.prompt_tokens);
        drawn.min_by_key(cost).map(|it| it.vm.clone())
    }

    fn admit_best(&self, heads: &[HeadLoad]) -> Admission {
        let prompt_tokens = self.demand.prompt_tokens;
        let cost = |it: &&HeadLoad| (self.times.first_event(it, prompt_tokens), it.in_flight);
        let normal = heads.iter().filter(|it| !is_slow(it)).min_by_key(cost);
        let slow = heads.iter().filter(|it| is_slow(it)).min_by_key(cost);
        match [normal, slow].into_iter().flatten().find(|it| self.accepts(it)) {
            Some(chosen) => Admission::Send(chosen.vm.clone()),
            None => self.refuse(heads),
        }
    }

    fn refuse(&self, heads: &[HeadLoad]) -> Admission {
        let cost = |it: &&HeadLoad| {
            (is_slow(it), self.times.first_event(it, self.demand.prompt_tokens), it.in_flight)
        };
        let Some(best) = heads.iter().min_by_key(cost) else { return Admission::NoGroup };
        let excess = (best.in_flight + 1).saturating_sub(self.times.slots);
        Admission::Refuse {
            free_slot_in: self.times.completion_interval() * excess,
            best: best.clone(),
            first_event_in: self.predict(best),
        }
    }
}

fn is_slow(head: &HeadLoad) -> bool {
    head.slowdown > PREFERRED_SLOWDOWN_MAX
}
