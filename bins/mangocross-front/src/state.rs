//! State shared by the tasks of the process.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mangocross_http::ByteBudget;
use mangocross_platform::EntryVmSettings;
use mangocross_platform::SettingsBounds;
use mangocross_serving::BackendServer;
use mangocross_serving::BootClock;
use mangocross_serving::ColdServers;
use mangocross_serving::Competition;
use mangocross_serving::CompleteView;
use mangocross_serving::ConfigurationFreshness;
use mangocross_serving::CrashBlame;
use mangocross_serving::Evacuations;
use mangocross_serving::FailureTable;
use mangocross_serving::HeadLoad;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::LoadTable;
use mangocross_serving::LongestDeadlines;
use mangocross_serving::MissingServers;
use mangocross_serving::Moment;
use mangocross_serving::ProgressTable;
use mangocross_serving::RequestShares;
use mangocross_serving::RetryBudget;
use mangocross_serving::ServerLimits;
use mangocross_serving::ServerNotices;
use mangocross_serving::ServerReach;
use mangocross_serving::StoreView;
use mangocross_serving::TrafficConfiguration;
use mangocross_serving::UnexplainedBreaks;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;
use tokio::sync::Notify;

use crate::clock::SystemBootClock;
use crate::closed_heads::ClosedHeads;
use crate::head_candidates::HeadCandidates;
use crate::held_entries::DepartedServer;
use crate::leases::PlannerTerm;
use crate::log_rate::LogRate;
use crate::metrics::FrontMetrics;
use crate::peers::FULL_MESH_PEERS_MAX;
use crate::pool::Pool;
use crate::relay_state::RelayState;
use crate::store::StoreClient;
use crate::zone_routing::ZoneRouting;

/// Time for which a server gets no requests after a failed connection.
pub(crate) const UNREACHABLE_PAUSE: Duration = Duration::from_millis(600);
/// Time for which a head gets no requests after it refused one; by then its updated entry has
/// usually arrived.
pub(crate) const NOT_RUN_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a suspect or a recheck request is included in updates to other entry VMs.
const PEER_NOTICE_DURATION: Duration = Duration::from_millis(400);
/// Time for which a suspect group gets no new streams.
const SUSPECT_PAUSE: Duration = Duration::from_millis(700);
/// Value and revision of a store key under mangocross/.
#[derive(Debug, Clone)]
pub(crate) struct StoredValue {
    pub(crate) value: Vec<u8>,
    pub(crate) revision: StoreRevision,
}

/// State of the system as known to this process.
#[derive(Debug, Default)]
pub(crate) struct ClusterView {
    pub(crate) configuration: Option<Arc<TrafficConfiguration>>,
    pub(crate) freshness: ConfigurationFreshness,
    pub(crate) servers: BTreeMap<VmId, BackendServer>,
    /// Latest revision that the store or a relay told.
    pub(crate) latest_revision: Option<StoreRevision>,
    /// Revision of each server's entry or of its removal.
    pub(crate) server_revisions: HashMap<VmId, StoreRevision>,
    /// Entries of an older copy of the store that are not used yet.
    pub(crate) held_entries: HashMap<VmId, (StoreRevision, BackendServer)>,
    /// Servers whose entries were removed lately.
    pub(crate) departed: HashMap<VmId, DepartedServer>,
    /// Servers whose entries were missing after a store outage.
    pub(crate) missing: MissingServers,
    /// Values that entry VMs write under mangocross/: plans, the planner's key, addresses.
    pub(crate) entry_vm_keys: BTreeMap<Arc<str>, StoredValue>,
    /// All listed entry VMs, including this one.
    pub(crate) entry_vms: BTreeMap<Arc<str>, ListedEntryVm>,
    /// Entry VMs whose addresses went missing around an outage of the store, and until when they are
    /// listed without.
    pub(crate) missing_entry_vms: HashMap<Arc<str>, Moment>,
    /// When an entry VM was last added to the list or removed from it.
    pub(crate) entry_vms_changed_at: Moment,
    pub(crate) loads: LoadTable,
    pub(crate) progress: ProgressTable,
    pub(crate) failures: FailureTable,
    pub(crate) retries: HashMap<ServiceId, RetryBudget>,
    pub(crate) deadlines: LongestDeadlines,
    /// Slowdown factors of engines that are slower than usual.
    pub(crate) slowdowns: HashMap<VmId, f64>,
    /// Open heads that no longer serve, as the planner last told, and when.
    pub(crate) closed_heads: ClosedHeads,
    /// This VM's subsets of the heads.
    pub(crate) candidates: HeadCandidates,
    /// Demand of the zones, and the shares of requests that leave this one.
    pub(crate) zones: ZoneRouting,
    /// Requests and parts of prompts that crash servers.
    pub(crate) blame: CrashBlame,
    /// Broken answers whose servers may have crashed.
    pub(crate) unexplained_breaks: UnexplainedBreaks,
    /// What servers said of themselves in their answers to this VM.
    pub(crate) notices: ServerNotices,
    /// Limits that servers have named.
    pub(crate) limits: ServerLimits,
    /// Servers that take few requests after their start.
    pub(crate) cold: ColdServers,
    /// Zones whose servers get no requests.
    pub(crate) evacuations: Evacuations,
    /// Requests of the other entry VMs, while servers are limited.
    pub(crate) shares: RequestShares,
    /// Streams of all entry VMs, and which of them are admitted while capacity is short.
    pub(crate) competition: Competition,
    /// Whether this VM and the others reach the servers.
    pub(crate) reach: ServerReach,
    suspects: HashMap<VmId, Moment>,
    /// Suspects that this VM detected itself.
    local_suspects: HashMap<VmId, Moment>,
    /// Server entries that are to be sent to the other entry VMs.
    pub(crate) relay_queue: Vec<(StoreRevision, BackendServer)>,
    /// Heads whose groups the planner is to probe, since connections to them failed.
    to_recheck: HashMap<VmId, Moment>,
    /// Servers that get no requests, and until when.
    avoided: HashMap<VmId, Moment>,
}

