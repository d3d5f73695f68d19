//! Keeps groups whole: decides what each needs, and replaces lost members.

use std::time::Duration;

use mangocross_types::FabricDomain;
use mangocross_types::Incarnation;
use mangocross_types::VmId;

use super::DomainPlan;
use super::FormerHead;
use super::GroupPlanner;
use super::Known;
use super::PlannedGroup;
use super::PlannedMember;
use super::Step;
use super::forming::Draft;
use crate::EngineOrder;
use crate::MemberPhase;
use crate::Moment;

/// Time that a head has to finish its requests before a member leaves.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Added to four times the loading time of a group that is being formed.
const FORMING_MARGIN: Duration = Duration::from_secs(8);
/// Time that a group may be suspect, with all members answering, before it is replaced.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a group needs.
pub(super) enum Verdict {
    Keep,
    /// Form the group anew, under its name, without the members that it lost.
    Replace(String),
    Order(Vec<(VmId, EngineOrder)>),
}

impl GroupPlanner {
    pub(super) fn step_groups(
        &mut self,
        domain: &FabricDomain,
        now: Moment,
        steps: &mut Vec<Step>,
    ) -> Draft {
        let held = &self.plans[domain];
        let mut draft = Draft {
            domain: domain.clone(),
            plan: held.plan.clone(),
            expected: held.revision,
            reasons: Vec::new(),
        };
        let groups = std::mem::take(&mut draft.plan.groups);
        let mut spares = self.free_vms(domain, &held.plan);
        for mut group in groups {
            if group.is_dissolving {
                if !self.is_released(&group, now, steps) {
                    draft.plan.groups.push(group);
                } else {
                    draft.reasons.push(format!("{} released", group.group));
                    self.notes.remove(&(group.group.clone(), group.incarnation));
                }
                continue;
            }
            let incarnation = group.incarnation;
            match self.judge(&group, spares.len(), now) {
                Verdict::Keep => {}
                Verdict::Replace(reason) => {
                    let is_repaired = self.repair(domain, &mut group, &mut spares);
                    let next = if is_repaired { "re-formed" } else { "dissolved" };
                    draft.reasons.push(format!("{} {next}: {reason}", group.group));
                    if is_repaired {
                        let incarnation = self.next_incarnation(domain, &mut draft.plan);
                        group.incarnation = Incarnation(incarnation);
                    } else {
                        group.is_dissolving = true;
                    }
                }
                Verdict::Order(orders) => {
                    for (vm, order) in orders {
                        self.order(&vm, order, now, steps);
                    }
                }
            }
            // Orders follow the written plan, never a draft.
            if !group.is_dissolving && group.incarnation == incarnation {
                self.prune_former_heads(&mut group, now, steps);
            }
            draft.plan.groups.push(group);
        }
        draft
    }

    /// Replaces the members that a group has lost by spares of its domain.
    ///
    /// Survivors join the same group in a new incarnation, which takes them out of
    /// the old one: an old head that cannot be reached is stalled from then on.
    pub(super) fn repair(
        &self,
        domain: &FabricDomain,
        group: &mut PlannedGroup,
        spares: &mut Vec<VmId>,
    ) -> bool {
        let is_kept = |it: &&PlannedMember, is_fit: &dyn Fn(&Known) -> bool| {
            self.known.get(&it.vm).is_some_and(|known| {
                is_fit(known)
                    && known.server.engine.born_unix_ms == it.born_unix_ms
                    && known.server.engine.domain.as_ref() == Some(domain)
            })
        };
        let usable = |it: &Known| self.is_usable(it);
        let answers = |it: &Known| {
            it.unlisted_at.is_some() && it.leaving_at.is_none() && !it.contact.is_lost()
        };
        let members = || group.members.iter();
        let mut survivors: Vec<PlannedMember> =
            members().filter(|it| is_kept(it, &usable)).cloned().collect();
        if survivors.is_empty() {
            return false;
        }
        // A member that is cut from the store alone still works, though not as the head.
        let unlisted = members().filter(|it| is_kept(it, &answers)).cloned();
        let lacking = group.members.len() - survivors.len();
        survivors.extend(unlisted.take(lacking.saturating_sub(spares.len())));
        let missing = group.members.len() - survivors.len();
        if missing > spares.len() {
            return false;
        }
        if let Some(head) = group.head().cloned() {
            let incarnation = group.incarnation;
            group.former_heads.push(FormerHead { member: head, incarnation });
        }
        let added = self.choose_members(spares.clone(), missing, &group.model);
        spares.retain(|vm| added.iter().all(|it| it.vm != *vm));
        group.members = survivors;
        group.members.extend(added);
        true
    }

