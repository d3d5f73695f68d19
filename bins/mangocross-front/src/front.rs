//! What the tasks of the process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mangocross_platform::EntryVm;
use mangocross_platform::SettingsBounds;
use mangocross_serving::BackendServer;
use mangocross_serving::BootClock;
use mangocross_serving::FailureTable;
use mangocross_serving::FirstAttempts;
use mangocross_serving::FreshnessProof;
use mangocross_serving::HeadLoad;
use mangocross_serving::LoadTable;
use mangocross_serving::MemberPhase;
use mangocross_serving::Moment;
use mangocross_serving::ProgressTable;
use mangocross_serving::RetryLedger;
use mangocross_serving::TrafficConfiguration;
use mangocross_types::ModelId;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use tokio::sync::Notify;

use crate::clock::SystemBootClock;
use crate::leases::PlannerTerm;
use crate::log_rate::LogRate;
use crate::metrics::FrontMetrics;
use crate::peers::PEERS_SMALL_MAX;
use crate::pool::Pool;
use crate::store::StoreClient;

/// Time for which a server that could not be connected to gets no requests.
pub(crate) const UNREACHABLE_PAUSE: Duration = Duration::from_millis(600);
/// Time for which a head that did not run a request gets no others; its entry follows.
pub(crate) const NOT_RUN_PAUSE: Duration = Duration::from_millis(250);
/// Time after SIGTERM for which streams are taken; longer ones end within the rest of the grace.
const STREAMS_TAKEN: Duration = Duration::from_millis(2800);
/// Time for which the other entry VMs are told of a suspect.
const FOUND_SUSPECT_TOLD: Duration = Duration::from_millis(400);
/// Time for which a suspect group gets no new streams.
const SUSPECT_PAUSE: Duration = Duration::from_millis(700);
/// Part of the revocation bound after which this VM asks for no new callers.
const READY_PART: f64 = 0.7;

/// A key of this system in the store.
#[derive(Debug, Clone)]
pub(crate) struct OwnKey {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: Revision,
}

/// What this process believes.
#[derive(Debug, Default)]
pub(crate) struct Beliefs {
    pub(crate) configuration: Option<Arc<TrafficConfiguration>>,
    pub(crate) freshness: FreshnessProof,
    pub(crate) servers: BTreeMap<VmId, BackendServer>,
    /// Revisions of the servers' entries or of their removal.
    pub(crate) server_revisions: HashMap<VmId, Revision>,
    /// Servers whose entries were missing when the store came back.
    pub(crate) missing_since: HashMap<VmId, Moment>,
    pub(crate) own_keys: BTreeMap<Arc<str>, OwnKey>,
    pub(crate) peers: HashMap<Arc<str>, SocketAddr>,
    pub(crate) loads: LoadTable,
    pub(crate) progress: ProgressTable,
    pub(crate) failures: FailureTable,
    pub(crate) retries: HashMap<ServiceId, RetryLedger>,
    pub(crate) first_attempts: FirstAttempts,
    pub(crate) paces: HashMap<VmId, f64>,
    suspects: HashMap<VmId, Moment>,
    /// Suspects that this VM found by itself.
    found: HashMap<VmId, Moment>,
    /// Entries of servers that the other entry VMs are to be sent.
    pub(crate) relayed: Vec<(Revision, BackendServer)>,
    /// Heads whose groups the planner is to ask, since connections to them failed.
    to_recheck: HashMap<VmId, Moment>,
    /// Servers that get no requests, and until when.
    avoided: HashMap<VmId, Moment>,
}

/// The process's state and clients.
#[derive(Debug)]
pub(crate) struct Front {
    pub(crate) vm: EntryVm,
    pub(crate) clock: SystemBootClock,
    pub(crate) pool: Pool,
    pub(crate) store: StoreClient,
    pub(crate) beliefs: RefCell<Beliefs>,
    pub(crate) metrics: FrontMetrics,
    pub(crate) log_rate: LogRate,
    /// Wakes streams when a group becomes suspect.
    pub(crate) suspected: Notify,
    /// Wakes the planner when something that it decides on has changed.
    pub(crate) changed: Notify,
    /// Wakes the task that tells the other entry VMs.
    pub(crate) news: Notify,
    /// Wakes the lease's task when nobody plans.
    pub(crate) planner_vacant: Notify,
    pub(crate) planner_term: Cell<Option<PlannerTerm>>,
    pub(crate) has_traffic: Cell<bool>,
    /// Whether the last attempt to follow the store failed.
    pub(crate) is_store_lost: Cell<bool>,
    /// Whether the servers and plans known here are those of the store, but for the last changes.
    ///
    /// Until then nothing is planned: the plans may be newer than what is known of the servers, so
    /// that a group that serves would be taken for one that has ended.
    pub(crate) is_caught_up: Cell<bool>,
    /// When SIGTERM came.
    pub(crate) stopping_since: Cell<Option<Moment>>,
    pub(crate) requests_in_progress: Cell<usize>,
    promises: Cell<SettingsBounds>,
}

