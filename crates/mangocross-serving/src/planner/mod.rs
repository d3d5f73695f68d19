//! Plans model groups: forms, repairs and dissolves them.

mod adoption;
mod closed_heads;
mod donors;
mod evacuation;
mod foreign;
mod forming;
mod orders;
mod packing;
mod plan;
mod preparing;
mod release;
mod repair;
mod server_health;
mod tracked_server;
mod weight_load_limiter;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use mangocross_types::AvailabilityZone;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use self::foreign::ForeignMember;
use self::forming::PlanUpdate;
pub use self::plan::DomainPlan;
pub use self::plan::FormerHead;
pub use self::plan::PlannedGroup;
pub use self::plan::PlannedMember;
pub use self::server_health::ProbeFailure;
use self::tracked_server::TrackedServer;
use self::weight_load_limiter::WeightLoadLimiter;
use crate::BackendServer;
use crate::EngineOrder;
use crate::EngineSpec;
use crate::MemberPhase;
use crate::Membership;
use crate::Moment;
use crate::OrderOutcome;
use crate::StopProof;

/// Time without a new suspicion after which a group is no longer suspect.
const SUSPICION_EXPIRY: Duration = Duration::from_millis(900);
/// Share of silent servers above which the planner considers itself isolated and decides nothing.
///
/// It exceeds one fabric domain's share, a sixth of the servers in the smallest deployments, so
/// that the loss of a domain does not count as isolation.
const SILENT_SHARE_MAX: f64 = 0.35;
/// Time between two decisions from which the planner's process is taken to have paused.
const PLANNER_PAUSE_MIN: Duration = Duration::from_millis(600);
/// Time after which a failed plan write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a server that is no longer listed is removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

/// A request for a server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// VM of the server to probe.
    pub vm: VmId,
    /// Address that the probe is sent to.
    pub address: SocketAddr,
}

/// An action for the caller of the planner to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Probe a server for its state.
    Probe(Probe),
    /// Send an order to a server.
    Order {
        /// VM of the server that receives the order.
        vm: VmId,
        /// Address that the order is sent to.
        address: SocketAddr,
        /// The order to send.
        order: EngineOrder,
        /// Orders that the server has accepted so far; it refuses the order if the count differs.
        orders_accepted: u64,
    },
    /// Write a domain's plan if the stored one is still at the expected revision.
    Write {
        /// Fabric domain whose plan is written.
        domain: FabricDomain,
        /// The new plan.
        plan: DomainPlan,
        /// Revision that the plan was derived from; zero if none was stored.
        expected: StoreRevision,
        /// Reasons for the changes, for the log.
        reasons: Vec<String>,
    },
}

/// The latest order to a server.
#[derive(Debug)]
struct SentOrder {
    order: EngineOrder,
    /// Orders that the server had accepted before this one.
    orders_accepted: u64,
    /// When the order was sent, or when its outcome was received.
    updated_at: Moment,
    outcome: Option<OrderOutcome>,
}

/// The plan of a fabric domain as last read or written.
#[derive(Debug, Default)]
struct StoredPlan {
    plan: DomainPlan,
    revision: StoreRevision,
    is_writing: bool,
    /// Earliest time of the next write after a failed one.
    retry_at: Option<Moment>,
}

/// Identifies one incarnation of a group.
type GroupKey = (GroupId, Incarnation);

/// Observations of one incarnation of a group.
#[derive(Debug, Default)]
struct GroupState {
    /// When the group was first evaluated.
    seen_at: Option<Moment>,
    /// Members that have completed joining, with the start times of their processes in milliseconds of
    /// Unix time.
    ready: HashMap<VmId, u64>,
    /// When the current suspicion began.
    first_suspected_at: Option<Moment>,
    /// When the streams were last reported as stalled.
    last_suspected_at: Option<Moment>,
    /// When a spare could first replace a slow member.
    slow_since: Option<Moment>,
    /// When the group was first found to be dissolving.
    dissolving_at: Option<Moment>,
    /// What proves that the head has stopped.
    stop_proof: Option<StopProof>,
    /// When a member was first seen to be out; the head becomes broken `stall_timeout` later.
    absent_since: Option<Moment>,
    /// When a proof that the head has stopped was first looked for.
    proof_sought_at: Option<Moment>,
    /// Whether the group was adopted while not all of its members reported it.
    lacks_members: bool,
}

