//! Forms groups from free VMs.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::Rank;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use super::DomainPlan;
use super::GroupPlanner;
use super::PlannedGroup;
use super::PlannedMember;
use super::PlannerAction;
use super::TrackedServer;
use super::packing;
use crate::EngineOrder;
use crate::Moment;

/// Time without new servers in a domain before groups are formed in it.
///
/// The servers of a domain appear one by one. Small groups formed from the first ones
/// would leave too few VMs for a large group.
const NO_NEW_SERVER_TIME_MIN: Duration = Duration::from_millis(900);

/// A pending change to the plan of a fabric domain.
#[derive(Debug)]
pub(super) struct PlanUpdate {
    pub(super) domain: FabricDomain,
    pub(super) plan: DomainPlan,
    pub(super) expected: StoreRevision,
    pub(super) reasons: Vec<String>,
}

impl GroupPlanner {
    /// Counts the VMs in groups of each model, over all domains, with these updates applied.
    pub(super) fn count_vms_by_model(&self, updates: &[PlanUpdate]) -> HashMap<ModelId, usize> {
        let is_updated = |domain: &FabricDomain| updates.iter().any(|it| it.domain == *domain);
        let counts = |domain: &FabricDomain| !is_updated(domain) && !self.is_evacuated(domain);
        let others = self.plans.iter().filter(|(domain, _)| counts(domain));
        count_members_by_model(
            others.map(|(_, it)| &it.plan).chain(updates.iter().map(|it| &it.plan)),
        )
    }

    /// Adds groups of free VMs to a plan, unless more VMs are expected to become free soon.
    pub(super) fn form_groups(
        &self,
        update: &mut PlanUpdate,
        vm_counts: &mut HashMap<ModelId, usize>,
        now: Moment,
    ) {
        let newest_server_at = self.newest_server_at.get(&update.domain);
        if newest_server_at.is_some_and(|it| now.since(*it) < NO_NEW_SERVER_TIME_MIN) {
            return;
        }
        // Wait for members that are about to be released by a group that is being dissolved.
        if self.frees_members(&update.plan) {
            return;
        }
        loop {
            let free = self.free_vms(&update.domain, &update.plan);
            let Some(model) = packing::next_model(&self.engine_spec, vm_counts, free.len()) else {
                return;
            };
            let members = self.choose_members(free, model.group_size, &model.model);
            let incarnation = self.next_incarnation(&update.domain, &mut update.plan);
            let Ok(group) = format!("{}.{incarnation}", update.domain).parse::<GroupId>() else {
                return;
            };
            update.reasons.push(format!("{group} formed for {}", model.model));
            *vm_counts.entry(model.model.clone()).or_default() += members.len();
            update.plan.groups.push(PlannedGroup {
                group,
                incarnation: Incarnation(incarnation),
                model: model.model.clone(),
                members,
                former_heads: Vec::new(),
                is_dissolving: false,
            });
        }
    }

    /// Returns whether a group that is being dissolved is expected to release its members soon.
    pub(super) fn frees_members(&self, plan: &DomainPlan) -> bool {
        plan.groups.iter().any(|it| it.is_dissolving && self.has_reachable_head(it))
    }

    /// Returns whether a group's head is listed and responds.
    pub(super) fn has_reachable_head(&self, group: &PlannedGroup) -> bool {
        let tracked = group.head().and_then(|it| self.servers.get(&it.vm));
        tracked.is_some_and(|it| !it.health.is_unresponsive() && it.unlisted_at.is_none())
    }

    /// Chooses members from free VMs, preferring those that can join fastest.
    pub(super) fn choose_members(
        &self,
        free: Vec<VmId>,
        size: usize,
        model: &ModelId,
    ) -> Vec<PlannedMember> {
        let cost = |vm: &VmId| match self.servers.get(vm).map(|it| &it.server.engine) {
            Some(it) if it.loaded.contains(model) => 0,
            Some(it) if it.staged.contains(model) => 1,
            Some(it) if it.staged.is_empty() => 2,
            _ => 3,
        };
        let mut free = free;
        free.sort_by_key(cost);
        free.truncate(size);
        let born_unix_ms_of =
            |vm: &VmId| self.servers.get(vm).map_or(0, |it| it.server.engine.born_unix_ms);
        let member = |vm: VmId| PlannedMember { born_unix_ms: born_unix_ms_of(&vm), vm };
        free.into_iter().map(member).collect()
    }