    /// Returns the incarnation of the next group that a domain forms.
    pub(super) fn next_incarnation(&self, domain: &FabricDomain, plan: &mut DomainPlan) -> u64 {
        let incarnation = plan.next_incarnation.max(self.highest_incarnation(domain) + 1);
        plan.next_incarnation = incarnation + 1;
        incarnation
    }

    pub(super) fn judge(&mut self, group: &PlannedGroup, spares: usize, now: Moment) -> Verdict {
        let key = (group.group.clone(), group.incarnation);
        let mut orders = Vec::new();
        let mut ready = 0;
        let mut has_slow_member = false;
        let mut leaving_at: Option<Moment> = None;
        let mut notes = self.notes.remove(&key).unwrap_or_default();
        let seen_at = *notes.seen_at.get_or_insert(now);
        let goes_on = group.head().is_some_and(|it| self.progressing.contains(&it.vm));
        let verdict = 'verdict: {
            for (rank, member) in group.members.iter().enumerate() {
                let Some(known) = self.known.get(&member.vm) else {
                    // A new planner has to hear of the servers first.
                    if now.since(seen_at) < Duration::from_secs(1) {
                        continue;
                    }
                    break 'verdict Verdict::Replace(format!("{} is not listed", member.vm));
                };
                if known.server.engine.born_unix_ms != member.born_unix_ms {
                    break 'verdict Verdict::Replace(format!("{} was restarted", member.vm));
                }
                if known.contact.is_lost() && !goes_on {
                    break 'verdict Verdict::Replace(format!("{} does not answer", member.vm));
                }
                if rank == 0 && known.unlisted_at.is_some() {
                    break 'verdict Verdict::Replace(format!("head {} is not listed", member.vm));
                }
                leaving_at = leaving_at.max(known.leaving_at);
                has_slow_member |= known.contact.is_slow();
                match self.phase_in(&member.vm, group) {
                    Some(MemberPhase::Broken) => {
                        break 'verdict Verdict::Replace("the head is broken".to_owned());
                    }
                    Some(MemberPhase::Joining) => {}
                    Some(_) => {
                        ready += 1;
                        notes.ready.insert(member.vm.clone());
                    }
                    None if notes.ready.contains(&member.vm) => {
                        break 'verdict Verdict::Replace(format!("{} has left", member.vm));
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
            let is_whole = ready == group.members.len();
            let head_phase = group.head().and_then(|it| self.phase_in(&it.vm, group));
            if let Some(leaving_at) = leaving_at {
                let is_over = now.since(leaving_at) > CLOSE_TIMEOUT;
                break 'verdict match head_phase {
                    Some(MemberPhase::Open) if !is_over => {
                        let order = EngineOrder::Close {
                            group: group.group.clone(),
                            incarnation: group.incarnation,
                        };
                        let head = group.head().map(|it| it.vm.clone());
                        Verdict::Order(head.map(|it| (it, order)).into_iter().collect())
                    }
                    Some(MemberPhase::Closing) if !is_over => Verdict::Keep,
                    _ => Verdict::Replace("a member is leaving".to_owned()),
                };
            }
            if has_slow_member && spares > 0 {
                break 'verdict Verdict::Replace("a member is slow".to_owned());
            }
            if head_phase != Some(MemberPhase::Open) {
                // Only streams that this incarnation took tell anything of it.
                notes.suspect_since = None;
                notes.suspect_at = None;
            }
            let suspect_for = match (notes.suspect_since, notes.suspect_at) {
                (Some(since), Some(at)) => at.since(since),
                _ => Duration::ZERO,
            };
            if suspect_for > SUSPECT_TIMEOUT && !has_slow_member {
                break 'verdict Verdict::Replace("its streams are stalled".to_owned());
            }
            if is_whole && head_phase == Some(MemberPhase::Ready) {
                let order = EngineOrder::Open {
                    group: group.group.clone(),
                    incarnation: group.incarnation,
                };
                let head = group.head().map(|it| it.vm.clone());
                break 'verdict Verdict::Order(head.map(|it| (it, order)).into_iter().collect());
            }
            if !is_whole {
                let load = self.engine.model(&group.model).map_or(Duration::ZERO, |it| it.load);
                if now.since(seen_at) > load * 4 + FORMING_MARGIN {
                    break 'verdict Verdict::Replace("forming takes too long".to_owned());
                }
            }
            Verdict::Order(orders)
        };
        self.notes.insert(key, notes);
        verdict
    }
}
