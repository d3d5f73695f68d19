//! Forms groups of free VMs.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::VmId;

use super::DomainPlan;
use super::GroupPlanner;
use super::Known;
use super::PlannedGroup;
use super::PlannedMember;
use super::Step;
use super::packing;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;

/// Time without new servers in a domain after which groups are formed.
///
/// Servers of a domain come one by one; groups of the first few would leave no
/// room for a large one.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// The plan of a fabric domain while it is decided on.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) domain: FabricDomain,
    pub(super) plan: DomainPlan,
    pub(super) expected: Revision,
    pub(super) reasons: Vec<String>,
}

impl GroupPlanner {
    pub(super) fn vms_by_model(&self, drafts: &[Draft]) -> HashMap<ModelId, usize> {
        let is_drafted = |domain: &FabricDomain| drafts.iter().any(|it| it.domain == *domain);
        let others = self.plans.iter().filter(|(domain, _)| !is_drafted(domain));
        count_vms(others.map(|(_, it)| &it.plan).chain(drafts.iter().map(|it| &it.plan)))
    }

    pub(super) fn form_groups(
        &self,
        draft: &mut Draft,
        vms: &mut HashMap<ModelId, usize>,
        now: Moment,
    ) {
        let grown_at = self.grown_at.get(&draft.domain);
        if grown_at.is_some_and(|it| now.since(*it) < SETTLE_TIME) {
            return;
        }
        // Members of a group that is dissolved will be free soon.
        if self.frees_members(&draft.plan) {
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

    /// Returns whether members of a group that is dissolved will be free soon.
    pub(super) fn frees_members(&self, plan: &DomainPlan) -> bool {
        plan.groups.iter().any(|it| it.is_dissolving && self.has_reachable_head(it))
    }

    pub(super) fn has_reachable_head(&self, group: &PlannedGroup) -> bool {
        let known = group.head().and_then(|it| self.known.get(&it.vm));
        known.is_some_and(|it| !it.contact.is_lost() && it.unlisted_at.is_none())
    }

    /// Prefers VMs that need the least time to join.
    pub(super) fn choose_members(
        &self,
        free: Vec<VmId>,
        size: usize,
        model: &ModelId,
    ) -> Vec<PlannedMember> {
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

    pub(super) fn highest_incarnation(&self, domain: &FabricDomain) -> u64 {
        let in_domain = self.in_domain(domain);
        let seen = in_domain.filter_map(|(_, it)| it.server.engine.membership.as_ref());
        seen.map(|it| it.incarnation.0).max().unwrap_or_default()
    }

    /// Writes a plan that changed; returns one that did not.
    pub(super) fn finish(
        &mut self,
        draft: Draft,
        now: Moment,
        steps: &mut Vec<Step>,
    ) -> Option<Draft> {
        let held = self.plans.entry(draft.domain.clone()).or_default();
        if held.plan != draft.plan {
            held.is_writing = true;
            steps.push(Step::Write {
                domain: draft.domain,
                plan: draft.plan,
                expected: draft.expected,
                reasons: draft.reasons,
            });
            return None;
        }
        self.end_stray_heads(&draft, now, steps);
        Some(draft)
    }

    /// Takes heads out of groups that no plan names.
    pub(super) fn end_stray_heads(&mut self, draft: &Draft, now: Moment, steps: &mut Vec<Step>) {
        let in_domain = self.in_domain(&draft.domain).map(|(_, it)| it);
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

    pub(super) fn free_vms(&self, domain: &FabricDomain, plan: &DomainPlan) -> Vec<VmId> {
        let usable = self.in_domain(domain).map(|(_, it)| it).filter(|it| self.is_usable(it));
        let free = usable.filter(|it| {
            !plan.holds(&it.server.vm) && !self.heads_stray(it) && !is_detained(it, plan)
        });
        free.map(|it| it.server.vm.clone()).collect()
    }

    /// Returns whether a VM may become a member: listed, answering, staying, not slow.
    pub(super) fn is_usable(&self, known: &Known) -> bool {
        known.unlisted_at.is_none()
            && known.leaving_at.is_none()
            && !known.contact.is_lost()
            && !known.contact.is_slow()
    }

    /// Returns whether a server heads a group that no plan names.
    pub(super) fn heads_stray(&self, known: &Known) -> bool {
        known.server.engine.membership.as_ref().is_some_and(|it| {
            it.rank == Rank(0) && matches!(it.phase, MemberPhase::Open | MemberPhase::Closing)
        })
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
