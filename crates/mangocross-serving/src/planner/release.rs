//! Ensures that dissolved groups and earlier incarnations of re-formed groups stop serving.

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::VmId;

use super::FormerHead;
use super::GroupPlanner;
use super::PlannedGroup;
use super::PlannedMember;
use super::PlannerAction;
use super::TrackedServer;
use super::repair::CLOSE_TIMEOUT;
use crate::Attendance;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;
use crate::StopProof;
use crate::stop_proof;

impl GroupPlanner {
    /// Orders the head and the former heads of a dissolving group to leave.
    ///
    /// Returns what shows that the last of them has stopped if all have, so that the members are free.
    pub(super) fn try_release(
        &mut self,
        group: &PlannedGroup,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<StopProof> {
        let mut heads = group.former_heads.clone();
        if let Some(head) = group.head().cloned() {
            if self.finishes_answers(group, &head.vm, now, actions) {
                return None;
            }
            heads.push(FormerHead { member: head, incarnation: group.incarnation });
        }
        let mut proof = Some(StopProof::Left);
        for head in &heads {
            let of_head = self.try_stop_head(&group.group, head, now, actions);
            proof = proof.and(of_head);
        }
        proof
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

    /// Returns what shows that a head has stopped. If nothing does, orders it to leave, or its members
    /// if it is unreachable.
    pub(super) fn try_stop_head(
        &mut self,
        group: &GroupId,
        head: &FormerHead,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<StopProof> {
        let vm = &head.member.vm;
        let incarnation = head.incarnation;
        let proof = self.known_stop_proof(group, incarnation, now);
        if proof.is_some() {
            return proof;
        }
        let attendance = self.attendance(&head.member, group, incarnation);
        let proof = stop_proof(attendance, None, self.stall_timeout, now);
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

    /// Returns what proved before that the head of an incarnation has stopped, or that it has lacked a
    /// member for so long that it must be broken.
    pub(super) fn known_stop_proof(
        &self,
        group: &GroupId,
        incarnation: Incarnation,
        now: Moment,
    ) -> Option<StopProof> {
        let state = self.group_states.get(&(group.clone(), incarnation))?;
        let absent_since = state.incomplete_since;
        let stalled = stop_proof(Attendance::Unknown, absent_since, self.stall_timeout, now);
        let stalled =
            stalled.map(|it| if state.is_absence_seen { it } else { StopProof::NoMemberKnown });
        state.stop_proof.or(stalled)
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
        let key = (group.clone(), incarnation);
        let is_in_incarnation = |it: &&TrackedServer| {
            Some(&it.server.vm) != head
                && it
                    .server
                    .engine
                    .membership
                    .as_ref()
                    .is_some_and(|it| it.group == *group && it.incarnation == incarnation)
        };
        let members: Vec<&TrackedServer> =
            self.servers.values().filter(is_in_incarnation).collect();
        let reachable: Vec<VmId> = members
            .iter()
            .filter(|it| !it.health.is_unresponsive())
            .map(|it| it.server.vm.clone())
            .collect();
        // A listed server that does not respond to this VM, or to which connections are refused, may
        // still be connected to its head.
        let may_still_serve =
            members.iter().any(|it| it.unlisted_at.is_none() || !it.health.is_unresponsive());
        if !may_still_serve {
            // All other members have left, joined another incarnation or stopped, so the head
            // already lacks a member.
            let state = self.group_states.entry(key).or_default();
            state.incomplete_since = state.incomplete_since.or(Some(now));
        }
        for vm in reachable {
            let leave = EngineOrder::Leave { group: group.clone(), incarnation };
            self.send_order(&vm, leave, now, actions);
        }
    }

    /// Removes the former heads of a group that have stopped.
    pub(super) fn prune_former_heads(
        &mut self,
        group: &mut PlannedGroup,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        for head in std::mem::take(&mut group.former_heads) {
            if self.try_stop_head(&group.group, &head, now, actions).is_none() {
                group.former_heads.push(head);
            }
        }
    }
}
