//! Forms groups, keeps them whole and replaces them.

mod contact;
mod donors;
mod forming;
mod loads;
mod orders;
mod packing;
mod plan;
mod preparing;
mod release;
mod repair;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::VmId;

use self::contact::Contact;
use self::forming::Draft;
use self::loads::LoadAllowance;
pub use self::plan::DomainPlan;
pub use self::plan::FormerHead;
pub use self::plan::PlannedGroup;
pub use self::plan::PlannedMember;
use self::preparing::Staging;
use crate::BackendServer;
use crate::EngineOrder;
use crate::EngineReport;
use crate::EngineSpec;
use crate::MemberPhase;
use crate::Membership;
use crate::Moment;
use crate::OrderOutcome;

/// Time without suspicion after which a group is trusted again.
const SUSPECT_PAUSE: Duration = Duration::from_millis(900);
/// Part of the listed servers that may be silent before nothing is decided.
///
/// A whole fabric domain is a sixth of the servers in the smallest deployments.
const CUT_OFF_PART: f64 = 0.35;
/// Time after which a write that the store did not take is tried again.
const WRITE_RETRY: Duration = Duration::from_millis(300);
/// Time that a server's entry may be missing before the server is forgotten.
const FORGET_UNLISTED: Duration = Duration::from_secs(30);

/// A question for a server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The server.
    pub vm: VmId,
    /// Its address.
    pub address: SocketAddr,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a server for its state.
    Probe(Probe),
    /// Give a server an order.
    Order {
        /// The server.
        vm: VmId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// Orders that the server has accepted so far; it refuses if there were others.
        orders_accepted: u64,
    },
    /// Write a domain's plan, if it is still at the revision.
    Write {
        /// The fabric domain.
        domain: FabricDomain,
        /// The plan.
        plan: DomainPlan,
        /// Revision that the plan was derived from; zero if there was none.
        expected: Revision,
        /// What changes, for the log.
        reasons: Vec<String>,
    },
}

#[derive(Debug)]
struct Known {
    server: BackendServer,
    unlisted_at: Option<Moment>,
    leaving_at: Option<Moment>,
    /// Orders that this life has accepted; not known until it was asked.
    orders_accepted: Option<u64>,
    contact: Contact,
    /// The last fetch of weights that this life has begun.
    staging: Option<Staging>,
}

#[derive(Debug)]
struct GivenOrder {
    order: EngineOrder,
    orders_accepted: u64,
    given_at: Moment,
    outcome: Option<OrderOutcome>,
}

#[derive(Debug, Default)]
struct HeldPlan {
    plan: DomainPlan,
    revision: Revision,
    is_writing: bool,
    /// When a write may be tried again after one that failed.
    retry_at: Option<Moment>,
}

/// Names one membership.
type GroupKey = (GroupId, Incarnation);

#[derive(Debug, Default)]
struct GroupNotes {
    seen_at: Option<Moment>,
    ready: HashSet<VmId>,
    suspect_since: Option<Moment>,
    suspect_at: Option<Moment>,
    has_left: bool,
    member_left_at: Option<Moment>,
}

/// Decides on the groups of one engine service.
///
/// One entry VM runs it at a time, but safety does not rest on that: plans
/// change by compare-and-swap, and each order names the number of orders that
/// the server has accepted so far.
#[derive(Debug)]
pub struct GroupPlanner {
    engine: EngineSpec,
    stall: Duration,
    known: BTreeMap<VmId, Known>,
    plans: BTreeMap<FabricDomain, HeldPlan>,
    orders: HashMap<VmId, GivenOrder>,
    notes: HashMap<GroupKey, GroupNotes>,
    loads: LoadAllowance,
    /// Heads whose streams went on lately.
    progressing: HashSet<VmId>,
    /// When the latest server of each fabric domain appeared.
    grown_at: HashMap<FabricDomain, Moment>,
    /// The servers of each fabric domain as of the last step, in order.
    by_domain: HashMap<FabricDomain, Vec<VmId>>,
}

impl GroupPlanner {
    /// Returns a planner that knows no servers and no plans.
    ///
    /// `stall` is the time after which a head without a member is broken.
    pub fn new(engine: EngineSpec, stall: Duration) -> Self {
        Self {
            engine,
            stall,
            known: BTreeMap::new(),
            plans: BTreeMap::new(),
            orders: HashMap::new(),
            notes: HashMap::new(),
            loads: LoadAllowance::default(),
            progressing: HashSet::new(),
            grown_at: HashMap::new(),
            by_domain: HashMap::new(),
        }
    }

    /// Takes newer figures of the engines.
    pub fn set_engine(&mut self, engine: EngineSpec) {
        self.engine = engine;
    }

    /// Lifts the bound on loads until the first request of a caller.
    pub fn set_loads_unlimited(&mut self, is_unlimited: bool) {
        self.loads.set_unlimited(is_unlimited);
    }

