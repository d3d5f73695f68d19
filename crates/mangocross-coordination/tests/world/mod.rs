//! Coordinators, engines, a gateway and a store of one fabric domain on logical time.
//!
//! Every message takes time, may be lost, and may arrive long after its sender was paused, replaced
//! or restarted.

mod checks;
mod engine;
mod coordinator;
mod coordinator_steps;
mod engine_events;
mod store;

use std::collections::HashMap;
use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use coordinator::Coordinator;
use coordinator::ReadPurpose;
use engine::Engine;
use mangocross_coordination::HealthLeaseTable;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::FenceMode;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::OrderKind;
use mangocross_types::Placements;
use mangocross_types::Revision;
use mangocross_types::VmId;

pub(crate) const DOMAIN: &str = "domain-1";
pub(crate) const PROBE_TTL: Duration = Duration::from_millis(2_000);
pub(crate) const STALL_LIMIT: Duration = Duration::from_secs(60);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const LOST_AFTER: Duration = Duration::from_millis(3_000);
const ORDER_LIFETIME: Duration = Duration::from_millis(2_000);
const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);
const STEP: Duration = Duration::from_millis(50);
const FAULT_PHASE: Duration = Duration::from_secs(60);
const RECOVERY_PHASE: Duration = Duration::from_secs(90);
const ENGINES: usize = 7;
const COORDINATORS: usize = 3;

pub(crate) fn id<T: FromStr>(text: &str) -> T
where
    T::Err: Debug,
{
    text.parse().expect("a valid id")
}

/// An order in transit.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) fencing_number: FencingNumber,
    pub(crate) kind: OrderKind,
    deadline: Instant,
    idle_only: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Tick { coordinator: usize },
    ProbeAtEngine { to: Process, engine: usize, sent_at: Instant },
    ProbeAnswer { to: Process, engine: usize, sent_at: Instant, report: Option<BackendReport> },
    OrderAtEngine { engine: usize, order: Order },
    ReadAtStore { to: Process, purpose: ReadPurpose, sent_at: Instant },
    ReadAnswer { to: Process, purpose: ReadPurpose, sent_at: Instant, read: Option<StoreValue> },
    WriteAtStore { to: Process, sent_at: Instant, next: DomainAssignment, expected: Revision },
    WriteAnswer { to: Process, sent_at: Instant, read: StoreValue },
    PollAnswer { to: Process, sent_at: Instant },
    Request { engine: usize, group: GroupId, incarnation: Incarnation },
    Finished { engine: usize, membership: u64 },
    Loaded { engine: usize, membership: u64, version: String },
    Preloaded { engine: usize, membership: u64, version: String },
    Configured { coordinator: usize },
}

/// One run of a coordinator's process; a message to an earlier run is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    coordinator: usize,
    process_id: u64,
}

#[derive(Debug, Clone)]
struct StoreValue {
    assignment: Option<DomainAssignment>,
    revision: Revision,
}

/// Which faults a history has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Engines freeze and restart.
    pub(crate) engines: bool,
    /// Whether engines check fencing numbers.
    pub(crate) fence_mode: FenceMode,
}

