//! Forms groups, keeps them whole and replaces them.

mod contact;
mod loads;
mod packing;
mod plan;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::VmId;

use self::contact::Contact;
use self::loads::LoadAllowance;
pub use self::plan::DomainPlan;
pub use self::plan::FormerHead;
pub use self::plan::PlannedGroup;
pub use self::plan::PlannedMember;
use crate::BackendServer;
use crate::EngineOrder;
use crate::EngineReport;
use crate::EngineSpec;
use crate::MemberPhase;
use crate::Membership;
use crate::Moment;
use crate::OrderOutcome;

/// Time after which an accepted order that shows no effect is given again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a refused order is decided anew.
const REFUSED_RETRY: Duration = Duration::from_millis(120);
/// Time after which an order without an answer is given again.
const UNANSWERED_RETRY: Duration = Duration::from_millis(300);
/// Added to the time after which a head without a member is broken.
const STALL_MARGIN: Duration = Duration::from_millis(500);
/// Time that a head has to finish its requests before a member leaves.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Added to four times the loading time of a group that is being formed.
const FORMING_MARGIN: Duration = Duration::from_secs(8);
/// Time that a group may be suspect, with all members answering, before it is replaced.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without suspicion after which a group is trusted again.
const SUSPECT_PAUSE: Duration = Duration::from_millis(900);
/// Time without new servers in a domain after which groups are formed.
///
/// Servers of a domain come one by one; groups of the first few would leave no
/// room for a large one.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Part of the listed servers that may be silent before nothing is decided.
///
/// A whole fabric domain is a sixth of the servers in the smallest deployments.
const CUT_OFF_PART: f64 = 0.35;
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
    signs: HashSet<VmId>,
    /// When the latest server of each fabric domain appeared.
    grown_at: HashMap<FabricDomain, Moment>,
}

/// What a group needs.
enum Verdict {
    Keep,
    /// Form the group anew, under its name, without the members that it lost.
    Replace(String),
    Order(Vec<(VmId, EngineOrder)>),
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
            signs: HashSet::new(),
            grown_at: HashMap::new(),
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

    /// Takes a plan as the store holds it.
    pub fn plan_read(&mut self, domain: FabricDomain, plan: DomainPlan, revision: Revision) {
        let held = self.plans.entry(domain).or_default();
        if revision > held.revision {
            held.plan = plan;
            held.revision = revision;
        }
    }