/// State and clients of the process.
#[derive(Debug)]
pub(crate) struct AppState {
    pub(crate) vm: EntryVmSettings,
    pub(crate) clock: SystemBootClock,
    pub(crate) pool: Pool,
    pub(crate) store: StoreClient,
    pub(crate) view: RefCell<ClusterView>,
    /// What this VM passes on of the store.
    pub(crate) relay: RelayState,
    pub(crate) metrics: FrontMetrics,
    pub(crate) log_rate: LogRate,
    /// Bytes that are buffered for callers and other entry VMs.
    pub(crate) budget: ByteBudget,
    /// Wakes streams when a group becomes suspect.
    pub(crate) suspect_added: Notify,
    /// Wakes the planner when its input has changed.
    pub(crate) planner_inputs_changed: Notify,
    /// Wakes the task that reports crashes to the other entry VMs.
    pub(crate) blame_changed: Notify,
    /// Quarantined requests and parts as last logged.
    pub(crate) logged_quarantine: RefCell<String>,
    /// Wakes the task that tells the other entry VMs of versions of the configuration.
    pub(crate) configuration_notice_changed: Notify,
    /// Wakes the task that tells the other entry VMs whether this one reaches servers.
    pub(crate) reach_changed: Notify,
    /// Wakes the task that sends updates to the other entry VMs.
    pub(crate) peer_updates: Notify,
    /// Wakes the lease task when there is no planner or the process stops.
    pub(crate) lease_wakeup: Notify,
    pub(crate) planner_term: Cell<Option<PlannerTerm>>,
    /// Whether an entry VM has received a request of a caller.
    pub(crate) has_traffic: Cell<bool>,
    /// Whether the last attempt to follow the store failed.
    pub(crate) is_store_lost: Cell<bool>,
    /// How much of the store's keys is known, and since when that is proven.
    pub(crate) store_view: RefCell<StoreView>,
    /// When SIGTERM was received.
    pub(crate) stopping_since: Cell<Option<Moment>>,
    /// Notified when SIGTERM has come.
    pub(crate) stop_begun: Notify,
    pub(crate) requests_in_progress: Cell<usize>,
    /// Time limits and retry budget from the settings; a reload replaces them.
    bounds: Cell<SettingsBounds>,
}