/// State of one history.
pub(crate) struct World {
    seed: u64,
    random: fastrand::Rng,
    faults: Faults,
    start: Instant,
    now: Instant,
    faults_ended: bool,
    events: Vec<(Instant, Event)>,
    store: StoreValue,
    store_down_until: Option<Instant>,
    coordinators: Vec<Coordinator>,
    engines: Vec<Engine>,
    configuration: (u64, Configuration),
    placements: Placements,
    gateway: HealthLeaseTable,
    members_of: HashMap<Incarnation, Vec<VmId>>,
    /// Whether an engine executed an order of an unconfirmed owner, which may abort a request.
    idle_only_executed: bool,
    pub(crate) requests: u64,
    pub(crate) takeovers: u64,
    pub(crate) preloads: u64,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let configuration = (1, configuration(faults.fence_mode));
        let mut world = Self {
            seed,
            random: fastrand::Rng::with_seed(seed),
            faults,
            start,
            now: start,
            faults_ended: false,
            events: Vec::new(),
            store: StoreValue { assignment: None, revision: Revision(0) },
            store_down_until: None,
            coordinators: (0..COORDINATORS)
                .map(|it| Coordinator::new(it, configuration.clone()))
                .collect(),
            engines: (0..ENGINES).map(|it| Engine::new(id(&format!("vm-{it}")))).collect(),
            placements: placements(),
            configuration,
            gateway: HealthLeaseTable::default(),
            members_of: HashMap::new(),
            idle_only_executed: false,
            requests: 0,
            takeovers: 0,
            preloads: 0,
        };
        for coordinator in 0..COORDINATORS {
            world.schedule(Duration::ZERO, Event::Tick { coordinator });
        }
        world
    }

    /// Runs the history: a minute with faults and 90 seconds without, after which every wanted
    /// group must serve.
    pub(crate) fn run(&mut self) {
        while self.now < self.start + FAULT_PHASE {
            self.step();
            self.inject_faults();
        }
        self.heal();
        while self.now < self.start + FAULT_PHASE + RECOVERY_PHASE {
            self.step();
        }
        self.check_recovered();
    }

    fn step(&mut self) {
        self.now += STEP;
        let (now, mut due) = (self.now, Vec::new());
        self.events.retain(|it| {
            let later = it.0 > now;
            if !later {
                due.push(it.clone());
            }
            later
        });
        due.sort_by_key(|it| it.0);
        for (_, event) in due {
            self.process_event(event);
        }
        self.send_traffic();
        self.check_health_leases();
    }

    /// Sends probes, polls and requests.
    fn send_traffic(&mut self) {
        for coordinator in 0..COORDINATORS {
            let is_due = match self.faults_ended {
                true => {
                    (self.now - self.start).as_millis().is_multiple_of(PROBE_INTERVAL.as_millis())
                }
                false => self.random.u32(..10) == 0,
            };
            if is_due && self.is_awake(coordinator) {
                for engine in 0..ENGINES {
                    let (to, sent_at) = (self.process(coordinator), self.now);
                    let delay = self.delay();
                    self.schedule(delay, Event::ProbeAtEngine { to, engine, sent_at });
                }
            }
            if self.random.u32(..6) == 0 {
                let (to, sent_at, delay) = (self.process(coordinator), self.now, self.delay());
                self.schedule(delay, Event::PollAnswer { to, sent_at });
            }
        }
        let mut groups: Vec<(GroupId, Incarnation)> = self
            .gateway
            .valid(self.now)
            .filter(|it| it.accepts_new)
            .map(|it| (it.group.clone(), it.incarnation))
            .collect();
        groups.sort();
        for (group, incarnation) in groups {
            let first = self.members_of[&incarnation][0].clone();
            let engine = self.engine(&first);
            if self.random.u32(..4) == 0 {
                let delay = self.delay();
                self.schedule(delay, Event::Request { engine, group, incarnation });
            }
        }
    }

    fn inject_faults(&mut self) {
        let chance = |random: &mut fastrand::Rng, one_in: u32| random.u32(..one_in) == 0;
        let coordinator = self.random.usize(..COORDINATORS);
        let engine = self.random.usize(..ENGINES);
        if chance(&mut self.random, 60) {
            let pause = self.random_duration(100, 15_000);
            self.coordinators[coordinator].paused_until = Some(self.now + pause);
        }
        if chance(&mut self.random, 40) {
            self.coordinators[coordinator].is_preferred = self.random.bool();
        }
        if chance(&mut self.random, 400) {
            self.coordinators[coordinator].restart();
        }
        if chance(&mut self.random, 300) {
            self.store_down_until = Some(self.now + self.random_duration(500, 20_000));
        }
        if chance(&mut self.random, 100) {
            self.change_configuration();
        }
        if chance(&mut self.random, 500) && self.engines.iter().filter(|it| it.leaving).count() < 2
        {
            self.engines[engine].leaving = true;
        }
        if self.faults.engines && chance(&mut self.random, 200) {
            self.engines[engine].has_failed = true;
            self.engines[engine].frozen_until = Some(self.now + self.random_duration(500, 20_000));
        }
        if self.faults.engines && chance(&mut self.random, 300) {
            self.engines[engine].restart(self.now);
        }
    }

    fn heal(&mut self) {
        self.faults_ended = true;
        self.store_down_until = None;
        for (number, coordinator) in self.coordinators.iter_mut().enumerate() {
            coordinator.paused_until = None;
            coordinator.is_preferred = number == 0;
        }
        self.engines.iter_mut().for_each(|it| it.frozen_until = None);
        self.configuration.0 += 1;
        self.configuration.1.groups.iter_mut().for_each(|it| it.desired = DesiredState::Serving);
        self.distribute_configuration();
    }

    fn change_configuration(&mut self) {
        let group = self.random.usize(..self.configuration.1.groups.len());
        let states = [DesiredState::Serving, DesiredState::Drained, DesiredState::Stopped];
        let desired = states[self.random.usize(..states.len())];
        self.configuration.0 += 1;
        self.configuration.1.groups[group].desired = desired;
        self.distribute_configuration();
    }

    fn distribute_configuration(&mut self) {
        for coordinator in 0..COORDINATORS {
            let delay = self.delay();
            self.schedule(delay, Event::Configured { coordinator });
        }
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick { coordinator } => self.run_coordinator(coordinator),
            Event::ProbeAtEngine { to, engine, sent_at } => {
                let lag = self.random_duration(0, 4_000);
                let answers =
                    self.is_answering(engine) && (self.faults_ended || self.random.u32(..50) > 0);
                let report = answers.then(|| self.engines[engine].report(self.now, lag));
                let delay = if answers { self.delay() } else { Duration::from_millis(800) };
                self.schedule(delay, Event::ProbeAnswer { to, engine, sent_at, report });
            }
            Event::OrderAtEngine { engine, order } => self.handle_order(engine, &order),
            Event::ReadAtStore { to, purpose, sent_at } => {
                let read = self.store_is_up().then(|| self.store.clone());
                let delay = self.delay();
                self.schedule(delay, Event::ReadAnswer { to, purpose, sent_at, read });
            }
            Event::WriteAtStore { to, sent_at, next, expected } => {
                if self.store_is_up() {
                    self.write(next, expected);
                    let (read, delay) = (self.store.clone(), self.delay());
                    if self.random.u32(..10) > 0 {
                        self.schedule(delay, Event::WriteAnswer { to, sent_at, read });
                    }
                }
            }
            Event::Request { engine, group, incarnation } => {
                self.receive_request(engine, &group, incarnation)
            }
            Event::Finished { engine, membership } => {
                if self.engines[engine].membership == membership {
                    self.engines[engine].change_running(-1, self.now);
                }
            }
            Event::Loaded { engine, membership, version } => {
                if self.engines[engine].membership == membership {
                    self.engines[engine].become_ready(id(&version), self.now);
                }
            }
            Event::Preloaded { engine, membership, version } => {
                if self.engines[engine].membership == membership {
                    self.engines[engine].finish_preload(id(&version));
                }
            }
            Event::Configured { coordinator } => {
                self.coordinators[coordinator].configuration = self.configuration.clone();
            }
            Event::ProbeAnswer { to, .. }
            | Event::ReadAnswer { to, .. }
            | Event::WriteAnswer { to, .. }
            | Event::PollAnswer { to, .. } => self.deliver(to, event),
        }
    }

    /// Delivers a message to a coordinator: later if it is paused, never if it has restarted.
    fn deliver(&mut self, to: Process, event: Event) {
        if self.process(to.coordinator) != to {
            return;
        }
        if !self.is_awake(to.coordinator) {
            return self.schedule(STEP, event);
        }
        let now = self.now;
        match event {
            Event::ProbeAnswer { engine, sent_at, report, .. } => {
                let vm = self.engines[engine].report.vm.clone();
                let probes = &mut self.coordinators[to.coordinator].probes;
                match report {
                    Some(report) => probes.record_answer(&vm, sent_at, now, report),
                    None => probes.record_failure(&vm, sent_at, "no answer".into()),
                }
            }
            Event::ReadAnswer { purpose, sent_at, read, .. } => {
                self.handle_read_answer(to, purpose, sent_at, read);
            }
            Event::WriteAnswer { sent_at, read, .. } => {
                self.coordinators[to.coordinator].busy_until = None;
                self.update_copy(to.coordinator, &read, sent_at);
            }
            Event::PollAnswer { sent_at, .. } => {
                for health_lease in self.coordinators[to.coordinator].health_leases(now) {
                    self.gateway.record(&health_lease, sent_at);
                }
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.push((self.now + delay, event));
    }

    fn random_duration(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        Duration::from_millis(self.random.u64(low_ms..=high_ms))
    }

    fn delay(&mut self) -> Duration {
        self.random_duration(0, if self.faults_ended { 50 } else { 400 })
    }

    /// Returns the delay of a message whose sender may be paused just before sending it.
    fn late_delay(&mut self) -> Duration {
        match self.faults_ended || self.random.u32(..5) > 0 {
            true => self.delay(),
            false => self.random_duration(0, 8_000),
        }
    }

    fn process(&self, coordinator: usize) -> Process {
        Process { coordinator, process_id: self.coordinators[coordinator].process_id }
    }

    fn is_awake(&self, coordinator: usize) -> bool {
        self.coordinators[coordinator].paused_until.is_none_or(|it| self.now >= it)
    }

    fn is_answering(&self, engine: usize) -> bool {
        self.engines[engine].frozen_until.is_none_or(|it| self.now >= it)
    }

    fn store_is_up(&self) -> bool {
        self.store_down_until.is_none_or(|it| self.now >= it)
    }

    fn engine(&self, vm: &VmId) -> usize {
        self.engines.iter().position(|it| it.report.vm == *vm).expect("a known VM")
    }
}

fn configuration(fence_mode: FenceMode) -> Configuration {
    let group = |number: u32| {
        serde_json::json!({"id": format!("group-{number}"), "model": "letters",
            "model_version": "v1", "size": 2, "desired": "serving"})
    };
    let groups = [group(1), group(2)];
    let value = serde_json::json!({"groups": groups, "fence_mode": fence_mode});
    serde_json::from_value(value).expect("a configuration")
}

fn placements() -> Placements {
    let entry = |group: &str| serde_json::json!({"group": group, "domain": DOMAIN});
    let value = serde_json::json!({"entries": [entry("group-1"), entry("group-2")]});
    serde_json::from_value(value).expect("placements")
}
