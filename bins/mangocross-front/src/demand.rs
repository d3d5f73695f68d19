//! Admits streams by the demand of all entry VMs while a model's groups are short of capacity.

use std::sync::Arc;
use std::time::Duration;

use log::kv::Value;
use mangocross_serving::BackendServer;
use mangocross_serving::CompetitionRules;
use mangocross_serving::DemandReport;
use mangocross_serving::FirstEventTimes;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::ModelCapacity;
use mangocross_serving::ModelCompetition;
use mangocross_serving::ModelKey;
use mangocross_serving::Moment;
use mangocross_serving::NewStream;
use mangocross_serving::StartRefusal;
use mangocross_serving::StreamClass;
use mangocross_serving::Timing;
use mangocross_serving::TrafficConfiguration;
use mangocross_serving::stream_cost;
use mangocross_types::CustomerId;
use mangocross_types::ServiceId;

use crate::dispatch::Call;
use crate::peers::FULL_MESH_PEERS_MAX;
use crate::state::AppState;
use crate::state::ClusterView;

/// Share of the time left within which callers honour a Retry-After.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Time since a caller's first attempt from which its stream counts as one that returned.
const RETURNED_FROM: Duration = Duration::from_millis(50);

/// A stream's model, and the times of the model's groups.
struct Target {
    key: ModelKey,
    times: GroupTimes,
}

impl Target {
    fn of(call: &Call) -> Option<Self> {
        let engine = call.configuration.services.get(&call.service)?.engine.as_ref()?;
        let named = call.caller_head.model.as_ref().and_then(|it| engine.model(it));
        let model = named.or(engine.models.first())?;
        let key = ModelKey { service: call.service.clone(), model: model.model.clone() };
        Some(Self { key, times: GroupTimes::new(engine, model) })
    }
}

impl AppState {
    /// Records a stream that is to be started at one of the heads, and decides whether it is refused
    /// in favour of others; returns the time after which its caller is to come back.
    pub(crate) fn refuse_start(&self, call: &Call, heads: &[HeadLoad]) -> Option<Duration> {
        let rules = self.competition_rules(&call.configuration, &call.service)?;
        let target = Target::of(call)?;
        let now = self.now();
        let class = class(call, &target.times, rules);
        let customer = call.holder.as_ref().map(|it| &it.customer);
        let cost = stream_cost(call.caller_head.prompt_tokens, call.caller_head.output_tokens);
        let mut view = self.view.borrow_mut();
        view.competition.demand.record(&target.key, class, customer, cost, now);
        let entry_vms = view.entry_vm_count();
        let closed = view.closed_to_this_vm(&target.key, now);
        let ClusterView { competition, loads, .. } = &mut *view;
        let capacity = |source| {
            ModelCapacity::known(&target.times, heads, loads, (source, entry_vms), now)
                .with_closed(&closed)
        };
        let (competition, has_changed) =
            competition.update(&target.key, entry_vms, rules, now, capacity);
        if has_changed && self.log_rate.allow("capacity short", now).is_some() {
            log_change(&target.key, competition, now);
        }
        // The caller has received a part of the answer, or resumes one.
        if call.caller_head.last_event_id.is_some() {
            return None;
        }
        let first_event = |it| target.times.first_event(it, call.caller_head.prompt_tokens);
        let stream = NewStream {
            class,
            customer,
            first_event_in: heads.iter().map(first_event).min().unwrap_or_default(),
            time_left: call.time_left(),
        };
        let draw = fastrand::f64();
        let refusal = competition.refusal(&stream, rules, draw)?;
        self.metrics.count_not_admitted(class, refusal.name());
        let return_after = return_after(call, competition);
        if let Some(left_out) = self.log_rate.allow("stream not admitted", now) {
            log_refusal(call, &stream, competition, (refusal, draw, return_after), left_out);
        }
        Some(return_after)
    }

    /// Returns the time after which the caller of a stream is to come back that no group has room
    /// for, if the model's groups are short of capacity.
    pub(crate) fn return_after_shortage(&self, call: &Call) -> Option<Duration> {
        self.competition_rules(&call.configuration, &call.service)?;
        let view = self.view.borrow();
        let competition = view.competition.model(&Target::of(call)?.key)?;
        competition.ratios().is_short.then(|| return_after(call, competition))
    }

    /// Predicts the time to the first event of a stream that is sent to a group now, if the prediction
    /// is to be compared with what comes.
    pub(crate) fn predict_first_event(&self, call: &Call, head: &HeadLoad) -> Option<Duration> {
        self.competition_rules(&call.configuration, &call.service)?;
        Some(Target::of(call)?.times.first_event(head, call.caller_head.prompt_tokens))
    }

    /// Records that the answer of a stream begins now, and, if its first event was predicted, when that
    /// was and for when.
    pub(crate) fn record_begin(&self, call: &Call, predicted: Option<(Moment, Duration)>) {
        let Some(target) = Target::of(call) else { return };
        let now = self.now();
        let times = predicted.map(|(at, predicted)| FirstEventTimes {
            predicted,
            observed: now.since(at),
            target: call.route.target_latency,
        });
        self.view.borrow_mut().competition.demand.record_begin(&target.key, times, now);
    }

    /// Records that a stream is refused since no group has room for it or others need the room.
    pub(crate) fn record_refusal(&self, call: &Call) {
        let Some(target) = Target::of(call).filter(|_| call.waited_before < RETURNED_FROM) else {
            return;
        };
        let now = self.now();
        self.view.borrow_mut().competition.demand.record_refusal(&target.key, now);
    }