    /// Returns whether a domain's plan is held at a revision, or a later one.
    pub fn has_plan(&self, domain: &FabricDomain, revision: Revision) -> bool {
        self.plans.get(domain).is_some_and(|it| it.revision >= revision)
    }

    /// Takes a plan as the store holds it.
    pub fn plan_read(&mut self, domain: FabricDomain, plan: DomainPlan, revision: Revision) {
        let held = self.plans.entry(domain).or_default();
        if revision > held.revision {
            held.plan = plan;
            held.revision = revision;
        }
    }

    /// Records the end of a write; `None` if the store refused it or did not answer.
    pub fn plan_written(
        &mut self,
        domain: &FabricDomain,
        written: Option<(DomainPlan, Revision)>,
        now: Moment,
    ) {
        let Some(held) = self.plans.get_mut(domain) else { return };
        held.is_writing = false;
        match written {
            Some((plan, revision)) => {
                held.plan = plan;
                held.revision = revision;
            }
            None => held.retry_at = Some(now + WRITE_RETRY),
        }
    }

    /// Records a server's answer to a probe.
    pub fn probe_answered(&mut self, vm: &VmId, report: EngineReport) {
        let Some(known) = self.known.get_mut(vm) else { return };
        known.contact.answered(report.pace);
        let is_same_life = report.status.born_unix_ms == known.server.engine.born_unix_ms;
        known.orders_accepted = Some(report.orders_accepted);
        if !is_same_life {
            let domain = known.server.engine.domain.clone();
            known.server.engine = report.status;
            known.server.engine.domain = known.server.engine.domain.take().or(domain);
        } else if known.unlisted_at.is_some() {
            known.server.engine.membership = report.status.membership;
        }
    }

    /// Records a probe without an answer.
    pub fn probe_missed(&mut self, vm: &VmId, has_no_process: bool) {
        let Some(known) = self.known.get_mut(vm) else { return };
        if has_no_process {
            known.contact.refused();
        } else {
            known.contact.missed();
        }
    }

