//! The coordinator's metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::Completeness;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::incomplete_groups;
use mangocross_http::ByteBudget;
use mangocross_telemetry::Metrics;
use mangocross_telemetry::Sample;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::GroupPhase;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use peer_entry::DropReason;
use peer_entry::PollResponder;
use peer_entry::Poller;

use crate::domain_view::DomainView;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Histogram buckets of the time of a store call, in seconds.
const STORE_CALL_BOUNDS_S: [f64; 8] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.2, 0.5, 2.0];
/// Histogram buckets of the time of a probe, in seconds.
const PROBE_BOUNDS_S: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.4, 0.8];
/// Values of the state label of the `groups` gauge.
const GROUP_STATES: [&str; 6] =
    ["complete", "incomplete", "loading", "draining", "unloading", "unplaced"];

#[derive(Debug)]
pub(crate) struct CoordinatorMetrics {
    metrics: Metrics,
    probes: Counter<u64>,
    probe_time: Histogram<f64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    store_call_time: Histogram<f64>,
    takeovers: Counter<u64>,
    groups_formed: Counter<u64>,
    operator_requests: Counter<u64>,
}

impl CoordinatorMetrics {
    /// Creates the instruments; totals are logged once per interval.
    pub(crate) fn open(interval: Duration) -> Self {
        let metrics = Metrics::start(interval);
        Self {
            probes: metrics.counter("probes", "Probes of engines, by result"),
            probe_time: metrics.seconds_histogram(
                "probe_seconds",
                "Time until an engine answered a probe",
                &PROBE_BOUNDS_S,
            ),
            orders: metrics.counter("orders", "Orders to engines, by kind and result"),
            store_calls: metrics.counter("store_calls", "Calls of the store, by kind and outcome"),
            store_call_time: metrics.seconds_histogram(
                "store_call_seconds",
                "Time of a call of the store",
                &STORE_CALL_BOUNDS_S,
            ),
            takeovers: metrics.counter("takeovers", "Fabric domains taken over"),
            groups_formed: metrics
                .counter("groups_formed", "Incarnations of groups that were written, by cause"),
            operator_requests: metrics
                .counter("operator_requests", "Lines of operators, by what they were told"),
            metrics,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.metrics.text()
    }

    /// Counts a probe; `time` is given if it was answered.
    pub(crate) fn record_probe(&self, result: &'static str, time: Option<Duration>) {
        self.probes.add(1, &[KeyValue::new("result", result)]);
        if let Some(time) = time {
            self.probe_time.record(time.as_secs_f64(), &[]);
        }
    }

    /// Counts an order by kind and result.
    pub(crate) fn record_order(&self, kind: &str, result: &'static str) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.orders.add(1, &[kind, KeyValue::new("result", result)]);
    }

    /// Counts a store call and records its time.
    pub(crate) fn record_store_call(
        &self,
        kind: &'static str,
        outcome: &'static str,
        time: Duration,
    ) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &attributes);
        self.store_call_time.record(time.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts a raised fencing number and the new incarnations in an assignment that was written.
    pub(crate) fn record_assignment_write(
        &self,
        before: &DomainAssignment,
        next: &DomainAssignment,
    ) {
        if next.fencing_number > before.fencing_number {
            self.takeovers.add(1, &[]);
        }
        let formed = next.groups.iter().filter(|it| it.incarnation >= before.next_incarnation);
        for group in formed {
            let was_there = before.groups.iter().any(|it| it.group == group.group);
            let cause = if was_there { "repair" } else { "new" };
            self.groups_formed.add(1, &[KeyValue::new("cause", cause)]);
        }
    }

    /// Counts an operator's request by result code; zero stands for success.
    pub(crate) fn record_operator_request(&self, code: u16) {
        self.operator_requests.add(1, &[KeyValue::new("code", i64::from(code))]);
    }
}

/// Registers the metrics that are read from the state at collection.
pub(crate) fn register(state: &Arc<CoordinatorState>, responder: PollResponder, poller: Poller) {
    let metrics = &state.metrics.metrics;
    let gauge =
        |name: &'static str, text: &'static str, read: fn(&CoordinatorState) -> Vec<Sample>| {
            let state = Arc::downgrade(state);
            metrics.observable_gauge(name, text, move || {
                state.upgrade().map(|it| read(&it)).unwrap_or_default()
            });
        };
    gauge("domains_owned", "Fabric domains owned in the store by this process", |it| {
        vec![Sample::new(owned_domain_views(it).count() as u64)]
    });
    gauge("groups", "Groups of the owned fabric domains, by state", groups_by_state);
    gauge("leaving_vms", "VMs that the platform or they themselves say are leaving", |it| {
        let now = it.clock.now();
        vec![Sample::new(lock(&it.leaving).leaving(now).count() as u64)]
    });
    gauge("live_coordinators", "Coordinators that answer polls, this one included", |it| {
        vec![Sample::new(it.live_coordinators().len() as u64)]
    });
    gauge("configuration_revision", "Revision in force here", |it| {
        vec![Sample::new(it.node.in_force_revision().0)]
    });
    gauge("configuration_revision_known", "Newest revision heard of", |it| {
        vec![Sample::new(it.node.newest_known().0)]
    });
    gauge("established", "Whether this coordinator vouches for the configuration", |it| {
        vec![Sample::new(it.node.freshness_lease(it.clock.now()).established.into())]
    });
    let text = "Polls and replies of other entry VMs that were dropped, by reason";
    metrics.observable_counter("frames_dropped", text, move || dropped_frames(&responder, &poller));
}

/// Registers the metrics of the budget of bytes that are buffered for operators.
pub(crate) fn register_budget(state: &CoordinatorState, budget: &ByteBudget) {
    let metrics = &state.metrics.metrics;
    let held = budget.clone();
    metrics.observable_gauge("held_bytes", "Bytes charged to operators", move || {
        vec![Sample::new(held.used() as u64)]
    });
    let budget = budget.clone();
    metrics.observable_counter(
        "closed_connections",
        "Connections closed by this process, by exceeded limit",
        move || vec![Sample::new(budget.closed()).label("reason", "memory")],
    );
}

fn dropped_frames(responder: &PollResponder, poller: &Poller) -> Vec<Sample> {
    let dropped = |of: &'static str, count: &dyn Fn(DropReason) -> u64| {
        let sample = |it: DropReason| Sample::new(count(it)).label("of", of);
        DropReason::ALL.map(|it| sample(it).label("reason", it.as_str()))
    };
    let polls = dropped("poll", &|it| responder.dropped_for(it));
    let replies = dropped("reply", &|it| poller.dropped_for(it));
    polls.into_iter().chain(replies).collect()
}

