//! Maintains groups: evaluates the state of each one and replaces lost members.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::VmId;

use super::DomainPlan;
use super::FormerHead;
use super::GroupPlanner;
use super::PlannedGroup;
use super::PlannedMember;
use super::PlannerAction;
use super::TrackedServer;
use super::adoption::first_incarnation;
use super::forming::PlanUpdate;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;

/// Time for a head to finish its requests before its group is dissolved although all members work.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for a head to finish its requests before a leaving member is replaced; a member stays for
/// ten seconds at most while the head has work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(9);
/// Time after which a new planner has the list of servers.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to four times the model's load time to get the time limit for forming a group.
const FORMING_MARGIN: Duration = Duration::from_secs(8);
/// Time after which a suspect group is re-formed even though all members respond.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Which spares may replace lost members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SpareUse {
    /// Only spares that have the weights loaded or staged.
    Prepared,
    /// Also spares that must load the weights from the weight store.
    All,
}

/// Result of the evaluation of a group.
pub(super) enum GroupAction {
    /// Nothing to do.
    Keep,
    /// Re-form the group under the same id, without its lost members, for the given reason.
    Reform(String),
    /// Send these orders.
    Order(Vec<(VmId, EngineOrder)>),
}

impl GroupPlanner {
    /// Releases dissolved groups, repairs the others and returns the resulting plan.
    pub(super) fn maintain_groups(
        &mut self,
        domain: &FabricDomain,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> PlanUpdate {
        let stored = &self.plans[domain];
        let mut update = PlanUpdate {
            domain: domain.clone(),
            plan: stored.plan.clone(),
            expected: stored.revision,
            reasons: Vec::new(),
        };
        if self.adopt_groups(&mut update) {
            return update;
        }
        let mut remaining = self.plans[domain].plan.clone();
        let groups = std::mem::take(&mut update.plan.groups);
        let (dissolving, groups): (Vec<_>, Vec<_>) =
            groups.into_iter().partition(|it| it.is_dissolving);
        for group in dissolving {
            if let Some(reason) = self.try_release(&group, now, actions) {
                update.reasons.push(format!("{} released: {reason}", group.group));
                remaining.groups.retain(|it| it.group != group.group);
            } else {
                update.plan.groups.push(group);
            }
        }
        self.end_foreign_groups(domain, &remaining, now, actions);
        let mut spares = self.free_vms(domain, &remaining);
        let mut awaited_spares = 0;
        let mut unrepaired = Vec::new();
        for mut group in groups {
            let incarnation = group.incarnation;
            let prepared = spares.iter().filter(|it| self.is_prepared(it, &group.model)).count();
            // A spare for which a group is closed closes no other one.
            let action = self.evaluate_group(&group, prepared.saturating_sub(awaited_spares), now);
            awaited_spares += usize::from(self.is_closed_for_slowness(&group));
            match action {
                GroupAction::Keep => {}
                GroupAction::Reform(reason) => {
                    let spare_use = SpareUse::Prepared;
                    if !self.reform(&mut update, &mut group, &mut spares, spare_use, &reason) {
                        unrepaired.push((group.group.clone(), reason));
                    }
                }
                GroupAction::Order(orders) => {
                    for (vm, order) in orders {
                        self.send_order(&vm, order, now, actions);
                    }
                }
            }
            // Orders are derived from the stored plan only, never from a pending update.
            if !group.is_dissolving && group.incarnation == incarnation {
                self.prune_former_heads(&mut group, now, actions);
            }
            update.plan.groups.push(group);
        }
        self.repair_without_prepared_spares(&mut update, unrepaired, &mut spares);
        update
    }

    /// Repairs groups that prepared spares could not complete, the largest first: dissolves another
    /// group for them, re-forms them with any spares, or dissolves them.
    fn repair_without_prepared_spares(
        &self,
        update: &mut PlanUpdate,
        mut unrepaired: Vec<(GroupId, String)>,
        spares: &mut Vec<VmId>,
    ) {
        let size = |update: &PlanUpdate, id: &GroupId| {
            let group = update.plan.groups.iter().find(|it| it.group == *id);
            group.map_or(0, |it| it.members.len())
        };
        unrepaired.sort_by_key(|(id, _)| Reverse(size(update, id)));
        let ids: Vec<GroupId> = unrepaired.iter().map(|(id, _)| id.clone()).collect();
        for (id, reason) in unrepaired {
            // Wait for members that are about to be released by a group that is being dissolved.
            if self.frees_members(&update.plan) {
                return;
            }
            if let Some(donor) = self.choose_donor(update, &id, &ids) {
                let donor = &mut update.plan.groups[donor];
                donor.is_dissolving = true;
                update.reasons.push(format!("{} dissolved: {id} lacks members", donor.group));
                return;
            }
            let Some(at) = update.plan.groups.iter().position(|it| it.group == id) else {
                continue;
            };
            let mut group = update.plan.groups.remove(at);
            if !self.reform(update, &mut group, spares, SpareUse::All, &reason) {
                update.reasons.push(format!("{id} dissolved: {reason}"));
                group.is_dissolving = true;
            }
            update.plan.groups.insert(at, group);
        }
    }

    /// Re-forms a group without its lost members; returns false if there are too few spares.
    fn reform(
        &self,
        update: &mut PlanUpdate,
        group: &mut PlannedGroup,
        spares: &mut Vec<VmId>,
        spare_use: SpareUse,
        reason: &str,
    ) -> bool {
        let is_repaired = self.replace_lost_members(&update.domain, group, spares, spare_use);
        if is_repaired {
            update.reasons.push(format!("{} re-formed: {reason}", group.group));
            let incarnation = self.next_incarnation(&update.domain, &mut update.plan);
            group.incarnation = Incarnation(incarnation);
        }
        is_repaired
    }

    /// Replaces the lost members of a group with spares of its domain.
    ///
    /// The remaining members join a new incarnation of the group and thereby leave the
    /// old one, so that an unreachable old head stalls. Returns false if no member remains
    /// or there are too few spares.
    pub(super) fn replace_lost_members(
        &self,
        domain: &FabricDomain,
        group: &mut PlannedGroup,
        spares: &mut Vec<VmId>,
        spare_use: SpareUse,
    ) -> bool {
        let mut usable_spares = spares.clone();
        if spare_use == SpareUse::Prepared {
            usable_spares.retain(|it| self.is_prepared(it, &group.model));
        }
        let is_kept = |it: &&PlannedMember, is_fit: &dyn Fn(&TrackedServer) -> bool| {
            self.servers.get(&it.vm).is_some_and(|tracked| {
                is_fit(tracked)
                    && tracked.server.engine.born_unix_ms == it.born_unix_ms
                    && tracked.server.engine.domain.as_ref() == Some(domain)
            })
        };
        let usable = |it: &TrackedServer| self.is_usable(it);
        let responds = |it: &TrackedServer| {
            it.unlisted_at.is_some() && it.leaving_at.is_none() && !it.health.is_unresponsive()
        };
        let members = || group.members.iter();
        let mut survivors: Vec<PlannedMember> =
            members().filter(|it| is_kept(it, &usable)).cloned().collect();
        if survivors.is_empty() {
            return false;
        }
        // A member that is no longer listed but responds has only lost its connection to the store.
        // It still works, but must not be the head.
        let unlisted = members().filter(|it| is_kept(it, &responds)).cloned();
        let size = self.full_size(group);
        survivors.extend(unlisted.take(size - survivors.len()));
        let missing = size - survivors.len();
        if missing > usable_spares.len() {
            return false;
        }
        if let Some(head) = group.head().cloned() {
            let incarnation = group.incarnation;
            group.former_heads.push(FormerHead { member: head, incarnation });
        }
        let added = self.choose_members(usable_spares, missing, &group.model);
        spares.retain(|vm| added.iter().all(|it| it.vm != *vm));
        group.members = survivors;
        group.members.extend(added);
        true
    }

    /// Returns whether a member is still the server process that was planned, and is usable.
    pub(super) fn is_usable_member(&self, member: &PlannedMember) -> bool {
        self.servers.get(&member.vm).is_some_and(|it| {
            self.is_usable(it) && it.server.engine.born_unix_ms == member.born_unix_ms
        })
    }

    /// Allocates the incarnation of the next group in a domain.
    pub(super) fn next_incarnation(&self, domain: &FabricDomain, plan: &mut DomainPlan) -> u64 {
        let incarnation = plan
            .next_incarnation
            .max(self.highest_incarnation(domain) + 1)
            .max(first_incarnation(self.era));
        plan.next_incarnation = incarnation + 1;
        incarnation
    }

    /// Determines what a group needs; `prepared` is the number of prepared spares for its model.
    pub(super) fn evaluate_group(
        &mut self,
        group: &PlannedGroup,
        prepared: usize,
        now: Moment,
    ) -> GroupAction {
        let key = (group.group.clone(), group.incarnation);
        let mut orders = Vec::new();
        let mut ready = 0;
        let mut has_slow_member = false;
        // A server that leaves, with or without notice, goes on for a while.
        let mut leaving_at: Option<Moment> = None;
        let mut leaving_reason = Cow::Borrowed("a member is leaving");
        let lacks_members = self.lacks_members(group);
        let mut state = self.group_states.remove(&key).unwrap_or_default();
        let seen_at = *state.seen_at.get_or_insert(now);
        let slow_since = state.slow_since.take();
        let is_progressing = group.head().is_some_and(|it| self.progressing.contains(&it.vm));
        let action = 'evaluation: {
            for (rank, member) in group.members.iter().enumerate() {
                let Some(tracked) = self.servers.get(&member.vm) else {
                    // A new planner may not have received the list of servers yet.
                    if now.since(seen_at) < LIST_TIMEOUT {
                        continue;
                    }
                    leaving_at = leaving_at.max(Some(seen_at + LIST_TIMEOUT));
                    leaving_reason = Cow::Owned(format!("{} is not listed", member.vm));
                    continue;
                };
                if tracked.server.engine.born_unix_ms != member.born_unix_ms {
                    break 'evaluation GroupAction::Reform(format!("{} was restarted", member.vm));
                }
                if tracked.health.is_lost(now) && !is_progressing {
                    break 'evaluation GroupAction::Reform(format!(
                        "{} does not answer",
                        member.vm
                    ));
                }
                if rank == 0 && tracked.unlisted_at.is_some() {
                    leaving_at = leaving_at.max(tracked.unlisted_at);
                    leaving_reason = Cow::Owned(format!("head {} is not listed", member.vm));
                }
                leaving_at = leaving_at.max(tracked.leaving_at);
                has_slow_member |= tracked.health.is_slow();
                match self.phase_in(&member.vm, group) {
                    Some(MemberPhase::Broken) => {
                        break 'evaluation GroupAction::Reform("the head is broken".to_owned());
                    }
                    Some(MemberPhase::Joining) => {}
                    Some(_) => {
                        ready += 1;
                        state.ready.insert(member.vm.clone(), member.born_unix_ms);
                    }
                    None if state.ready.contains_key(&member.vm) || lacks_members => {
                        break 'evaluation GroupAction::Reform(format!("{} has left", member.vm));
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
            if lacks_members && now.since(seen_at) >= LIST_TIMEOUT {
                leaving_at = leaving_at.max(Some(seen_at + LIST_TIMEOUT));
                leaving_reason = Cow::Borrowed("a member is unknown");
            }
            let is_whole = ready == group.members.len();
            let head_phase = group.head().and_then(|it| self.phase_in(&it.vm, group));
            if let Some(leaving_at) = leaving_at {
                let is_overdue = now.since(leaving_at) > LEAVE_TIMEOUT;
                self.probe_unlisted_head(group);
                let reason = leaving_reason.into_owned();
                break 'evaluation finish_and_reform(group, head_phase, is_overdue, reason);
            }
            if has_slow_member && prepared > 0 {
                let slow_since = *state.slow_since.insert(slow_since.unwrap_or(now));
                let is_overdue = now.since(slow_since) > CLOSE_TIMEOUT;
                let reason = "a member is slow".to_owned();
                break 'evaluation finish_and_reform(group, head_phase, is_overdue, reason);
            }
            if head_phase != Some(MemberPhase::Open) {
                // Only streams of this incarnation are evidence against it.
                state.first_suspected_at = None;
                state.last_suspected_at = None;
            }
            let suspected_for = match (state.first_suspected_at, state.last_suspected_at) {
                (Some(since), Some(at)) => at.since(since),
                _ => Duration::ZERO,
            };
            if suspected_for > SUSPECT_TIMEOUT && !has_slow_member && !is_progressing {
                break 'evaluation GroupAction::Reform("its streams are stalled".to_owned());
            }
            if is_whole && head_phase == Some(MemberPhase::Ready) {
                let order = EngineOrder::Open {
                    group: group.group.clone(),
                    incarnation: group.incarnation,
                };
                let head = group.head().map(|it| it.vm.clone());
                break 'evaluation GroupAction::Order(
                    head.map(|it| (it, order)).into_iter().collect(),
                );
            }
            if !is_whole {
                let load_time =
                    self.engine_spec.model(&group.model).map_or(Duration::ZERO, |it| it.load_time);
                if now.since(seen_at) > load_time * 4 + FORMING_MARGIN {
                    break 'evaluation GroupAction::Reform("forming takes too long".to_owned());
                }
            }
            GroupAction::Order(orders)
        };
        self.group_states.insert(key, state);
        action
    }