    /// Records how an order ended.
    pub fn order_ended(&mut self, vm: &VmId, outcome: OrderOutcome, now: Moment) {
        let Some(given) = self.orders.get_mut(vm) else { return };
        given.outcome = Some(outcome);
        given.given_at = now;
        let is_accepted = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Done);
        let orders_accepted = given.orders_accepted;
        let staged = match &given.order {
            EngineOrder::Stage { model } => Some(model.clone()),
            EngineOrder::Join { .. }
            | EngineOrder::Open { .. }
            | EngineOrder::Close { .. }
            | EngineOrder::Leave { .. } => None,
        };
        if is_accepted && let EngineOrder::Leave { group, incarnation } = &given.order {
            let key = (group.clone(), *incarnation);
            let notes = self.notes.entry(key).or_default();
            notes.member_left_at = notes.member_left_at.or(Some(now));
            let is_head = self.known.get(vm).is_some_and(|it| {
                it.server.engine.membership.as_ref().is_some_and(|it| {
                    it.group == *group && it.incarnation == *incarnation && it.rank == Rank(0)
                })
            });
            notes.has_left |= is_head;
        }
        let staging = staged.map(|model| {
            let until = self.staging_until(&model, outcome, now);
            Staging { model, until }
        });
        let Some(known) = self.known.get_mut(vm) else { return };
        if staging.is_some() {
            known.staging = staging;
        }
        match outcome {
            OrderOutcome::Begun => known.orders_accepted = Some(orders_accepted + 1),
            OrderOutcome::NoProcess => known.contact.refused(),
            OrderOutcome::Done
            | OrderOutcome::Refused
            | OrderOutcome::WrongServer
            | OrderOutcome::Unknown => known.orders_accepted = None,
        }
    }

    /// Takes the heads that showed a progress within a few token steps.
    ///
    /// A group moves only while all its members are there, so members of these
    /// groups are not lost, whatever became of the questions to them.
    pub fn set_progressing(&mut self, heads: HashSet<VmId>) {
        self.progressing = heads;
    }

    /// Marks a group whose streams are stalled, by its head.
    pub fn suspect(&mut self, head: &VmId, now: Moment) {
        let Some(group) = self.group_of_head(head) else { return };
        let notes = self.notes.entry((group.group.clone(), group.incarnation)).or_default();
        let is_new = notes.suspect_at.is_none_or(|it| now.since(it) > SUSPECT_PAUSE);
        if is_new {
            notes.suspect_since = Some(now);
        }
        notes.suspect_at = Some(now);
        self.recheck(head);
    }

    /// Asks all members of a head's group soon.
    pub fn recheck(&mut self, head: &VmId) {
        let Some(group) = self.group_of_head(head) else { return };
        for vm in group.vms() {
            if let Some(known) = self.known.get_mut(vm) {
                known.contact.suspect();
            }
        }
    }

    fn group_of_head(&self, head: &VmId) -> Option<PlannedGroup> {
        let mut groups = self.plans.values().flat_map(|it| &it.plan.groups);
        let is_of_head =
            |it: &&PlannedGroup| !it.is_dissolving && it.head().is_some_and(|it| it.vm == *head);
        groups.find(is_of_head).cloned()
    }

    /// Returns the slowness that a server last reported.
    pub fn pace(&self, vm: &VmId) -> f64 {
        self.known.get(vm).map_or(1.0, |it| it.contact.pace())
    }

    /// Returns the plans by fabric domain.
    pub fn plans(&self) -> impl Iterator<Item = (&FabricDomain, &DomainPlan)> {
        self.plans.iter().map(|(domain, it)| (domain, &it.plan))
    }

    /// Decides what is to be done now, given the servers that the platform lists.
    pub fn step<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a BackendServer>,
        now: Moment,
    ) -> Vec<Step> {
        self.learn(listed, now);
        self.loads.refill(now, self.engine.loads_per_s);
        let mut steps = Vec::new();
        if self.is_cut_off() {
            self.probe(now, &mut steps);
            return steps;
        }
        let domains: Vec<FabricDomain> = self.plans.keys().cloned().collect();
        let mut drafts = Vec::new();
        for domain in domains {
            let held = &self.plans[&domain];
            if held.is_writing || held.retry_at.is_some_and(|it| now < it) {
                continue;
            }
            drafts.push(self.step_groups(&domain, now, &mut steps));
        }
        let mut vms = self.vms_by_model(&drafts);
        for draft in &mut drafts {
            self.form_groups(draft, &mut vms, now);
        }
        let unchanged: Vec<Draft> =
            drafts.into_iter().filter_map(|it| self.finish(it, now, &mut steps)).collect();
        self.prepare_servers(&unchanged, now, &mut steps);
        self.probe(now, &mut steps);
        steps
    }

    fn learn<'a>(&mut self, listed: impl Iterator<Item = &'a BackendServer>, now: Moment) {
        let mut seen = HashSet::new();
        for server in listed {
            seen.insert(server.vm.clone());
            if let Some(domain) = &server.engine.domain {
                self.plans.entry(domain.clone()).or_default();
            }
            let Some(known) = self.known.get_mut(&server.vm) else {
                let known = Known {
                    server: server.clone(),
                    unlisted_at: None,
                    leaving_at: server.is_leaving.then_some(now),
                    orders_accepted: None,
                    contact: Contact::default(),
                    staging: None,
                };
                self.known.insert(server.vm.clone(), known);
                if let Some(domain) = &server.engine.domain {
                    self.grown_at.insert(domain.clone(), now);
                }
                continue;
            };
            known.unlisted_at = None;
            if server.is_leaving {
                known.leaving_at = known.leaving_at.or(Some(now));
            }
            let (old, new) = (&known.server.engine, &server.engine);
            if old.born_unix_ms != new.born_unix_ms {
                known.contact = Contact::default();
                known.orders_accepted = None;
                known.staging = None;
                known.server = server.clone();
            } else if known.server != *server {
                known.server = server.clone();
            }
        }
        for (vm, known) in &mut self.known {
            if known.unlisted_at.is_none() && !seen.contains(vm) {
                known.unlisted_at = Some(now);
                known.contact.suspect();
            }
        }
        let forget = |it: &Known| it.unlisted_at.is_some_and(|it| now.since(it) > FORGET_UNLISTED);
        self.known.retain(|_, it| !forget(it));
        self.by_domain.clear();
        for (vm, known) in &self.known {
            if let Some(domain) = &known.server.engine.domain {
                match self.by_domain.get_mut(domain) {
                    Some(vms) => vms.push(vm.clone()),
                    None => drop(self.by_domain.insert(domain.clone(), vec![vm.clone()])),
                }
            }
        }
    }

    /// Returns the servers of a fabric domain, in order.
    fn in_domain(&self, domain: &FabricDomain) -> impl Iterator<Item = (&VmId, &Known)> {
        let vms = self.by_domain.get(domain).into_iter().flatten();
        vms.filter_map(|vm| self.known.get_key_value(vm))
    }

    /// Returns whether so many servers are silent that the fault is this VM's.
    fn is_cut_off(&self) -> bool {
        let listed = self.known.values().filter(|it| it.unlisted_at.is_none());
        let (silent, all) = listed.fold((0, 0), |(silent, all), it| {
            (silent + usize::from(it.contact.is_silent()), all + 1)
        });
        silent as f64 > CUT_OFF_PART * f64::from(all)
    }

    fn membership(&self, vm: &VmId) -> Option<&Membership> {
        self.known.get(vm)?.server.engine.membership.as_ref()
    }

    fn phase_in(&self, vm: &VmId, group: &PlannedGroup) -> Option<MemberPhase> {
        let it = self.membership(vm)?;
        (it.group == group.group && it.incarnation == group.incarnation).then_some(it.phase)
    }
}