/// Returns the views of the domains whose recorded owner is this process.
fn owned_domain_views(state: &CoordinatorState) -> impl Iterator<Item = DomainView<'_>> {
    let is_own = |it: &&AssignmentCopy| it.is_owned_by(&state.settings.vm, state.process_id);
    let assignments = lock(&state.assignments);
    let own = assignments.values().filter(is_own);
    let domains: Vec<FabricDomain> = own.map(|it| it.assignment.domain.clone()).collect();
    drop(assignments);
    domains.into_iter().filter_map(|it| DomainView::snapshot(state, &it))
}

fn groups_by_state(state: &CoordinatorState) -> Vec<Sample> {
    let mut counts: BTreeMap<&'static str, u64> = GROUP_STATES.map(|it| (it, 0)).into();
    for view in owned_domain_views(state) {
        for name in group_states(&view) {
            *counts.entry(name).or_default() += 1;
        }
    }
    counts.into_iter().map(|(name, count)| Sample::new(count).label("state", name)).collect()
}

/// Returns the state of each group that is assigned to a domain or placed there.
fn group_states(view: &DomainView<'_>) -> Vec<&'static str> {
    let input = view.input(OrderAuthority::None);
    let assigned = &view.held.assignment.groups;
    let of_assigned = assigned.iter().map(|group| match group.phase {
        GroupPhase::Loading => "loading",
        GroupPhase::Draining => "draining",
        GroupPhase::Unloading => "unloading",
        GroupPhase::Serving => match input.completeness(group) {
            Completeness::Complete { .. } => "complete",
            Completeness::Incomplete(_) => "incomplete",
        },
    });
    let stuck = incomplete_groups(&input);
    let unplaced = stuck.iter().filter(|id| !assigned.iter().any(|it| it.group == **id));
    of_assigned.chain(unplaced.map(|_| "unplaced")).collect()
}