impl AppState {
    pub(crate) fn new(vm: EntryVmSettings) -> Self {
        let metrics = FrontMetrics::open();
        Self {
            bounds: Cell::new(vm.bounds),
            clock: SystemBootClock,
            pool: Pool::default(),
            store: StoreClient::new(vm.store, metrics.store_call_seconds()),
            view: RefCell::default(),
            relay: RelayState::default(),
            metrics,
            log_rate: LogRate::default(),
            budget: ByteBudget::of_memory(vm.memory_bytes_max),
            suspect_added: Notify::new(),
            planner_inputs_changed: Notify::new(),
            blame_changed: Notify::new(),
            logged_quarantine: RefCell::default(),
            configuration_notice_changed: Notify::new(),
            reach_changed: Notify::new(),
            peer_updates: Notify::new(),
            lease_wakeup: Notify::new(),
            planner_term: Cell::new(None),
            has_traffic: Cell::new(false),
            is_store_lost: Cell::new(false),
            store_view: RefCell::default(),
            stopping_since: Cell::new(None),
            stop_begun: Notify::new(),
            requests_in_progress: Cell::new(0),
            vm,
        }
    }

    /// Returns this VM's entry in the list of entry VMs.
    pub(crate) fn listing(&self) -> ListedEntryVm {
        let EntryVmSettings { ip, peer_port, zone, core_share, link_mbps, .. } = &self.vm;
        let address = SocketAddr::new(*ip, *peer_port);
        ListedEntryVm::new(address, zone.clone(), *core_share, *link_mbps)
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(crate) fn bounds(&self) -> SettingsBounds {
        self.bounds.get()
    }

    pub(crate) fn set_bounds(&self, bounds: SettingsBounds) {
        self.bounds.set(bounds);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<TrafficConfiguration>> {
        self.view.borrow().configuration.clone()
    }

    /// Returns whether the configuration is fresh enough to check the key of a request.
    pub(crate) fn is_fresh(&self, received_at: Moment) -> bool {
        match self.bounds().revoke_within {
            Some(bound) => self.view.borrow().freshness.is_fresh_at(received_at, bound),
            None => true,
        }
    }

    /// Returns whether this VM is the planner, with a lease that is certain to be valid.
    pub(crate) fn is_planner(&self) -> bool {
        self.term().is_some_and(|it| it.is_valid(self.now()))
    }

    /// Returns whether this VM has the planner's key, or may have it after an outage of the store.
    pub(crate) fn holds_term(&self) -> bool {
        self.term().is_some_and(|it| it.may_be_held(self.now()))
    }

    /// Returns the proof that all keys of the store are known.
    pub(crate) fn complete_view(&self) -> Option<CompleteView> {
        self.store_view.borrow().complete(self.now())
    }

    /// Returns whether this VM is to follow the store itself, for the others.
    pub(crate) fn is_relay(&self) -> bool {
        self.view.borrow().relay_plan().follows_store(&self.vm.name)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Records that the store cannot be reached.
    pub(crate) fn record_store_lost(&self) {
        self.is_store_lost.set(true);
        self.view.borrow_mut().missing.record_store_lost();
    }

    /// Records an answer of the store.
    pub(crate) fn record_store_answer(&self) {
        let leave_within = self.bounds().leave_within;
        self.view.borrow_mut().missing.record_store_answer(self.now(), leave_within);
    }

    /// Returns whether this VM's share of a service's retry budget allows a retry.
    pub(crate) fn may_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let retry_bounds = self.bounds().retries;
        let mut view = self.view.borrow_mut();
        let entry_vms = view.entry_vm_count();
        let budget = view.retries.entry(service.clone()).or_default();
        budget.remaining(now, &retry_bounds, entry_vms) >= 1.0
    }

    /// Spends one retry of this VM's share of a service's retry budget.
    pub(crate) fn try_spend_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let retry_bounds = self.bounds().retries;
        let mut view = self.view.borrow_mut();
        let entry_vms = view.entry_vm_count();
        let budget = view.retries.entry(service.clone()).or_default();
        budget.try_retry(now, &retry_bounds, entry_vms)
    }

    /// Returns the number of retries that this VM has left for each service.
    pub(crate) fn retries_left(&self) -> Vec<(ServiceId, f64)> {
        let now = self.now();
        let retry_bounds = self.bounds().retries;
        let mut view = self.view.borrow_mut();
        let entry_vms = view.entry_vm_count();
        let budgets = view.retries.iter_mut();
        budgets
            .map(|(service, it)| (service.clone(), it.remaining(now, &retry_bounds, entry_vms)))
            .collect()
    }

    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        let retry_bounds = self.bounds().retries;
        let mut view = self.view.borrow_mut();
        view.retries.entry(service.clone()).or_default().record_request(now, &retry_bounds);
        self.has_traffic.set(true);
    }

