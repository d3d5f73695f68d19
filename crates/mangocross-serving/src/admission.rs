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
    /// Two random groups, given by random numbers in `0.0..1.0`; all groups if neither admits it.
    ///
    /// With stale counts, all entry VMs would otherwise send to the same group until
    /// updated counts show that it is full.
    RandomTwo(f64, f64),
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
        Candidates::RandomTwo(..) => (f64::from(times.slots) * STALE_COUNT_ERROR_SHARE) as u32,
    };
    if let Candidates::RandomTwo(first, second) = candidates {
        let at = |draw: f64| heads.get((draw * heads.len() as f64) as usize).cloned();
        let two: Vec<HeadLoad> = [first, second].into_iter().filter_map(at).collect();
        let chosen = admit_best(times, &two, demand, late_queue, count_error);
        if matches!(chosen, Admission::Send(_)) {
            return chosen;
        }
    }
    admit_best(times, heads, demand, late_queue, count_error)
}

fn admit_best(
    times: &GroupTimes,
    heads: &[HeadLoad],
    demand: &StreamDemand,
    late_queue: u32,
    count_error: u32,
) -> Admission {
    let cost = |it: &&HeadLoad| (times.first_event(it, demand.prompt_tokens), it.in_flight);
    let is_slow = |it: &&HeadLoad| it.slowdown > PREFERRED_SLOWDOWN_MAX;
    let normal = heads.iter().filter(|it| !is_slow(it)).min_by_key(cost);
    let slow = heads.iter().filter(is_slow).min_by_key(cost);
    let Some(best) = normal.or(slow) else { return Admission::NoGroup };
    let predict = |it: &HeadLoad| {
        let assumed = HeadLoad { in_flight: it.in_flight + count_error, ..it.clone() };
        times.first_event(&assumed, demand.prompt_tokens)
    };
    let accepts = |it: &&HeadLoad| {
        let predicted = predict(it);
        let is_on_time =
            demand.waited + predicted <= demand.target_latency.mul_f64(TARGET_LATENCY_SHARE);
        let reserved = (f64::from(times.slots) * RESERVED_FROM_LATE_SHARE) as u32;
        let is_within_late_limit =
            predicted <= demand.target_latency.mul_f64(LATE_LATENCY_FACTOR) || late_queue > 0;
        let is_allowed_late = it.in_flight + count_error + reserved < times.slots + late_queue
            && is_within_late_limit;
        is_on_time || is_allowed_late
    };
    if let Some(chosen) = [normal, slow].into_iter().flatten().find(accepts) {
        return Admission::Send(chosen.vm.clone());
    }
    let excess = (best.in_flight + 1).saturating_sub(times.slots);
    Admission::Refuse {
        free_slot_in: times.completion_interval() * excess,
        best: best.clone(),
        first_event_in: predict(best),
    }
}