/// Plans the groups of one engine service.
///
/// One entry VM runs the planner at a time, but safety does not depend on that: plans
/// change by compare-and-swap, and each order contains the number of orders that the
/// server has accepted so far.
#[derive(Debug)]
pub struct GroupPlanner {
    engine_spec: EngineSpec,
    stall_timeout: Duration,
    servers: BTreeMap<VmId, TrackedServer>,
    plans: BTreeMap<FabricDomain, StoredPlan>,
    orders: HashMap<VmId, SentOrder>,
    group_states: HashMap<GroupKey, GroupState>,
    weight_load_limiter: WeightLoadLimiter,
    /// Heads whose streams progressed recently.
    progressing: HashSet<VmId>,
    /// Servers that want no requests for now.
    paused: HashSet<VmId>,
    /// Zones whose groups serve nothing until operators take them back.
    evacuated_zones: HashSet<AvailabilityZone>,
    /// When the newest server of each fabric domain appeared.
    newest_server_at: HashMap<FabricDomain, Moment>,
    /// The servers of each fabric domain as of the last decision, in order of their ids.
    by_domain: HashMap<FabricDomain, Vec<VmId>>,
    decided_at: Option<Moment>,
    /// VMs that report or have left a group that is not in the plan, until it has ended.
    foreign: HashMap<VmId, ForeignMember>,
    /// Era of the store in which the plans are written.
    era: StoreEra,
}

impl GroupPlanner {
    /// Creates a planner without servers and plans.
    ///
    /// `stall_timeout` is the time after which a head that lacks a member is broken.
    pub fn new(engine_spec: EngineSpec, stall_timeout: Duration) -> Self {
        Self {
            engine_spec,
            stall_timeout,
            servers: BTreeMap::new(),
            plans: BTreeMap::new(),
            orders: HashMap::new(),
            group_states: HashMap::new(),
            weight_load_limiter: WeightLoadLimiter::default(),
            progressing: HashSet::new(),
            paused: HashSet::new(),
            evacuated_zones: HashSet::new(),
            newest_server_at: HashMap::new(),
            by_domain: HashMap::new(),
            decided_at: None,
            foreign: HashMap::new(),
            era: StoreEra::default(),
        }
    }

    /// Replaces the engine specification.
    pub fn set_engine_spec(&mut self, engine_spec: EngineSpec) {
        self.engine_spec = engine_spec;
    }

    /// Sets the era of the store in which the plans are written; no incarnation of an earlier era is
    /// given out again.
    pub fn set_era(&mut self, era: StoreEra) {
        self.era = era;
    }

    /// Sets whether weight loads are unlimited.
    ///
    /// The front sets this when the system starts for the first time, until the first request
    /// arrives.
    pub fn set_weight_loads_unlimited(&mut self, is_unlimited: bool) {
        self.weight_load_limiter.set_unlimited(is_unlimited);
    }

    /// Returns whether the planner has a domain's plan at this revision or a later one.
    pub fn has_plan(&self, domain: &FabricDomain, revision: StoreRevision) -> bool {
        self.plans.get(domain).is_some_and(|it| it.revision >= revision)
    }

    /// Applies a plan that was read from the store, unless a newer one was applied before.
    pub fn apply_stored_plan(
        &mut self,
        domain: FabricDomain,
        plan: DomainPlan,
        revision: StoreRevision,
    ) {
        let stored = self.plans.entry(domain).or_default();
        if revision > stored.revision {
            stored.plan = plan;
            stored.revision = revision;
        }
    }

