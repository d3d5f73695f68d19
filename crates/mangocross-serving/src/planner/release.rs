//! Sees to it that groups that are dissolved, or re-formed, no longer serve.

use std::time::Duration;

use mangocross_types::VmId;

use super::FormerHead;
use super::GroupPlanner;
use super::Known;
use super::PlannedGroup;
use super::Step;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;

/// Added to the time after which a head without a member is broken.
const STALL_MARGIN: Duration = Duration::from_millis(500);

impl GroupPlanner {
    /// Returns whether a group that is dissolved can no longer serve, so that its members are free.
    pub(super) fn is_released(
        &mut self,
        group: &PlannedGroup,
        now: Moment,
        steps: &mut Vec<Step>,
    ) -> bool {
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
    pub(super) fn is_out(
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
    pub(super) fn leave_by_member(
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
        let members: Vec<&Known> = self.known.values().filter(of_incarnation).collect();
        let reachable: Vec<VmId> = members
            .iter()
            .filter(|it| !it.contact.is_lost())
            .map(|it| it.server.vm.clone())
            .collect();
        // A listed server that does not answer this VM may still answer its head.
        let may_go_on =
            members.iter().any(|it| it.unlisted_at.is_none() && !it.contact.has_no_process());
        if !may_go_on {
            // All others have left it, joined again or are gone: it is stalled already.
            let notes = self.notes.entry(key).or_default();
            notes.member_left_at = notes.member_left_at.or(Some(now));
        }
        for vm in reachable {
            self.order(&vm, leave.clone(), now, steps);
        }
        false
    }

    /// Drops the former heads that are out of a group.
    pub(super) fn prune_former_heads(
        &mut self,
        group: &mut PlannedGroup,
        now: Moment,
        steps: &mut Vec<Step>,
    ) {
        for head in std::mem::take(&mut group.former_heads) {
            if !self.is_out(group, &head, now, steps) {
                group.former_heads.push(head);
            }
        }
    }
}