    /// Returns the highest incarnation that a server of a domain reports.
    pub(super) fn highest_incarnation(&self, domain: &FabricDomain) -> u64 {
        let in_domain = self.in_domain(domain);
        let seen = in_domain.filter_map(|(_, it)| it.server.engine.membership.as_ref());
        seen.map(|it| it.incarnation.0).max().unwrap_or_default()
    }

    /// Writes the plan if it changed; otherwise orders VMs to leave groups that the plan does not have
    /// and returns the update.
    pub(super) fn submit_update(
        &mut self,
        update: PlanUpdate,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<PlanUpdate> {
        let stored = self.plans.entry(update.domain.clone()).or_default();
        if stored.plan != update.plan {
            stored.is_writing = true;
            actions.push(PlannerAction::Write {
                domain: update.domain,
                plan: update.plan,
                expected: update.expected,
                reasons: update.reasons,
            });
            return None;
        }
        self.order_unplanned_to_leave(&update, now, actions);
        Some(update)
    }

    /// Orders VMs that the plan does not contain to leave their groups: active heads, and members of
    /// groups whose heads have stopped.
    ///
    /// To the next planner, a member that still reports such a group would not be free.
    pub(super) fn order_unplanned_to_leave(
        &mut self,
        update: &PlanUpdate,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let in_domain = self.in_domain(&update.domain).map(|(_, it)| it);
        let is_member = |it: &TrackedServer| it.memberships().any(|(_, it)| it.rank != Rank(0));
        let unplanned = in_domain.filter(|it| {
            !update.plan.contains(&it.server.vm)
                && it.unlisted_at.is_none()
                && (is_active_head(it) || (is_member(it) && !self.is_foreign(it, &update.plan)))
        });
        let leave = |it: &TrackedServer| {
            let (_, membership) = it.memberships().last()?;
            let (group, incarnation) = (membership.group.clone(), membership.incarnation);
            Some((it.server.vm.clone(), EngineOrder::Leave { group, incarnation }))
        };
        let orders: Vec<(VmId, EngineOrder)> = unplanned.filter_map(leave).collect();
        for (vm, order) in orders {
            self.send_order(&vm, order, now, actions);
        }
    }

    /// Returns the usable VMs of a domain that may join a group: no planned group, no head that may
    /// still be open and no group that is not in the plan has them as members.
    ///
    /// An entry may be older than the state of its server, so the server must have answered as well.
    pub(super) fn free_vms(&self, domain: &FabricDomain, plan: &DomainPlan) -> Vec<VmId> {
        let usable = self.in_domain(domain).map(|(_, it)| it).filter(|it| self.is_usable(it));
        let free = usable.filter(|it| {
            !plan.contains(&it.server.vm)
                && it.answer.is_some()
                && !is_active_head(it)
                && !may_serve_former_head(it, plan)
                && !self.is_foreign(it, plan)
        });
        free.map(|it| it.server.vm.clone()).collect()
    }

    /// Returns whether a VM may become a member: listed, reachable, not leaving, not slow
    /// and not in an evacuated zone.
    pub(super) fn is_usable(&self, tracked: &TrackedServer) -> bool {
        tracked.unlisted_at.is_none()
            && tracked.leaving_at.is_none()
            && !self.evacuated_zones.contains(&tracked.server.zone)
            && !tracked.health.is_unresponsive()
            && !tracked.health.is_slow()
    }
}

/// Counts the members of all groups of each model, without groups that are being dissolved.
fn count_members_by_model<'a>(
    plans: impl Iterator<Item = &'a DomainPlan>,
) -> HashMap<ModelId, usize> {
    let mut vm_counts = HashMap::new();
    for group in plans.flat_map(|it| &it.groups).filter(|it| !it.is_dissolving) {
        *vm_counts.entry(group.model.clone()).or_default() += group.members.len();
    }
    vm_counts
}

/// Returns whether a server reports that it is an open or closing head.
fn is_active_head(tracked: &TrackedServer) -> bool {
    tracked.memberships().any(|(_, it)| it.is_active_head())
}

/// Returns whether a server belongs to a group of which a former head may still be open.
fn may_serve_former_head(tracked: &TrackedServer, plan: &DomainPlan) -> bool {
    tracked.server.engine.membership.as_ref().is_some_and(|membership| {
        plan.groups.iter().any(|it| it.group == membership.group && !it.former_heads.is_empty())
    })
}