    /// Records the result of a plan write; `None` if the store refused it or did not respond.
    pub fn record_write_result(
        &mut self,
        domain: &FabricDomain,
        written: Option<(DomainPlan, StoreRevision)>,
        now: Moment,
    ) {
        let Some(stored) = self.plans.get_mut(domain) else { return };
        stored.is_writing = false;
        match written {
            Some((plan, revision)) => {
                stored.plan = plan;
                stored.revision = revision;
                self.prune_group_states();
            }
            None => stored.retry_at = Some(now + WRITE_RETRY_DELAY),
        }
    }

    /// Records a probe that failed.
    pub fn record_probe_failure(&mut self, vm: &VmId, failure: ProbeFailure) {
        if let Some(tracked) = self.servers.get_mut(vm) {
            tracked.health.record_failure(failure);
        }
    }

    /// Replaces the set of heads whose streams progressed within the last few token steps.
    ///
    /// A group makes progress only while all its members work, so members of these
    /// groups are not considered lost even if their probes fail.
    pub fn set_progressing_heads(&mut self, heads: HashSet<VmId>) {
        self.progressing = heads;
    }

    /// Replaces the set of servers that want no requests for now.
    ///
    /// Their usual probes wait. Orders, and probes on which a decision depends, are sent all the
    /// same.
    pub fn set_paused_servers(&mut self, servers: HashSet<VmId>) {
        self.paused = servers;
    }

    /// Marks the group of a head as suspect because its streams were found stalled.
    pub fn mark_suspect(&mut self, head: &VmId, at: Moment) {
        let Some(group) = self.group_of_head(head) else { return };
        let state = self.group_states.entry((group.group.clone(), group.incarnation)).or_default();
        if state.last_suspected_at.is_some_and(|it| at <= it) {
            return;
        }
        let is_new = state.last_suspected_at.is_none_or(|it| at.since(it) > SUSPICION_EXPIRY);
        if is_new {
            state.first_suspected_at = Some(at);
        }
        state.last_suspected_at = Some(at);
        self.probe_group_soon(head);
    }

    /// Schedules early probes of all members of a head's group.
    pub fn probe_group_soon(&mut self, head: &VmId) {
        let Some(group) = self.group_of_head(head) else { return };
        for vm in group.vms() {
            if let Some(tracked) = self.servers.get_mut(vm) {
                tracked.health.probe_soon();
            }
        }
    }

    fn group_of_head(&self, head: &VmId) -> Option<PlannedGroup> {
        let mut groups = self.plans.values().flat_map(|it| &it.plan.groups);
        let is_of_head =
            |it: &&PlannedGroup| !it.is_dissolving && it.head().is_some_and(|it| it.vm == *head);
        groups.find(is_of_head).cloned()
    }

    /// Returns the slowdown that a server last reported, or 1 if none was reported or the server is
    /// faster than expected.
    pub fn slowdown(&self, vm: &VmId) -> f64 {
        self.servers.get(vm).map_or(1.0, |it| it.health.slowdown())
    }

    /// Returns the plans by fabric domain.
    pub fn plans(&self) -> impl Iterator<Item = (&FabricDomain, &DomainPlan)> {
        self.plans.iter().map(|(domain, it)| (domain, &it.plan))
    }