    /// Records the end of a write; `None` if the store refused it or did not answer.
    pub fn plan_written(&mut self, domain: &FabricDomain, written: Option<(DomainPlan, Revision)>) {
        let Some(held) = self.plans.get_mut(domain) else { return };
        held.is_writing = false;
        if let Some((plan, revision)) = written {
            held.plan = plan;
            held.revision = revision;
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
        let Some(known) = self.known.get_mut(vm) else { return };
        match outcome {
            OrderOutcome::Begun => known.orders_accepted = Some(given.orders_accepted + 1),
            OrderOutcome::NoProcess => known.contact.refused(),
            OrderOutcome::Done
            | OrderOutcome::Refused
            | OrderOutcome::WrongServer
            | OrderOutcome::Unknown => known.orders_accepted = None,
        }
    }

    /// Takes the heads that showed a sign of life within a few token steps.
    ///
    /// A group moves only while all its members are there, so members of these
    /// groups are not lost, whatever became of the questions to them.
    pub fn set_signs(&mut self, heads: HashSet<VmId>) {
        self.signs = heads;
    }

    /// Marks a group whose streams stand still, by its head.
    pub fn suspect(&mut self, head: &VmId, now: Moment) {
        let Some(group) = self.group_of_head(head) else { return };
        let notes = self.notes.entry((group.group.clone(), group.incarnation)).or_default();
        let is_new = notes.suspect_at.is_none_or(|it| now.since(it) > SUSPECT_PAUSE);
        if is_new {
            notes.suspect_since = Some(now);
        }
        notes.suspect_at = Some(now);
        self.doubt(head);
    }

    /// Asks all members of a head's group soon.
    pub fn doubt(&mut self, head: &VmId) {
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
            if self.plans[&domain].is_writing {
                continue;
            }
            drafts.push(self.step_groups(&domain, now, &mut steps));
        }
        let mut vms = self.vms_by_model(&drafts);
        for draft in &mut drafts {
            self.form_groups(draft, &mut vms, now);
        }
        for draft in drafts {
            self.finish(draft, now, &mut steps);
        }
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

    /// Returns whether a VM may become a member: listed, answering, staying, not slow.
    fn is_usable(&self, known: &Known) -> bool {
        known.unlisted_at.is_none()
            && known.leaving_at.is_none()
            && !known.contact.is_lost()
            && !known.contact.is_slow()
    }

    fn free_vms(&self, domain: &FabricDomain, plan: &DomainPlan) -> Vec<VmId> {
        let in_domain = self
            .known
            .values()
            .filter(|it| it.server.engine.domain.as_ref() == Some(domain) && self.is_usable(it));
        let free = in_domain.filter(|it| {
            !plan.holds(&it.server.vm) && !self.heads_stray(it) && !is_detained(it, plan)
        });
        free.map(|it| it.server.vm.clone()).collect()
    }

    /// Returns whether a server heads a group that no plan names.
    fn heads_stray(&self, known: &Known) -> bool {
        known.server.engine.membership.as_ref().is_some_and(|it| {
            it.rank == Rank(0) && matches!(it.phase, MemberPhase::Open | MemberPhase::Closing)
        })
    }

    fn step_groups(&mut self, domain: &FabricDomain, now: Moment, steps: &mut Vec<Step>) -> Draft {
        let held = &self.plans[domain];
        let mut draft = Draft {
            domain: domain.clone(),
            plan: held.plan.clone(),
            expected: held.revision,
            reasons: Vec::new(),
        };
        let groups = std::mem::take(&mut draft.plan.groups);
        let mut spares = self.free_vms(domain, &held.plan);
        for mut group in groups {
            if group.is_dissolving {
                if !self.is_released(&group, now, steps) {
                    draft.plan.groups.push(group);
                } else {
                    draft.reasons.push(format!("{} released", group.group));
                    self.notes.remove(&(group.group.clone(), group.incarnation));
                }
                continue;
            }
            let incarnation = group.incarnation;
            match self.judge(&group, spares.len(), now) {
                Verdict::Keep => {}
                Verdict::Replace(reason) => {
                    let is_repaired = self.repair(domain, &mut group, &mut spares);
                    let next = if is_repaired { "formed anew" } else { "given up" };
                    draft.reasons.push(format!("{} {next}: {reason}", group.group));
                    if is_repaired {
                        let incarnation = self.next_incarnation(domain, &mut draft.plan);
                        group.incarnation = Incarnation(incarnation);
                    } else {
                        group.is_dissolving = true;
                    }
                }
                Verdict::Order(orders) => {
                    for (vm, order) in orders {
                        self.order(&vm, order, now, steps);
                    }
                }
            }
            // Orders follow the written plan, never a draft.
            if !group.is_dissolving && group.incarnation == incarnation {
                self.prune_former_heads(&mut group, now, steps);
            }
            draft.plan.groups.push(group);
        }
        draft
    }

    /// Replaces the members that a group has lost by spares of its domain.
    ///
    /// Survivors join the same group in a new incarnation, which takes them out of
    /// the old one: an old head that cannot be reached stands still from then on.
    fn repair(
        &self,
        domain: &FabricDomain,
        group: &mut PlannedGroup,
        spares: &mut Vec<VmId>,
    ) -> bool {
        let is_kept = |it: &&PlannedMember, is_fit: &dyn Fn(&Known) -> bool| {
            self.known.get(&it.vm).is_some_and(|known| {
                is_fit(known)
                    && known.server.engine.born_unix_ms == it.born_unix_ms
                    && known.server.engine.domain.as_ref() == Some(domain)
            })
        };
        let usable = |it: &Known| self.is_usable(it);
        let answers = |it: &Known| {
            it.unlisted_at.is_some() && it.leaving_at.is_none() && !it.contact.is_lost()
        };
        let members = || group.members.iter();
        let mut survivors: Vec<PlannedMember> =
            members().filter(|it| is_kept(it, &usable)).cloned().collect();
        if survivors.is_empty() {
            return false;
        }
        // A member that is cut from the store alone still works, though not as the head.
        let unlisted = members().filter(|it| is_kept(it, &answers)).cloned();
        let lacking = group.members.len() - survivors.len();
        survivors.extend(unlisted.take(lacking.saturating_sub(spares.len())));
        let missing = group.members.len() - survivors.len();
        if missing > spares.len() {
            return false;
        }
        if let Some(head) = group.head().cloned() {
            let incarnation = group.incarnation;
            group.former_heads.push(FormerHead { member: head, incarnation });
        }
        let added = self.choose_members(spares.clone(), missing, &group.model);
        spares.retain(|vm| added.iter().all(|it| it.vm != *vm));
        group.members = survivors;
        group.members.extend(added);
        true
    }

    /// Returns the incarnation of the next group that a domain forms.
    fn next_incarnation(&self, domain: &FabricDomain, plan: &mut DomainPlan) -> u64 {
        let incarnation = plan.next_incarnation.max(self.highest_incarnation(domain) + 1);
        plan.next_incarnation = incarnation + 1;
        incarnation
    }

    /// Returns whether a group that is given up can no longer serve, so that its members are free.
    fn is_released(&mut self, group: &PlannedGroup, now: Moment, steps: &mut Vec<Step>) -> bool {
        let mut heads = group.former_heads.clone();
        if let Some(head) = group.head().cloned() {
            heads.push(FormerHead { member: head, incarnation: group.incarnation });
        }
        let mut are_out = true;
        for head in &heads {
            are_out &= self.is_out(group, head, now, steps);
        }
        are_out
    }

    /// Returns whether a head can no longer take requests, and sees to it that it cannot.
    fn is_out(
        &mut self,
        group: &PlannedGroup,
        head: &FormerHead,
        now: Moment,
        steps: &mut Vec<Step>,
    ) -> bool {
        let vm = &head.member.vm;
        let key = (group.group.clone(), head.incarnation);
        let leave =
            EngineOrder::Leave { group: group.group.clone(), incarnation: head.incarnation };
        let notes = self.notes.entry(key).or_default();
        if notes.has_left {
            return true;
        }
        let stalled_for = notes.member_left_at.map(|it| now.since(it));
        if stalled_for.is_some_and(|it| it > self.stall + STALL_MARGIN) {
            return true;
        }
        let Some(known) = self.known.get(vm) else {
            return self.leave_by_member(group, head, &leave, now, steps);
        };
        let is_reborn = known.server.engine.born_unix_ms != head.member.born_unix_ms;
        if is_reborn || known.contact.has_no_process() {
            return true;
        }
        let phase = known.server.engine.membership.as_ref().and_then(|it| {
            let is_same = it.group == group.group && it.incarnation == head.incarnation;
            is_same.then_some(it.phase)
        });
        // A membership that was seen to end does not come back under the same incarnation.
        if matches!(phase, None | Some(MemberPhase::Broken)) {
            return true;
        }
        if known.contact.is_lost() {
            return self.leave_by_member(group, head, &leave, now, steps);
        }
        self.order(vm, leave, now, steps);
        false
    }

    /// Breaks an incarnation whose head cannot be reached by taking members out of it.
    fn leave_by_member(
        &mut self,
        group: &PlannedGroup,
        head: &FormerHead,
        leave: &EngineOrder,
        now: Moment,
        steps: &mut Vec<Step>,
    ) -> bool {
        let key = (group.group.clone(), head.incarnation);
        let of_incarnation =
            |it: &&Known| {
                it.server.vm != head.member.vm
                    && it.server.engine.membership.as_ref().is_some_and(|it| {
                        it.group == group.group && it.incarnation == head.incarnation
                    })
            };
        let members = self.known.values().filter(of_incarnation);
        let reachable: Vec<VmId> =
            members.filter(|it| !it.contact.is_lost()).map(|it| it.server.vm.clone()).collect();
        if reachable.is_empty() {
            // All others have left it, joined again or are gone: it stands still already.
            let notes = self.notes.entry(key).or_default();
            notes.member_left_at = notes.member_left_at.or(Some(now));
        }
        for vm in reachable {
            self.order(&vm, leave.clone(), now, steps);
        }
        false
    }

    /// Drops the former heads that are out of a group.
    fn prune_former_heads(&mut self, group: &mut PlannedGroup, now: Moment, steps: &mut Vec<Step>) {
        for head in std::mem::take(&mut group.former_heads) {
            if !self.is_out(group, &head, now, steps) {
                group.former_heads.push(head);
            }
        }
    }

    fn judge(&mut self, group: &PlannedGroup, spares: usize, now: Moment) -> Verdict {
        let key = (group.group.clone(), group.incarnation);
        let mut orders = Vec::new();
        let mut ready = 0;
        let mut has_slow_member = false;
        let mut leaving_at: Option<Moment> = None;
        let mut notes = self.notes.remove(&key).unwrap_or_default();
        let seen_at = *notes.seen_at.get_or_insert(now);
        let goes_on = group.head().is_some_and(|it| self.signs.contains(&it.vm));
        let verdict = 'verdict: {
            for (rank, member) in group.members.iter().enumerate() {
                let Some(known) = self.known.get(&member.vm) else {
                    // A new planner has to hear of the servers first.
                    if now.since(seen_at) < Duration::from_secs(1) {
                        continue;
                    }
                    break 'verdict Verdict::Replace(format!("{} is not listed", member.vm));
                };
                if known.server.engine.born_unix_ms != member.born_unix_ms {
                    break 'verdict Verdict::Replace(format!("{} was restarted", member.vm));
                }
                if known.contact.is_lost() && !goes_on {
                    break 'verdict Verdict::Replace(format!("{} does not answer", member.vm));
                }
                if rank == 0 && known.unlisted_at.is_some() {
                    break 'verdict Verdict::Replace(format!("head {} is not listed", member.vm));
                }
                leaving_at = leaving_at.max(known.leaving_at);
                has_slow_member |= known.contact.is_slow();
                match self.phase_in(&member.vm, group) {
                    Some(MemberPhase::Broken) => {
                        break 'verdict Verdict::Replace("the head is broken".to_owned());
                    }
                    Some(MemberPhase::Joining) => {}
                    Some(_) => {
                        ready += 1;
                        notes.ready.insert(member.vm.clone());
                    }
                    None if notes.ready.contains(&member.vm) => {
                        break 'verdict Verdict::Replace(format!("{} has left", member.vm));
                    }
                    None => {
                        let order = EngineOrder::Join {
                            group: group.group.clone(),
                            incarnation: group.incarnation,
                            model: group.model.clone(),
                            members: group.vms().cloned().collect(),
                        };
                        orders.push((member.vm.clone(), order));
                    }
                }
            }
            let is_whole = ready == group.members.len();
            let head_phase = group.head().and_then(|it| self.phase_in(&it.vm, group));
            if let Some(leaving_at) = leaving_at {
                let is_over = now.since(leaving_at) > CLOSE_TIMEOUT;
                break 'verdict match head_phase {
                    Some(MemberPhase::Open) if !is_over => {
                        let order = EngineOrder::Close {
                            group: group.group.clone(),
                            incarnation: group.incarnation,
                        };
                        let head = group.head().map(|it| it.vm.clone());
                        Verdict::Order(head.map(|it| (it, order)).into_iter().collect())
                    }
                    Some(MemberPhase::Closing) if !is_over => Verdict::Keep,
                    _ => Verdict::Replace("a member is leaving".to_owned()),
                };
            }
            if has_slow_member && spares > 0 {
                break 'verdict Verdict::Replace("a member is slow".to_owned());
            }
            if head_phase != Some(MemberPhase::Open) {
                // Only streams that this incarnation took tell anything of it.
                notes.suspect_since = None;
                notes.suspect_at = None;
            }
            let suspect_for = match (notes.suspect_since, notes.suspect_at) {
                (Some(since), Some(at)) => at.since(since),
                _ => Duration::ZERO,
            };
            if suspect_for > SUSPECT_TIMEOUT && !has_slow_member {
                break 'verdict Verdict::Replace("its streams stand still".to_owned());
            }
            if is_whole && head_phase == Some(MemberPhase::Ready) {
                let order = EngineOrder::Open {
                    group: group.group.clone(),
                    incarnation: group.incarnation,
                };
                let head = group.head().map(|it| it.vm.clone());
                break 'verdict Verdict::Order(head.map(|it| (it, order)).into_iter().collect());
            }
            if !is_whole {
                let load = self.engine.model(&group.model).map_or(Duration::ZERO, |it| it.load);
                if now.since(seen_at) > load * 4 + FORMING_MARGIN {
                    break 'verdict Verdict::Replace("forming takes too long".to_owned());
                }
            }
            Verdict::Order(orders)
        };
        self.notes.insert(key, notes);
        verdict
    }

    /// Gives an order unless the same one is under way.
    fn order(&mut self, vm: &VmId, order: EngineOrder, now: Moment, steps: &mut Vec<Step>) {
        let Some(known) = self.known.get_mut(vm) else { return };
        if let Some(given) = self.orders.get(vm) {
            let since = now.since(given.given_at);
            let is_same = given.order == order;
            let wait = match given.outcome {
                None => return,
                Some(OrderOutcome::Begun | OrderOutcome::Done) if is_same => EFFECT_TIMEOUT,
                Some(OrderOutcome::Begun | OrderOutcome::Done) => Duration::ZERO,
                Some(OrderOutcome::Refused | OrderOutcome::WrongServer) => REFUSED_RETRY,
                Some(OrderOutcome::NoProcess | OrderOutcome::Unknown) => UNANSWERED_RETRY,
            };
            if since < wait {
                return;
            }
        }
        let Some(orders_accepted) = known.orders_accepted else {
            known.contact.suspect();
            return;
        };
        if needs_load(&known.server, &order) && !self.loads.try_begin() {
            return;
        }
        steps.push(Step::Order {
            vm: vm.clone(),
            address: known.server.address,
            order: order.clone(),
            orders_accepted,
        });
        let given = GivenOrder { order, orders_accepted, given_at: now, outcome: None };
        self.orders.insert(vm.clone(), given);
    }

    fn vms_by_model(&self, drafts: &[Draft]) -> HashMap<ModelId, usize> {
        let is_drafted = |domain: &FabricDomain| drafts.iter().any(|it| it.domain == *domain);
        let others = self.plans.iter().filter(|(domain, _)| !is_drafted(domain));
        count_vms(others.map(|(_, it)| &it.plan).chain(drafts.iter().map(|it| &it.plan)))
    }

    fn form_groups(&self, draft: &mut Draft, vms: &mut HashMap<ModelId, usize>, now: Moment) {
        let grown_at = self.grown_at.get(&draft.domain);
        if grown_at.is_some_and(|it| now.since(*it) < SETTLE_TIME) {
            return;
        }
        // Members of a group that is given up will be free soon.
        if draft.plan.groups.iter().any(|it| it.is_dissolving && self.has_reachable_head(it)) {
            return;
        }
        loop {
            let free = self.free_vms(&draft.domain, &draft.plan);
            let Some(model) = packing::next_model(&self.engine, vms, free.len()) else { return };
            let members = self.choose_members(free, model.size, &model.model);
            let incarnation = self.next_incarnation(&draft.domain, &mut draft.plan);
            let Ok(group) = format!("{}.{incarnation}", draft.domain).parse::<GroupId>() else {
                return;
            };
            draft.reasons.push(format!("{group} formed for {}", model.model));
            *vms.entry(model.model.clone()).or_default() += members.len();
            draft.plan.groups.push(PlannedGroup {
                group,
                incarnation: Incarnation(incarnation),
                model: model.model.clone(),
                members,
                former_heads: Vec::new(),
                is_dissolving: false,
            });
        }
    }

    fn has_reachable_head(&self, group: &PlannedGroup) -> bool {
        let known = group.head().and_then(|it| self.known.get(&it.vm));
        known.is_some_and(|it| !it.contact.is_lost() && it.unlisted_at.is_none())
    }

    /// Prefers VMs that need the least time to join.
    fn choose_members(&self, free: Vec<VmId>, size: usize, model: &ModelId) -> Vec<PlannedMember> {
        let cost = |vm: &VmId| match self.known.get(vm).map(|it| &it.server.engine) {
            Some(it) if it.loaded.contains(model) => 0,
            Some(it) if it.staged.contains(model) => 1,
            Some(it) if it.staged.is_empty() => 2,
            _ => 3,
        };
        let mut free = free;
        free.sort_by_key(cost);
        free.truncate(size);
        let born = |vm: &VmId| self.known.get(vm).map_or(0, |it| it.server.engine.born_unix_ms);
        let member = |vm: VmId| PlannedMember { born_unix_ms: born(&vm), vm };
        free.into_iter().map(member).collect()
    }

    fn highest_incarnation(&self, domain: &FabricDomain) -> u64 {
        let in_domain =
            self.known.values().filter(|it| it.server.engine.domain.as_ref() == Some(domain));
        let seen = in_domain.filter_map(|it| it.server.engine.membership.as_ref());
        seen.map(|it| it.incarnation.0).max().unwrap_or_default()
    }

    fn finish(&mut self, draft: Draft, now: Moment, steps: &mut Vec<Step>) {
        let held = self.plans.entry(draft.domain.clone()).or_default();
        if held.plan != draft.plan {
            held.is_writing = true;
            steps.push(Step::Write {
                domain: draft.domain,
                plan: draft.plan,
                expected: draft.expected,
                reasons: draft.reasons,
            });
            return;
        }
        self.stage_spares(&draft, now, steps);
        self.end_stray_heads(&draft, now, steps);
    }

    /// Stages the weights of the domain's models on its spares, the largest model first.
    fn stage_spares(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        let mut models: Vec<&PlannedGroup> = draft.plan.groups.iter().collect();
        models.sort_by_key(|it| std::cmp::Reverse(it.members.len()));
        let mut wanted: Vec<ModelId> = Vec::new();
        for it in models {
            if !wanted.contains(&it.model) {
                wanted.push(it.model.clone());
            }
        }
        if wanted.is_empty() {
            return;
        }
        let mut unstaged = Vec::new();
        let mut staged: HashMap<ModelId, usize> = HashMap::new();
        for vm in self.free_vms(&draft.domain, &draft.plan) {
            let held = self.known.get(&vm).map(|it| it.server.engine.staged.clone());
            let held: Vec<ModelId> = held.unwrap_or_default();
            match wanted.iter().find(|it| held.contains(it)) {
                Some(model) if staged.get(model).is_none_or(|it| *it < 2) => {
                    *staged.entry(model.clone()).or_default() += 1;
                }
                _ => unstaged.push(vm),
            }
        }
        for vm in unstaged {
            let least = wanted.iter().min_by_key(|it| staged.get(it).copied().unwrap_or_default());
            let Some(model) = least.cloned() else { return };
            *staged.entry(model.clone()).or_default() += 1;
            self.order(&vm, EngineOrder::Stage { model }, now, steps);
        }
    }

    /// Takes heads out of groups that no plan names.
    fn end_stray_heads(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        let in_domain = self
            .known
            .values()
            .filter(|it| it.server.engine.domain.as_ref() == Some(&draft.domain));
        let stray = in_domain.filter(|it| {
            !draft.plan.holds(&it.server.vm) && it.unlisted_at.is_none() && self.heads_stray(it)
        });
        let leave = |it: &Known| {
            let membership = it.server.engine.membership.as_ref()?;
            let (group, incarnation) = (membership.group.clone(), membership.incarnation);
            Some((it.server.vm.clone(), EngineOrder::Leave { group, incarnation }))
        };
        let orders: Vec<(VmId, EngineOrder)> = stray.filter_map(leave).collect();
        for (vm, order) in orders {
            self.order(&vm, order, now, steps);
        }
    }

    fn probe(&mut self, now: Moment, steps: &mut Vec<Step>) {
        for (vm, known) in &mut self.known {
            if known.server.engine.domain.is_none() {
                continue;
            }
            if known.contact.ask(now) {
                let address = known.server.address;
                steps.push(Step::Probe(Probe { vm: vm.clone(), address }));
            }
        }
    }
}