impl Front {
    pub(crate) fn new(vm: EntryVm) -> Self {
        let metrics = FrontMetrics::open();
        Self {
            promises: Cell::new(vm.bounds),
            clock: SystemBootClock,
            pool: Pool::default(),
            store: StoreClient::new(vm.store, metrics.store_calls()),
            beliefs: RefCell::default(),
            metrics,
            log_rate: LogRate::default(),
            suspected: Notify::new(),
            changed: Notify::new(),
            news: Notify::new(),
            planner_vacant: Notify::new(),
            planner_term: Cell::new(None),
            has_traffic: Cell::new(false),
            is_store_lost: Cell::new(false),
            is_caught_up: Cell::new(false),
            stopping_since: Cell::new(None),
            requests_in_progress: Cell::new(0),
            vm,
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(crate) fn promises(&self) -> SettingsBounds {
        self.promises.get()
    }

    pub(crate) fn set_promises(&self, promises: SettingsBounds) {
        self.promises.set(promises);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<TrafficConfiguration>> {
        self.beliefs.borrow().configuration.clone()
    }

    /// Returns whether keys may be trusted in a request received at a moment.
    pub(crate) fn is_fresh(&self, received_at: Moment) -> bool {
        match self.promises().revoke_within {
            Some(bound) => self.beliefs.borrow().freshness.covers(received_at, bound),
            None => true,
        }
    }

    /// Returns whether this VM plans: whether its planner's lease holds for certain.
    pub(crate) fn is_planner(&self) -> bool {
        self.planner_term.get().is_some_and(|it| it.holds(self.now()))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether a stream that begins now may outlast the grace after SIGTERM.
    pub(crate) fn is_too_late_for_streams(&self) -> bool {
        let since = self.stopping_since.get().map(|it| self.now().since(it));
        since.is_some_and(|it| it > STREAMS_TAKEN)
    }

    /// Returns why this VM asks for no new callers, if it does not.
    pub(crate) fn not_ready(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("stopping");
        }
        let beliefs = self.beliefs.borrow();
        if beliefs.configuration.is_none() {
            return Some("no configuration");
        }
        if beliefs.servers.is_empty() {
            return Some("no backend servers");
        }
        let age = beliefs.freshness.age(self.now()).unwrap_or(Duration::MAX);
        let bound = self.promises().revoke_within?.mul_f64(READY_PART);
        (age > bound).then_some("the configuration is not proved fresh")
    }

    /// Takes one repeat out of this VM's share of a service's budget.
    pub(crate) fn try_repeat(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let bounds = self.promises().retries;
        let mut beliefs = self.beliefs.borrow_mut();
        let entry_vms = beliefs.entry_vm_count();
        let ledger = beliefs.retries.entry(service.clone()).or_default();
        ledger.try_repeat(now, &bounds, entry_vms)
    }

    /// Returns how many repeats this VM may still make at each service.
    pub(crate) fn repeats_left(&self) -> Vec<(ServiceId, f64)> {
        let now = self.now();
        let bounds = self.promises().retries;
        let mut beliefs = self.beliefs.borrow_mut();
        let entry_vms = beliefs.entry_vm_count();
        let ledgers = beliefs.retries.iter_mut();
        ledgers.map(|(service, it)| (service.clone(), it.left(now, &bounds, entry_vms))).collect()
    }

    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        let bounds = self.promises().retries;
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.retries.entry(service.clone()).or_default().requested(now, &bounds);
        self.has_traffic.set(true);
    }

    /// Returns whether counts of other entry VMs come at long intervals only.
    pub(crate) fn has_old_counts(&self) -> bool {
        self.beliefs.borrow().peers.len() > PEERS_SMALL_MAX
    }

    /// Returns the heads that take requests for a model and are not suspect.
    pub(crate) fn heads(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        excluded: &[VmId],
    ) -> Vec<HeadLoad> {
        let now = self.now();
        let beliefs = self.beliefs.borrow();
        let is_open = |it: &&BackendServer| {
            it.service == *service
                && model.is_none_or(|model| it.serves(model))
                && !excluded.contains(&it.vm)
                && !beliefs.is_suspect(&it.vm, now)
                && !beliefs.is_avoided(&it.vm, now)
        };
        let open = beliefs.servers.values().filter(is_open);
        let load = |it: &BackendServer| {
            let load = beliefs.loads.load(&it.vm, now);
            HeadLoad {
                vm: it.vm.clone(),
                in_flight: load.in_flight,
                waiting: load.waiting,
                pace: beliefs.paces.get(&it.vm).copied().unwrap_or(1.0),
            }
        };
        open.map(load).collect()
    }

    /// Marks a head whose streams are stalled.
    pub(crate) fn suspect(&self, head: &VmId) {
        let now = self.now();
        self.beliefs.borrow_mut().suspects.insert(head.clone(), now);
        self.suspected.notify_waiters();
        self.changed.notify_one();
    }

    pub(crate) fn is_suspect(&self, vm: &VmId) -> bool {
        let now = self.now();
        self.beliefs.borrow().is_suspect(vm, now)
    }

    /// Marks a head that this VM itself found silent, and tells the others.
    pub(crate) fn found_suspect(&self, head: &VmId) {
        let now = self.now();
        self.beliefs.borrow_mut().found.insert(head.clone(), now);
        self.suspect(head);
        self.news.notify_one();
    }

    /// Passes a server's entry on to the other entry VMs.
    pub(crate) fn relay(&self, revision: Revision, server: BackendServer) {
        self.beliefs.borrow_mut().relayed.push((revision, server));
        self.news.notify_one();
    }

    /// Has the planner ask the members of a head's group.
    pub(crate) fn recheck(&self, head: &VmId) {
        let now = self.now();
        self.beliefs.borrow_mut().to_recheck.insert(head.clone(), now);
        if self.is_planner() {
            self.changed.notify_one();
        } else {
            self.news.notify_one();
        }
    }

    /// Sends a server no requests for a while.
    pub(crate) fn avoid(&self, vm: &VmId, pause: Duration) {
        let until = self.now() + pause;
        self.beliefs.borrow_mut().avoided.insert(vm.clone(), until);
    }

    /// Counts a request that is sent to a server until the guard is dropped.
    pub(crate) fn sent(self: &Rc<Self>, vm: &VmId, is_stream: bool) -> Sent {
        let now = self.now();
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.loads.started(vm);
        if is_stream {
            beliefs.progress.started(vm, now);
        }
        drop(beliefs);
        let has_begun = Cell::new(false);
        Sent { front: Rc::clone(self), vm: vm.clone(), is_stream, has_begun }
    }
}

impl Beliefs {
    fn entry_vm_count(&self) -> usize {
        self.peers.len().max(self.loads.peer_count() + 1)
    }

    /// Returns how many groups are in each state, as their heads say.
    pub(crate) fn groups_by_phase(&self) -> BTreeMap<&'static str, usize> {
        let phases = [
            MemberPhase::Joining,
            MemberPhase::Ready,
            MemberPhase::Open,
            MemberPhase::Closing,
            MemberPhase::Broken,
        ];
        let mut counts: BTreeMap<_, _> = phases.map(|it| (it.name(), 0)).into();
        let memberships = self.servers.values().filter_map(|it| it.engine.membership.as_ref());
        for head in memberships.filter(|it| it.rank == Rank(0)) {
            *counts.entry(head.phase.name()).or_default() += 1;
        }
        counts
    }

    pub(crate) fn suspects(&self, now: Moment) -> Vec<VmId> {
        let recent = self.suspects.iter().filter(|(_, at)| now.since(**at) < SUSPECT_PAUSE);
        recent.map(|(vm, _)| vm.clone()).collect()
    }

    fn is_suspect(&self, vm: &VmId, now: Moment) -> bool {
        self.suspects.get(vm).is_some_and(|it| now.since(*it) < SUSPECT_PAUSE)
    }

    pub(crate) fn is_avoided(&self, vm: &VmId, now: Moment) -> bool {
        self.avoided.get(vm).is_some_and(|it| now < *it)
    }

    /// Returns the suspects that this VM found and that the others are to be told of.
    pub(crate) fn found_suspects(&self, now: Moment) -> Vec<VmId> {
        let recent = self.found.iter().filter(|(_, at)| now.since(**at) < FOUND_SUSPECT_TOLD);
        recent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the heads that this VM wants rechecked.
    pub(crate) fn to_recheck(&self, now: Moment) -> Vec<VmId> {
        let recent = self.to_recheck.iter().filter(|(_, at)| now.since(**at) < FOUND_SUSPECT_TOLD);
        recent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Forgets what no longer matters.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.loads.expire(now);
        self.progress.expire(now);
        self.suspects.retain(|_, it| now.since(*it) < SUSPECT_PAUSE);
        self.found.retain(|_, it| now.since(*it) < SUSPECT_PAUSE);
        self.to_recheck.retain(|_, it| now.since(*it) < FOUND_SUSPECT_TOLD);
        self.avoided.retain(|_, it| now < *it);
        let Self { failures, servers, paces, .. } = self;
        failures.retain(|vm| servers.contains_key(vm));
        paces.retain(|vm, _| servers.contains_key(vm));
    }
}

/// A request in progress at a server.
#[derive(Debug)]
pub(crate) struct Sent {
    front: Rc<Front>,
    vm: VmId,
    is_stream: bool,
    has_begun: Cell<bool>,
}

impl Sent {
    /// Records bytes of the answer.
    pub(crate) fn progressed(&self) {
        let now = self.front.now();
        let mut beliefs = self.front.beliefs.borrow_mut();
        beliefs.progress.progressed(&self.vm, now);
        if !self.has_begun.replace(true) {
            beliefs.progress.began(&self.vm);
            beliefs.loads.began(&self.vm);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut beliefs = self.front.beliefs.borrow_mut();
        beliefs.loads.ended(&self.vm, self.has_begun.get());
        if self.is_stream {
            beliefs.progress.ended(&self.vm, self.has_begun.get());
        }
    }
}
