//! Adopts groups whose plan the store has lost.

use std::collections::BTreeMap;
use std::collections::HashSet;

use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::StoreEra;

use super::FormerHead;
use super::GroupPlanner;
use super::PlannedGroup;
use super::PlannedMember;
use super::forming::PlanUpdate;
use crate::Membership;

/// Incarnations that are set aside for each era of the store.
///
/// A plan that the store has lost may have given out incarnations that no server reports yet.
const INCARNATIONS_PER_ERA: u64 = 1_000_000;

/// Returns the lowest incarnation that is given out in an era.
pub(super) fn first_incarnation(era: StoreEra) -> u64 {
    era.0.saturating_mul(INCARNATIONS_PER_ERA)
}

impl GroupPlanner {
    /// Adds the groups to a plan that serve in its domain with incarnations that the plan has not
    /// allocated, with the members that report them.
    ///
    /// A plan is written before the first order, so the store has lost the one that formed such a
    /// group. Planned groups that it replaced or took members from are dissolved. A member that does
    /// not report the group may have ended, or its entry is late; it is added when it reports it.
    /// Returns whether there are such groups.
    pub(super) fn adopt_groups(&mut self, update: &mut PlanUpdate) -> bool {
        let mut has_adopted = self.complete_groups(update);
        let next_incarnation = update.plan.next_incarnation;
        let mut heads: BTreeMap<GroupId, Vec<(Incarnation, PlannedMember)>> = BTreeMap::new();
        for (vm, tracked) in self.in_domain(&update.domain) {
            let engine = &tracked.server.engine;
            let Some(membership) = &engine.membership else { continue };
            let Membership { group, incarnation, .. } = membership;
            if membership.is_active_head() && incarnation.0 >= next_incarnation {
                let head = PlannedMember { vm: vm.clone(), born_unix_ms: engine.born_unix_ms };
                heads.entry(group.clone()).or_default().push((*incarnation, head));
            }
        }
        for (group, mut heads) in heads {
            heads.sort_by_key(|(incarnation, _)| *incarnation);
            let Some((incarnation, _)) = heads.pop() else { continue };
            let Some((mut adopted, is_whole)) = self.reported_group(update, &group, incarnation)
            else {
                continue;
            };
            let key = (group.clone(), incarnation);
            self.group_states.entry(key).or_default().lacks_members = !is_whole;
            let former = heads.into_iter();
            adopted.former_heads =
                former.map(|(incarnation, member)| FormerHead { member, incarnation }).collect();
            update.reasons.push(format!("{group} adopted"));
            update.plan.next_incarnation = update.plan.next_incarnation.max(incarnation.0 + 1);
            add_adopted(&mut update.plan.groups, adopted);
            has_adopted = true;
        }
        has_adopted
    }

    /// Adds members to groups that were adopted before all of them had reported it. Returns whether
    /// there are such members.
    fn complete_groups(&mut self, update: &mut PlanUpdate) -> bool {
        let mut completed = Vec::new();
        let unplanned: HashSet<(&GroupId, Incarnation)> = self
            .in_domain(&update.domain)
            .filter(|(vm, _)| !update.plan.contains(vm))
            .filter_map(|(_, it)| it.server.engine.membership.as_ref())
            .map(|it| (&it.group, it.incarnation))
            .collect();
        let incomplete =
            |it: &&PlannedGroup| !it.is_dissolving && it.members.len() < self.full_size(it);
        let planned = update.plan.groups.iter().filter(incomplete);
        for group in planned.filter(|it| unplanned.contains(&(&it.group, it.incarnation))) {
            let reported = self.reported_group(update, &group.group, group.incarnation);
            let Some((reported, is_whole)) = reported else { continue };
            let has_all = group.members.iter().all(|it| reported.members.contains(it));
            if has_all && reported.members.len() > group.members.len() {
                completed.push((reported, is_whole));
            }
        }
        let has_completed = !completed.is_empty();
        for (reported, is_whole) in completed {
            let key = (reported.group.clone(), reported.incarnation);
            self.group_states.entry(key).or_default().lacks_members = !is_whole;
            update.reasons.push(format!("{} completed", reported.group));
            let planned = update.plan.groups.iter_mut().find(|it| it.group == reported.group);
            if let Some(planned) = planned {
                planned.members = reported.members;
            }
        }
        has_completed
    }

