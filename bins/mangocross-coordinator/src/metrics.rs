//! The coordinator's metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_coordination::Completeness;
use mangocross_coordination::HeldAssignment;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::stuck_groups;
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

/// Bounds of the time of a call to the store, in seconds.
const STORE_CALL_BOUNDS_S: [f64; 8] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.2, 0.5, 2.0];
/// Bounds of the time of a probe, in seconds.
const PROBE_BOUNDS_S: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.4, 0.8];
/// States of a group in the gauge of groups.
const GROUP_STATES: [&str; 6] =
    ["complete", "incomplete", "loading", "draining", "unloading", "unplaced"];

/// The coordinator's metrics.
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
    /// Creates the instruments; totals go to the log each interval.
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

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        self.metrics.text()
    }

    /// Counts a probe; `time` is given if it was answered.
    pub(crate) fn probed(&self, result: &'static str, time: Option<Duration>) {
        self.probes.add(1, &[KeyValue::new("result", result)]);
        if let Some(time) = time {
            self.probe_time.record(time.as_secs_f64(), &[]);
        }
    }

    /// Counts an order by what came of it.
    pub(crate) fn ordered(&self, kind: &str, result: &'static str) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.orders.add(1, &[kind, KeyValue::new("result", result)]);
    }

    /// Counts a call of the store.
    pub(crate) fn store_called(&self, kind: &'static str, outcome: &'static str, time: Duration) {
        let attributes = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &attributes);
        self.store_call_time.record(time.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts what an assignment that was written changed.
    pub(crate) fn assignment_written(&self, before: &DomainAssignment, next: &DomainAssignment) {
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

    /// Counts a line of an operator; the code is zero if it was carried out.
    pub(crate) fn operator_told(&self, code: u16) {
        self.operator_requests.add(1, &[KeyValue::new("code", i64::from(code))]);
    }
}

/// Adds what is read from the state whenever metrics are collected.
pub(crate) fn observe(state: &Arc<CoordinatorState>, responder: PollResponder, poller: Poller) {
    let metrics = &state.metrics.metrics;
    let gauge =
        |name: &'static str, text: &'static str, read: fn(&CoordinatorState) -> Vec<Sample>| {
            let state = Arc::downgrade(state);
            metrics.observable_gauge(name, text, move || {
                state.upgrade().map(|it| read(&it)).unwrap_or_default()
            });
        };
    gauge("domains_owned", "Fabric domains owned in the store by this process", |it| {
        vec![Sample::new(owned(it).count() as u64)]
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
        vec![Sample::new(it.node.in_force().0)]
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

fn dropped_frames(responder: &PollResponder, poller: &Poller) -> Vec<Sample> {
    let dropped = |of: &'static str, count: &dyn Fn(DropReason) -> u64| {
        let sample = |it: DropReason| Sample::new(count(it)).label("of", of);
        DropReason::ALL.map(|it| sample(it).label("reason", it.as_str()))
    };
    let polls = dropped("poll", &|it| responder.dropped_for(it));
    let replies = dropped("reply", &|it| poller.dropped_for(it));
    polls.into_iter().chain(replies).collect()
}

/// Returns the views of the domains that this process owns in the store.
fn owned(state: &CoordinatorState) -> impl Iterator<Item = DomainView<'_>> {
    let is_own = |it: &&HeldAssignment| it.is_owned_by(&state.settings.vm, state.process_id);
    let assignments = lock(&state.assignments);
    let own = assignments.values().filter(is_own);
    let domains: Vec<FabricDomain> = own.map(|it| it.assignment.domain.clone()).collect();
    drop(assignments);
    domains.into_iter().filter_map(|it| DomainView::take(state, &it))
}

fn groups_by_state(state: &CoordinatorState) -> Vec<Sample> {
    let mut counts: BTreeMap<&'static str, u64> = GROUP_STATES.map(|it| (it, 0)).into();
    for view in owned(state) {
        for name in group_states(&view) {
            *counts.entry(name).or_default() += 1;
        }
    }
    counts.into_iter().map(|(name, count)| Sample::new(count).label("state", name)).collect()
}

/// Returns the state of each group that is in a domain or belongs there.
fn group_states(view: &DomainView<'_>) -> Vec<&'static str> {
    let input = view.input(OrderAuthority::None);
    let placed = &view.held.assignment.groups;
    let of_placed = placed.iter().map(|group| match group.phase {
        GroupPhase::Loading => "loading",
        GroupPhase::Draining => "draining",
        GroupPhase::Unloading => "unloading",
        GroupPhase::Serving => match input.check(group) {
            Completeness::Complete { .. } => "complete",
            Completeness::Incomplete(_) => "incomplete",
        },
    });
    let stuck = stuck_groups(&input);
    let unplaced = stuck.iter().filter(|id| !placed.iter().any(|it| it.group == **id));
    of_placed.chain(unplaced.map(|_| "unplaced")).collect()
}
