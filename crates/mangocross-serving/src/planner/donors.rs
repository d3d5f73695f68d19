//! Chooses groups to dissolve so that their members can complete another group.

use std::collections::HashMap;

use mangocross_types::GroupId;
use mangocross_types::ModelId;

use super::GroupPlanner;
use super::PlannedGroup;
use super::forming::PlanUpdate;
use crate::MemberPhase;

impl GroupPlanner {
    /// Chooses the group to dissolve for `recipient`; returns its index in the plan.
    ///
    /// A group that waits for the weight store has priority, if it is not larger. A serving
    /// group is dissolved only for a larger one of another model, and only if its model's supply
    /// (VMs divided by share) after the loss is at least that of the recipient's model without the
    /// recipient.
    pub(super) fn choose_donor(
        &self,
        update: &PlanUpdate,
        recipient: &GroupId,
        unrepaired: &[GroupId],
    ) -> Option<usize> {
        let groups = &update.plan.groups;
        let recipient = groups.iter().find(|it| it.group == *recipient)?;
        let size = self.full_size(recipient);
        let usable = recipient.members.iter().filter(|it| self.is_usable_member(it)).count();
        let lacking = size - usable;
        let vm_counts = self.count_vms_by_model(std::slice::from_ref(update));
        let candidates = groups.iter().enumerate().filter(|(_, it)| {
            it.group != recipient.group
                && !it.is_dissolving
                && !unrepaired.contains(&it.group)
                && self.has_reachable_head(it)
                && self.prepared_members(it, &recipient.model) >= lacking
        });
        let useful = candidates.filter(|(_, it)| {
            (it.members.len() <= size && self.awaits_weight_load(it))
                || (it.members.len() < size && self.is_dispensable(it, recipient, &vm_counts))
        });
        useful
            .min_by_key(|(_, it)| (!self.awaits_weight_load(it), it.members.len()))
            .map(|(at, _)| at)
    }

    /// Returns whether some member has not joined yet and needs the weight store to do so.
    fn awaits_weight_load(&self, group: &PlannedGroup) -> bool {
        group.members.iter().any(|it| {
            !self.is_prepared(&it.vm, &group.model)
                && matches!(self.phase_in(&it.vm, group), None | Some(MemberPhase::Joining))
        })
    }

    /// Returns how many members can join a group of the model without the weight store.
    fn prepared_members(&self, group: &PlannedGroup, model: &ModelId) -> usize {
        let members = group.members.iter().filter(|it| self.is_usable_member(it));
        members.filter(|it| self.is_prepared(&it.vm, model)).count()
    }

    /// Returns whether the group's model is another one than the recipient's and, without the
    /// group, has at least the supply of the recipient's model without the recipient.
    fn is_dispensable(
        &self,
        group: &PlannedGroup,
        recipient: &PlannedGroup,
        vm_counts: &HashMap<ModelId, usize>,
    ) -> bool {
        let supply_without = |it: &PlannedGroup| {
            let share = self.engine_spec.model(&it.model).map_or(1.0, |it| it.share.max(0.01));
            let count = vm_counts.get(&it.model).copied().unwrap_or_default();
            count.saturating_sub(it.members.len()) as f64 / share
        };
        group.model != recipient.model && supply_without(group) >= supply_without(recipient)
    }
}