    /// Returns the size of a group with the members that the plan does not name.
    pub(super) fn full_size(&self, group: &PlannedGroup) -> usize {
        let size = self.engine_spec.model(&group.model).map_or(0, |it| it.group_size);
        size.max(group.members.len())
    }

    /// Returns whether a planned group has a member that the plan does not name.
    pub(super) fn lacks_members(&self, group: &PlannedGroup) -> bool {
        let state = self.group_states.get(&(group.group.clone(), group.incarnation));
        let has_other_rank = |(rank, member): (usize, &PlannedMember)| {
            self.membership(&member.vm).is_some_and(|it| {
                it.group == group.group
                    && it.incarnation == group.incarnation
                    && usize::from(it.rank.0) != rank
            })
        };
        state.is_some_and(|it| it.lacks_members)
            || group.members.iter().enumerate().any(has_other_rank)
    }

    /// Returns a group as its head and other members report it, and whether all of them do.
    fn reported_group(
        &self,
        update: &PlanUpdate,
        group: &GroupId,
        incarnation: Incarnation,
    ) -> Option<(PlannedGroup, bool)> {
        let mut members: Vec<(Rank, PlannedMember)> = Vec::new();
        let mut model = None;
        for (vm, tracked) in self.in_domain(&update.domain) {
            let engine = &tracked.server.engine;
            let membership = engine.membership.as_ref();
            let is_member = |it: &&Membership| it.group == *group && it.incarnation == incarnation;
            let Some(membership) = membership.filter(is_member) else { continue };
            let member = PlannedMember { vm: vm.clone(), born_unix_ms: engine.born_unix_ms };
            members.push((membership.rank, member));
            if membership.rank == Rank(0) {
                model = engine.loaded.iter().find_map(|it| self.engine_spec.model(it));
            }
        }
        members.sort_by_key(|(rank, _)| *rank);
        // A server that has started again answers at the address of its former entry, too, so two ids
        // may report the same rank.
        members.dedup_by_key(|(rank, _)| *rank);
        let model = model?;
        let ranks = members.iter().map(|(rank, _)| usize::from(rank.0));
        let is_whole = ranks.eq(0..model.group_size);
        let group = PlannedGroup {
            group: group.clone(),
            incarnation,
            model: model.model.clone(),
            members: members.into_iter().map(|(_, it)| it).collect(),
            former_heads: Vec::new(),
            is_dissolving: false,
        };
        Some((group, is_whole))
    }
}

/// Adds a group to those of a plan, which is older than the group.
fn add_adopted(groups: &mut Vec<PlannedGroup>, mut adopted: PlannedGroup) {
    let takes = |it: &PlannedMember| adopted.vms().any(|vm| *vm == it.vm);
    for planned in groups.iter_mut().filter(|it| it.group != adopted.group) {
        if planned.members.iter().any(takes) {
            let incarnation = planned.incarnation;
            let head = planned.head().cloned();
            planned.former_heads.extend(head.map(|member| FormerHead { member, incarnation }));
            planned.members.retain(|it| !takes(it));
            planned.is_dissolving = true;
        }
    }
    for planned in groups.extract_if(.., |it| it.group == adopted.group) {
        let incarnation = planned.incarnation;
        let head = planned.head().cloned().map(|member| FormerHead { member, incarnation });
        adopted.former_heads.extend(planned.former_heads);
        adopted.former_heads.extend(head);
    }
    groups.push(adopted);
}