    /// Returns whether a group finishes its requests so that a spare replaces its slow member.
    fn is_closed_for_slowness(&self, group: &PlannedGroup) -> bool {
        let state = self.group_states.get(&(group.group.clone(), group.incarnation));
        state.is_some_and(|it| it.slow_since.is_some())
    }

    /// Makes the next probe of a group's head urgent if nothing else tells its phase.
    fn probe_unlisted_head(&mut self, group: &PlannedGroup) {
        let head = group.head().and_then(|it| self.servers.get_mut(&it.vm));
        if let Some(tracked) = head
            && tracked.unlisted_at.is_some()
        {
            tracked.health.probe_soon();
        }
    }
}

/// Closes a group that is to be re-formed, and re-forms it when its head has finished or the time
/// for that is over.
fn finish_and_reform(
    group: &PlannedGroup,
    head_phase: Option<MemberPhase>,
    is_overdue: bool,
    reason: String,
) -> GroupAction {
    match head_phase {
        Some(MemberPhase::Open) if !is_overdue => {
            let order =
                EngineOrder::Close { group: group.group.clone(), incarnation: group.incarnation };
            let head = group.head().map(|it| it.vm.clone());
            GroupAction::Order(head.map(|it| (it, order)).into_iter().collect())
        }
        Some(MemberPhase::Closing) if !is_overdue => GroupAction::Keep,
        _ => GroupAction::Reform(reason),
    }
}
