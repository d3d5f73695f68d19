//! Ensures that dissolved groups and earlier incarnations of re-formed groups stop serving.

use std::collections::HashSet;
use std::fmt;

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::VmId;

use super::FormerHead;
use super::GroupKey;
use super::GroupPlanner;
use super::PlannedGroup;
use super::PlannedMember;
use super::PlannerAction;
use super::TrackedServer;
use super::UNLISTED_RETENTION;
use super::repair::CLOSE_TIMEOUT;
use crate::Attendance;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;
use crate::StopProof;
use crate::stop_proof;

/// Why a dissolved group is removed from the plan.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReleaseReason {
    /// Its heads have stopped, so that its members are free.
    Stopped(StopProof),
    /// None of its servers is known any more; one that comes back is free once its head has stopped.
    Forgotten,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stopped(proof) => proof.fmt(f),
            Self::Forgotten => f.write_str("none of its servers is known any more"),
        }
    }
}

impl GroupPlanner {
    /// Orders the head and the former heads of a dissolving group to leave.
    ///
    /// Returns why the group may be removed from the plan, once it may.
    pub(super) fn try_release(
        &mut self,
        group: &PlannedGroup,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<ReleaseReason> {
        let mut heads = group.former_heads.clone();
        // If an adopted group has taken over the head, it is a former one, and the first member that is
        // left is no head.
        let has_lost_head = heads.iter().any(|it| it.incarnation == group.incarnation);
        if let Some(head) = group.head().cloned().filter(|_| !has_lost_head) {
            if self.finishes_answers(group, &head.vm, now, actions) {
                return None;
            }
            heads.push(FormerHead { member: head, incarnation: group.incarnation });
        }
        let mut reason = Some(ReleaseReason::Forgotten);
        for head in &heads {
            let is_current = head.incarnation == group.incarnation;
            let members = if is_current { group.members.as_slice() } else { &[] };
            let of_head = match self.try_stop_head(&group.group, head, members, now, actions) {
                Some(proof) => Some(ReleaseReason::Stopped(proof)),
                None => self
                    .is_forgotten(&group.group, head, members, now)
                    .then_some(ReleaseReason::Forgotten),
            };
            reason = reason.and(of_head);
        }
        reason
    }

    /// Returns whether the head of a dissolving group may finish its requests. Closes it first.
    ///
    /// A group that lacks a member makes no progress, so it is not waited for.
    fn finishes_answers(
        &mut self,
        group: &PlannedGroup,
        head: &VmId,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> bool {
        let key = (group.group.clone(), group.incarnation);
        let dissolving_at =
            *self.group_states.entry(key).or_default().dissolving_at.get_or_insert(now);
        let works = |it: &PlannedMember| {
            self.servers.get(&it.vm).is_some_and(|tracked| {
                tracked.server.engine.born_unix_ms == it.born_unix_ms
                    && !tracked.health.is_unresponsive()
            })
        };
        if now.since(dissolving_at) > CLOSE_TIMEOUT || !group.members.iter().all(works) {
            return false;
        }
        match self.phase_in(head, group) {
            Some(MemberPhase::Open) => {
                let order = EngineOrder::Close {
                    group: group.group.clone(),
                    incarnation: group.incarnation,
                };
                self.send_order(head, order, now, actions);
                true
            }
            Some(MemberPhase::Closing) => true,
            Some(MemberPhase::Joining | MemberPhase::Ready | MemberPhase::Broken) | None => false,
        }
    }

    /// Returns what proves that a head has stopped. If nothing does, orders it to leave, or its members
    /// if it is unreachable.
    ///
    /// `members` are the members of the incarnation that the plan names.
    pub(super) fn try_stop_head(
        &mut self,
        group: &GroupId,
        head: &FormerHead,
        members: &[PlannedMember],
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<StopProof> {
        let vm = &head.member.vm;
        let incarnation = head.incarnation;
        let lacks_member = self.lacks_member(group, head, members);
        let attendance = self.attendance(&head.member, group, incarnation);
        let state = self.group_states.entry((group.clone(), incarnation)).or_default();
        state.proof_sought_at.get_or_insert(now);
        if lacks_member {
            state.absent_since.get_or_insert(now);
        }
        let proof = state
            .stop_proof
            .or_else(|| stop_proof(attendance, state.absent_since, self.stall_timeout, now));
        state.stop_proof = proof;
        if proof.is_some() {
            return proof;
        }
        if self.servers.get(vm).is_none_or(|it| it.health.is_unresponsive()) {
            self.order_members_to_leave(group, incarnation, Some(vm), now, actions);
            return None;
        }
        let leave = EngineOrder::Leave { group: group.clone(), incarnation };
        self.send_order(vm, leave, now, actions);
        None
    }

    /// Returns whether another member of a head's incarnation is known to be out of it.
    fn lacks_member(&self, group: &GroupId, head: &FormerHead, members: &[PlannedMember]) -> bool {
        let state = self.group_states.get(&(group.clone(), head.incarnation));
        let ready = state.into_iter().flat_map(|it| &it.ready);
        let ready = ready.map(|(vm, born_unix_ms)| PlannedMember {
            vm: vm.clone(),
            born_unix_ms: *born_unix_ms,
        });
        let mut others = members.iter().cloned().chain(ready).filter(|it| it.vm != head.member.vm);
        others.any(|it| self.is_out(&it, group, head.incarnation))
    }

    /// Returns whether a member of an incarnation is known to be out of it.
    pub(super) fn is_out(
        &self,
        member: &PlannedMember,
        group: &GroupId,
        incarnation: Incarnation,
    ) -> bool {
        let attendance = self.attendance(member, group, incarnation);
        matches!(attendance, Attendance::Elsewhere | Attendance::Restarted)
    }

    /// Returns whether all servers that may be in a head's incarnation have been unknown for so long
    /// that the plan need not name it any more.
    ///
    /// This does not prove that the head has stopped: one that comes back is judged by its own report.
    fn is_forgotten(
        &self,
        group: &GroupId,
        head: &FormerHead,
        members: &[PlannedMember],
        now: Moment,
    ) -> bool {
        let key = (group.clone(), head.incarnation);
        let sought_at = self.group_states.get(&key).and_then(|it| it.proof_sought_at);
        sought_at.is_some_and(|it| now.since(it) > UNLISTED_RETENTION)
            && !self.servers.contains_key(&head.member.vm)
            && members.iter().all(|it| !self.servers.contains_key(&it.vm))
            && !self.servers.values().any(|it| it.reports_incarnation(group, head.incarnation))
    }

    /// Returns where the process of a member of an incarnation is.
    fn attendance(
        &self,
        member: &PlannedMember,
        group: &GroupId,
        incarnation: Incarnation,
    ) -> Attendance {
        let tracked = self.servers.get(&member.vm);
        let reports = tracked.map(TrackedServer::reports).unwrap_or_default();
        reports.attendance(member.born_unix_ms, group, incarnation)
    }

    /// Returns what proves that the head of an incarnation has stopped, whichever server it is.
    pub(super) fn known_stop_proof(
        &self,
        group: &GroupId,
        incarnation: Incarnation,
        now: Moment,
    ) -> Option<StopProof> {
        let state = self.group_states.get(&(group.clone(), incarnation))?;
        state.stop_proof.or_else(|| {
            stop_proof(Attendance::Unknown, state.absent_since, self.stall_timeout, now)
        })
    }

    /// Orders the other members of an incarnation whose head is unreachable or unknown to leave, so
    /// that the head lacks a member and becomes broken.
    pub(super) fn order_members_to_leave(
        &mut self,
        group: &GroupId,
        incarnation: Incarnation,
        head: Option<&VmId>,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let is_reachable = |it: &&TrackedServer| {
            Some(&it.server.vm) != head
                && it.reports_incarnation(group, incarnation)
                && !it.health.is_unresponsive()
        };
        let reachable = self.servers.values().filter(is_reachable);
        let reachable: Vec<VmId> = reachable.map(|it| it.server.vm.clone()).collect();
        for vm in reachable {
            let leave = EngineOrder::Leave { group: group.clone(), incarnation };
            self.send_order(&vm, leave, now, actions);
        }
    }

    /// Removes the observations of incarnations that neither a plan nor a server names any more.
    pub(super) fn prune_group_states(&mut self) {
        let planned = self.plans.values().flat_map(|it| &it.plan.groups).flat_map(|group| {
            let former = group.former_heads.iter().map(|it| it.incarnation);
            let incarnations = former.chain([group.incarnation]);
            incarnations.map(|it| (group.group.clone(), it))
        });
        let reported = self.servers.values().flat_map(TrackedServer::memberships);
        let reported = reported.map(|(_, it)| (it.group.clone(), it.incarnation));
        let foreign = self.foreign.values().map(|it| it.group.clone());
        let named: HashSet<GroupKey> = planned.chain(reported).chain(foreign).collect();
        self.group_states.retain(|key, _| named.contains(key));
    }

    /// Removes the former heads of a group that have stopped, and those that are forgotten.
    pub(super) fn prune_former_heads(
        &mut self,
        group: &mut PlannedGroup,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        for head in std::mem::take(&mut group.former_heads) {
            let proof = self.try_stop_head(&group.group, &head, &[], now, actions);
            if proof.is_none() && !self.is_forgotten(&group.group, &head, &[], now) {
                group.former_heads.push(head);
            }
        }
    }
}