/// Counts the members of the groups of each model.
fn count_vms<'a>(plans: impl Iterator<Item = &'a DomainPlan>) -> HashMap<ModelId, usize> {
    let mut vms = HashMap::new();
    for group in plans.flat_map(|it| &it.groups).filter(|it| !it.is_dissolving) {
        *vms.entry(group.model.clone()).or_default() += group.members.len();
    }
    vms
}

/// Returns whether a server was a member of an earlier incarnation whose head may still be open.
fn is_detained(known: &Known, plan: &DomainPlan) -> bool {
    known.server.engine.membership.as_ref().is_some_and(|membership| {
        plan.groups.iter().any(|it| it.group == membership.group && !it.former_heads.is_empty())
    })
}

#[derive(Debug)]
struct Draft {
    domain: FabricDomain,
    plan: DomainPlan,
    expected: Revision,
    reasons: Vec<String>,
}

/// Returns whether an order makes a server fetch weights from the weight store.
fn needs_load(server: &BackendServer, order: &EngineOrder) -> bool {
    let model = match order {
        EngineOrder::Join { model, .. } | EngineOrder::Stage { model } => model,
        EngineOrder::Open { .. } | EngineOrder::Close { .. } | EngineOrder::Leave { .. } => {
            return false;
        }
    };
    !server.engine.staged.contains(model) && !server.engine.loaded.contains(model)
}