    /// Returns this VM's streams, or those of all entry VMs if `are_totals`. `None` if no streams
    /// compete.
    pub(crate) fn demand_to_tell(&self, are_totals: bool) -> Option<DemandReport> {
        let configuration = self.configuration()?;
        let mut services = configuration.engines().map(|it| it.0);
        services.find(|it| self.competition_rules(&configuration, it).is_some())?;
        let now = self.now();
        let demand = &self.view.borrow().competition.demand;
        Some(if are_totals { demand.totals(now) } else { demand.own_report(now) })
    }

    /// Records the streams of another entry VM, or of all.
    pub(crate) fn apply_demand(&self, from: Arc<str>, are_totals: bool, report: DemandReport) {
        let now = self.now();
        let demand = &mut self.view.borrow_mut().competition.demand;
        match are_totals {
            true => demand.record_totals(report, now),
            false => demand.record_report(from, report, now),
        }
    }

    /// Returns the rules by which streams for a service compete; `None` if they do not.
    ///
    /// They do if the service's streaming routes have different priorities, and late streams are
    /// ranked behind others if, besides, there are so many entry VMs that each decides by counts that
    /// are older than its groups' queues. With equal priorities only customers far above their fair
    /// shares are limited: refusing late streams there costs callers more than serving them late.
    fn competition_rules(
        &self,
        configuration: &TrafficConfiguration,
        service: &ServiceId,
    ) -> Option<CompetitionRules> {
        let has_priorities = configuration.has_stream_priorities(service);
        let view = self.view.borrow();
        let others = view.entry_vms.keys().filter(|it| **it != self.vm.name);
        let is_via_planner = others.count() > FULL_MESH_PEERS_MAX;
        let ranks_late = has_priorities && is_via_planner;
        let rules = CompetitionRules { has_priorities, ranks_late };
        (has_priorities || is_via_planner).then_some(rules)
    }
}

impl ClusterView {
    /// Returns the loads of the heads that serve a model and take requests of other entry VMs, but none
    /// of this one now: they are limited, or cold after their start.
    fn closed_to_this_vm(&self, key: &ModelKey, now: Moment) -> Vec<HeadLoad> {
        let is_closed = |it: &&BackendServer| {
            it.service == key.service
                && it.serves(&key.model)
                && self.is_usable(it, now)
                && !self.has_room(it, now)
                && self.suspects(now).all(|(suspect, _)| *suspect != it.vm)
        };
        let load = |it: &BackendServer| {
            let load = self.loads.load(&it.vm, now);
            let slowdown = self.slowdowns.get(&it.vm).copied().unwrap_or(1.0);
            let (in_flight, waiting) = (load.in_flight, load.waiting);
            HeadLoad { vm: it.vm.clone(), zone: it.zone.clone(), in_flight, waiting, slowdown }
        };
        self.servers.values().filter(is_closed).map(load).collect()
    }
}

fn class(call: &Call, times: &GroupTimes, rules: CompetitionRules) -> StreamClass {
    let timing = match rules.ranks_late {
        true => Timing::new(
            call.waited_before,
            call.record.age(),
            times.first_event_min(call.caller_head.prompt_tokens),
            call.route.target_latency,
        ),
        false => Timing::InTime,
    };
    StreamClass { timing, priority: if rules.has_priorities { call.priority() } else { 0 } }
}

fn return_after(call: &Call, competition: &ModelCompetition) -> Duration {
    let limit = call.time_left() / RETRY_AFTER_DIVISOR;
    competition.expected_returns().return_after(limit, fastrand::f64())
}

/// Logs that a model's groups have become short of capacity, or no longer are.
fn log_change(model: &ModelKey, competition: &ModelCompetition, now: Moment) {
    let (ratios, inputs) = (competition.ratios(), competition.inputs());
    log::info!(
        model:% = model.model, service:% = model.service,
        demand_per_s = ratios.demand_per_s, capacity_per_s = ratios.capacity_per_s,
        in_flight = inputs.in_flight, slots = inputs.slots,
        first_event_error = competition.first_event_error(now),
        source = inputs.source.name(), counts_age_ms = now.since(inputs.received_at).as_millis() as u64;
        "{}", if ratios.is_short { "capacity short" } else { "capacity sufficient" }
    );
}

/// Logs why a stream is refused in favour of others.
fn log_refusal(
    call: &Call,
    stream: &NewStream<'_>,
    competition: &ModelCompetition,
    (refusal, draw, return_after): (StartRefusal, f64, Duration),
    left_out: u64,
) {
    let (ratios, inputs) = (competition.ratios(), competition.inputs());
    let counts_age = call.state.now().since(inputs.received_at);
    log::info!(
        request = call.record.id.as_deref().unwrap_or_default(),
        customer = stream.customer.map(CustomerId::as_str).unwrap_or_default(),
        identity = call.record.identity.as_ref().map_or(Value::null(), Value::from_display),
        priority = stream.class.priority, timing = stream.class.timing.name(),
        reason = refusal.name(), ratio = ratios.ratio(stream.class, stream.customer), draw,
        demand_per_s = ratios.demand_per_s, capacity_per_s = ratios.capacity_per_s,
        in_flight = inputs.in_flight, slots = inputs.slots,
        source = inputs.source.name(), counts_age_ms = counts_age.as_millis() as u64,
        waited_ms = (call.waited_before + call.record.age()).as_millis() as u64,
        retry_after_ms = return_after.as_millis() as u64, left_out;
        "stream not admitted"
    );
}