    /// Returns whether entry VMs may exchange request counts via the planner, which takes longer
    /// than sending them directly.
    ///
    /// This VM counts too if it is listed: with FULL_MESH_PEERS_MAX others the result is true
    /// although the counts are sent directly.
    pub(crate) fn may_get_counts_via_planner(&self) -> bool {
        self.view.borrow().entry_vms.len() > FULL_MESH_PEERS_MAX
    }

    /// Returns the heads that accept requests for a model and are not suspect.
    pub(crate) fn heads(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        excluded: &[VmId],
    ) -> Vec<HeadLoad> {
        let now = self.now();
        let view = self.view.borrow();
        let is_open = |it: &&BackendServer| {
            it.service == *service
                && model.is_none_or(|model| it.serves(model))
                && !excluded.contains(&it.vm)
                && !view.is_suspect(&it.vm, now)
                && view.is_usable(it, now)
                && view.has_room(it, now)
        };
        let open = view.servers.values().filter(is_open);
        let load = |it: &BackendServer| {
            let load = view.loads.load(&it.vm, now);
            HeadLoad {
                vm: it.vm.clone(),
                zone: it.zone.clone(),
                in_flight: load.in_flight,
                waiting: load.waiting,
                slowdown: view.slowdowns.get(&it.vm).copied().unwrap_or(1.0),
            }
        };
        open.map(load).collect()
    }

    /// Marks a head whose streams are stalled as suspect, so that it gets no new ones for a while.
    pub(crate) fn mark_suspect(&self, head: &VmId) {
        let now = self.now();
        self.view.borrow_mut().suspects.insert(head.clone(), now);
        self.suspect_added.notify_waiters();
        self.planner_inputs_changed.notify_one();
    }

    pub(crate) fn is_suspect(&self, vm: &VmId) -> bool {
        self.view.borrow().is_suspect(vm, self.now())
    }

    /// Waits until a head is found stalled after a moment; an earlier suspicion says nothing of
    /// what it does since.
    pub(crate) async fn wait_until_suspect(&self, vm: &VmId, after: Moment) {
        loop {
            let added = self.suspect_added.notified();
            let found_at = self.view.borrow().suspects.get(vm).copied();
            if found_at.is_some_and(|it| it > after) && self.is_suspect(vm) {
                return;
            }
            added.await;
        }
    }

    /// Marks a head that this VM found stalled, and reports it to the other entry VMs unless the fault
    /// may be on this side.
    pub(crate) fn report_suspect(&self, head: &VmId) {
        if self.view.borrow().reach.is_doubtful() {
            return self.mark_suspect(head);
        }
        let now = self.now();
        self.view.borrow_mut().local_suspects.insert(head.clone(), now);
        self.mark_suspect(head);
        self.peer_updates.notify_one();
    }

    /// Queues a server's entry for the other entry VMs.
    pub(crate) fn relay_entry(&self, revision: StoreRevision, server: BackendServer) {
        self.view.borrow_mut().relay_queue.push((revision, server));
        self.peer_updates.notify_one();
    }

    /// Makes the planner probe the members of a head's group, unless the fault may be on this side.
    pub(crate) fn request_recheck(&self, head: &VmId) {
        if self.view.borrow().reach.is_doubtful() {
            return;
        }
        let now = self.now();
        self.view.borrow_mut().to_recheck.insert(head.clone(), now);
        if self.is_planner() {
            self.planner_inputs_changed.notify_one();
        } else {
            self.peer_updates.notify_one();
        }
    }

    /// Records whether a request to a server failed.
    pub(crate) fn record_outcome(&self, vm: &VmId, has_failed: bool) {
        let now = self.now();
        self.view.borrow_mut().failures.record(vm, has_failed, now);
    }

    /// Sends no requests to a server for a while.
    pub(crate) fn avoid(&self, vm: &VmId, pause: Duration) {
        let until = self.now() + pause;
        self.view.borrow_mut().avoided.insert(vm.clone(), until);
    }

