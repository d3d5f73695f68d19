//! Adopts groups whose plan the store has lost.

use std::collections::BTreeMap;

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
    /// group. Planned groups that it replaced or took members from are dissolved. Returns whether
    /// there are such groups.
    pub(super) fn adopt_groups(&self, update: &mut PlanUpdate) -> bool {
        let mut has_adopted = false;
        let next_incarnation = update.plan.next_incarnation;
        let mut heads: BTreeMap<GroupId, Vec<(Incarnation, PlannedMember)>> = BTreeMap::new();
        for (vm, tracked) in self.in_domain(&update.domain) {
            let engine = &tracked.server.engine;
            let Some(Membership { group, incarnation, .. }) = &engine.membership else { continue };
            if self.is_active_head(tracked) && incarnation.0 >= next_incarnation {
                let head = PlannedMember { vm: vm.clone(), born_unix_ms: engine.born_unix_ms };
                heads.entry(group.clone()).or_default().push((*incarnation, head));
            }
        }
        for (group, mut heads) in heads {
            heads.sort_by_key(|(incarnation, _)| *incarnation);
            let Some((incarnation, _)) = heads.pop() else { continue };
            let Some(mut adopted) = self.reported_group(update, &group, incarnation) else {
                continue;
            };
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

    /// Returns a group as its members report it, if all of them do.
    fn reported_group(
        &self,
        update: &PlanUpdate,
        group: &GroupId,
        incarnation: Incarnation,
    ) -> Option<PlannedGroup> {
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
        let model = model?;
        let ranks = members.iter().map(|(rank, _)| usize::from(rank.0));
        let is_whole = ranks.eq(0..model.group_size);
        is_whole.then(|| PlannedGroup {
            group: group.clone(),
            incarnation,
            model: model.model.clone(),
            members: members.into_iter().map(|(_, it)| it).collect(),
            former_heads: Vec::new(),
            is_dissolving: false,
        })
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
