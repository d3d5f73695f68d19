//! VMs that are members of groups that the plan does not contain.

use std::collections::BTreeSet;

use mangocross_types::FabricDomain;
use mangocross_types::Rank;
use mangocross_types::VmId;

use super::DomainPlan;
use super::FormerHead;
use super::GroupKey;
use super::GroupPlanner;
use super::PlannedMember;
use super::PlannerAction;
use super::TrackedServer;
use super::repair::LIST_TIMEOUT;
use crate::Membership;
use crate::Moment;
use crate::StopProof;

/// A member of a group that the plan does not contain.
#[derive(Debug, Clone)]
pub(super) struct ForeignMember {
    /// Start time of the server process, in milliseconds of Unix time.
    born_unix_ms: u64,
    pub(super) group: GroupKey,
}

impl GroupPlanner {
    /// Ends the groups of a domain that its plan does not contain and that were not adopted, because
    /// no open head reports them. Their members are not free until then.
    ///
    /// The store has lost the plan of such a group, or the entry of its head is missing.
    pub(super) fn end_foreign_groups(
        &mut self,
        domain: &FabricDomain,
        plan: &DomainPlan,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let reported: Vec<(VmId, ForeignMember)> = self
            .in_domain(domain)
            .filter_map(|(vm, it)| Some((vm.clone(), self.foreign_member(it, plan)?)))
            .collect();
        self.foreign.extend(reported);
        self.record_foreign_absences(now);
        let in_domain: Vec<&VmId> = self.in_domain(domain).map(|(vm, _)| vm).collect();
        let known = |(vm, _): &(&VmId, &ForeignMember)| in_domain.contains(vm);
        let groups: BTreeSet<GroupKey> =
            self.foreign.iter().filter(known).map(|(_, it)| it.group.clone()).collect();
        let serves = |(group, incarnation): &GroupKey| {
            let mut planned = plan.groups.iter().filter(|it| !it.is_dissolving);
            planned.any(|it| it.group == *group && it.incarnation == *incarnation)
        };
        for key in groups.into_iter().filter(|it| !serves(it)) {
            if let Some(proof) = self.try_end_foreign_group(domain, &key, now, actions) {
                self.group_states.entry(key.clone()).or_default().stop_proof = Some(proof);
                self.foreign.retain(|_, it| it.group != key);
            }
        }
        let servers = &self.servers;
        self.foreign.retain(|vm, it| {
            // A member that the plan has by now is released with its group.
            !plan.contains(vm)
                && servers.get(vm).is_some_and(|tracked| tracked.has_started_at(it.born_unix_ms))
        });
    }

    /// Records which groups lack a member that has left them, by an order or for another group.
    fn record_foreign_absences(&mut self, now: Moment) {
        let absences = self.foreign.iter().filter(|(vm, it)| {
            let member = PlannedMember { vm: (*vm).clone(), born_unix_ms: it.born_unix_ms };
            self.is_out(&member, &it.group.0, it.group.1)
        });
        let groups: BTreeSet<GroupKey> = absences.map(|(_, it)| it.group.clone()).collect();
        for key in groups {
            self.group_states.entry(key).or_default().absent_since.get_or_insert(now);
        }
    }

    /// Returns what proves that the head of a group has stopped. If nothing does, orders the head, or the
    /// members if it is unknown, to leave.
    fn try_end_foreign_group(
        &mut self,
        domain: &FabricDomain,
        key: &GroupKey,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<StopProof> {
        let (group, incarnation) = key;
        let head = self.in_domain(domain).find_map(|(vm, it)| {
            let is_head = |(_, it): &(u64, &Membership)| {
                it.rank == Rank(0) && it.group == *group && it.incarnation == *incarnation
            };
            let (born_unix_ms, _) = it.memberships().find(is_head)?;
            Some(PlannedMember { vm: vm.clone(), born_unix_ms })
        });
        if let Some(member) = head {
            let head = FormerHead { member, incarnation: *incarnation };
            return self.try_stop_head(group, &head, &[], now, actions);
        }
        let proof = self.known_stop_proof(group, *incarnation, now);
        if proof.is_some() {
            return proof;
        }
        // The entry of the head may only be late.
        let state = self.group_states.entry(key.clone()).or_default();
        if now.since(*state.seen_at.get_or_insert(now)) >= LIST_TIMEOUT {
            self.order_members_to_leave(group, *incarnation, None, now, actions);
        }
        None
    }

    /// Returns whether a VM is a member of a group that is not in the plan and may not have ended.
    pub(super) fn is_foreign(&self, tracked: &TrackedServer, plan: &DomainPlan) -> bool {
        let has_left = || {
            let left = self.foreign.get(&tracked.server.vm);
            left.is_some_and(|it| tracked.has_started_at(it.born_unix_ms))
        };
        self.foreign_member(tracked, plan).is_some() || has_left()
    }

    /// Returns the group that a VM reports, if the plan does not have the VM and the group's head is not
    /// proved to have stopped, whether or not the plan has had the group.
    ///
    /// A VM that heads a group that is not open is in no group that may serve.
    fn foreign_member(&self, tracked: &TrackedServer, plan: &DomainPlan) -> Option<ForeignMember> {
        if plan.contains(&tracked.server.vm) {
            return None;
        }
        let member = tracked.memberships().filter(|(_, it)| it.rank != Rank(0));
        let mut members = member.map(|(born_unix_ms, it)| ForeignMember {
            born_unix_ms,
            group: (it.group.clone(), it.incarnation),
        });
        let is_proved = |it: &ForeignMember| {
            self.group_states.get(&it.group).is_some_and(|it| it.stop_proof.is_some())
        };
        members.find(|it| !is_proved(it))
    }
}

impl TrackedServer {
    fn has_started_at(&self, born_unix_ms: u64) -> bool {
        self.server.engine.born_unix_ms == born_unix_ms
    }
}