    /// Counts a request as in flight at a server until the guard is dropped.
    pub(crate) fn track_in_flight(self: &Rc<Self>, vm: &VmId, is_stream: bool) -> InFlightGuard {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        view.loads.record_start(vm);
        if is_stream {
            view.progress.record_start(vm, now);
        }
        drop(view);
        let has_answer_begun = Cell::new(false);
        InFlightGuard { state: Rc::clone(self), vm: vm.clone(), is_stream, has_answer_begun }
    }
}

impl ClusterView {
    /// Returns the suspect heads, and when each was last found stalled.
    pub(crate) fn suspects(&self, now: Moment) -> impl Iterator<Item = (&VmId, Moment)> {
        let recent = self.suspects.iter().filter(move |(_, at)| now.since(**at) < SUSPECT_PAUSE);
        recent.map(|(vm, at)| (vm, *at))
    }

    fn is_suspect(&self, vm: &VmId, now: Moment) -> bool {
        self.suspects.get(vm).is_some_and(|it| now.since(*it) < SUSPECT_PAUSE)
    }

    /// Returns whether requests may be sent to a listed server now.
    pub(crate) fn is_usable(&self, server: &BackendServer, now: Moment) -> bool {
        let vm = &server.vm;
        self.avoided.get(vm).is_none_or(|it| now >= *it)
            && !self.missing.is_gone(vm, now)
            && !self.closed_heads.contains(vm, now)
            && self.notices.allows_requests(server, now)
            && self.is_in_use(server)
    }

    /// Forgets which servers could not be reached.
    pub(crate) fn forget_unreachable(&mut self) {
        self.avoided.clear();
    }

    /// Returns the suspects that this VM detected and is to report to the other entry VMs.
    pub(crate) fn local_suspects(&self, now: Moment) -> Vec<VmId> {
        let recent =
            self.local_suspects.iter().filter(|(_, at)| now.since(**at) < PEER_NOTICE_DURATION);
        recent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the heads whose groups the planner is to probe.
    pub(crate) fn to_recheck(&self, now: Moment) -> Vec<VmId> {
        let recent =
            self.to_recheck.iter().filter(|(_, at)| now.since(**at) < PEER_NOTICE_DURATION);
        recent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Removes servers that have not reappeared in time after a store outage.
    pub(crate) fn remove_gone_servers(&mut self, now: Moment) -> Vec<VmId> {
        let gone = self.missing.take_gone(now);
        for vm in &gone {
            self.record_departure(vm, now);
        }
        gone
    }

    /// Removes entries that have expired.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.unlist_gone_entry_vms(now);
        self.expire_departed(now);
        self.loads.expire(now);
        self.progress.expire(now);
        self.suspects.retain(|_, it| now.since(*it) < SUSPECT_PAUSE);
        self.local_suspects.retain(|_, it| now.since(*it) < SUSPECT_PAUSE);
        self.to_recheck.retain(|_, it| now.since(*it) < PEER_NOTICE_DURATION);
        self.avoided.retain(|_, it| now < *it);
        self.shares.expire(now);
        self.competition.expire(now);
        self.reach.expire(now);
        self.cold.expire(now);
        self.zones.expire(now);
        let Self { failures, servers, slowdowns, notices, limits, .. } = self;
        notices.expire(now, |vm| servers.contains_key(vm));
        limits.expire(now, |vm| servers.contains_key(vm));
        failures.retain(|vm| servers.contains_key(vm));
        slowdowns.retain(|vm, _| servers.contains_key(vm));
    }
}

/// Guard of a request in flight at a server.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Rc<AppState>,
    vm: VmId,
    is_stream: bool,
    has_answer_begun: Cell<bool>,
}

impl InFlightGuard {
    /// Records that bytes of the answer have arrived; the first ones mark its beginning.
    pub(crate) fn record_progress(&self) {
        let now = self.state.now();
        let mut view = self.state.view.borrow_mut();
        view.progress.record_progress(&self.vm, now);
        if !self.has_answer_begun.replace(true) {
            view.progress.record_first_event(&self.vm);
            view.loads.record_first_event(&self.vm);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut view = self.state.view.borrow_mut();
        view.loads.record_end(&self.vm, self.has_answer_begun.get());
        if self.is_stream {
            view.progress.record_end(&self.vm, self.has_answer_begun.get());
        }
    }
}