    /// Returns the actions to perform now, given the servers that the platform lists.
    pub fn next_actions<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a BackendServer>,
        now: Moment,
    ) -> Vec<PlannerAction> {
        self.forget_silence_after_pause(now);
        self.update_servers(listed, now);
        self.weight_load_limiter.refill(now, self.engine_spec.loads_per_s);
        let mut actions = Vec::new();
        if self.is_isolated() {
            self.probe_due_servers(now, &mut actions);
            return actions;
        }
        let domains: Vec<FabricDomain> = self.plans.keys().cloned().collect();
        let mut updates = Vec::new();
        for domain in domains {
            let stored = &self.plans[&domain];
            if stored.is_writing || stored.retry_at.is_some_and(|it| now < it) {
                continue;
            }
            if self.is_evacuated(&domain) {
                continue;
            }
            updates.push(self.maintain_groups(&domain, now, &mut actions));
        }
        let mut vm_counts = self.count_vms_by_model(&updates);
        for update in &mut updates {
            self.form_groups(update, &mut vm_counts, now);
        }
        let unchanged: Vec<PlanUpdate> = updates
            .into_iter()
            .filter_map(|it| self.submit_update(it, now, &mut actions))
            .collect();
        self.prepare_servers(&unchanged, now, &mut actions);
        self.probe_due_servers(now, &mut actions);
        actions
    }

    /// Judges servers anew after a pause of this process, in which their answers were not read.
    fn forget_silence_after_pause(&mut self, now: Moment) {
        let decided_at = self.decided_at.replace(now);
        if decided_at.is_some_and(|it| now.since(it) >= PLANNER_PAUSE_MIN) {
            self.servers.values_mut().for_each(|it| it.health.forget_silence(now));
        }
    }

    fn update_servers<'a>(&mut self, listed: impl Iterator<Item = &'a BackendServer>, now: Moment) {
        let mut seen = HashSet::new();
        for server in listed {
            seen.insert(server.vm.clone());
            if let Some(domain) = &server.engine.domain {
                self.plans.entry(domain.clone()).or_default();
            }
            let Some(tracked) = self.servers.get_mut(&server.vm) else {
                self.servers.insert(server.vm.clone(), TrackedServer::new(server, now));
                if let Some(domain) = &server.engine.domain {
                    self.newest_server_at.insert(domain.clone(), now);
                }
                continue;
            };
            tracked.record_entry(server, now);
        }
        for (vm, tracked) in &mut self.servers {
            if tracked.unlisted_at.is_none() && !seen.contains(vm) {
                tracked.unlisted_at = Some(now);
                tracked.health.probe_soon();
            }
        }
        let is_expired = |it: &TrackedServer| {
            it.unlisted_at.is_some_and(|it| now.since(it) > UNLISTED_RETENTION)
        };
        self.servers.retain(|_, it| !is_expired(it));
        self.by_domain.clear();
        for (vm, tracked) in &self.servers {
            if let Some(domain) = &tracked.server.engine.domain {
                match self.by_domain.get_mut(domain) {
                    Some(vms) => vms.push(vm.clone()),
                    None => drop(self.by_domain.insert(domain.clone(), vec![vm.clone()])),
                }
            }
        }
    }

    /// Returns the servers of a fabric domain, in order of their ids.
    fn in_domain(&self, domain: &FabricDomain) -> impl Iterator<Item = (&VmId, &TrackedServer)> {
        let vms = self.by_domain.get(domain).into_iter().flatten();
        vms.filter_map(|vm| self.servers.get_key_value(vm))
    }

    /// Returns whether so many servers are silent that this VM's own network is the likely cause.
    fn is_isolated(&self) -> bool {
        let listed = self.servers.values().filter(|it| it.unlisted_at.is_none());
        let (silent, all) = listed.fold((0, 0), |(silent, all), it| {
            (silent + usize::from(it.health.is_silent()), all + 1)
        });
        silent as f64 > SILENT_SHARE_MAX * f64::from(all)
    }

    fn membership(&self, vm: &VmId) -> Option<&Membership> {
        self.servers.get(vm)?.server.engine.membership.as_ref()
    }

    fn phase_in(&self, vm: &VmId, group: &PlannedGroup) -> Option<MemberPhase> {
        let it = self.membership(vm)?;
        (it.group == group.group && it.incarnation == group.incarnation).then_some(it.phase)
    }
}
