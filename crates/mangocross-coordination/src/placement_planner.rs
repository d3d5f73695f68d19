//! Placement of groups in fabric domains: initial placements and moves.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::DomainCapacity;
use mangocross_policy::choose_domain;
use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::Placement;
use mangocross_types::Placements;

use crate::relocation::relocate_smaller_groups;

/// The state of a fabric domain as reported by its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainState {
    /// Fabric domain whose state this is.
    pub domain: FabricDomain,
    /// Number of VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// Groups that should be formed in another domain with enough idle VMs.
    pub groups_to_move: Vec<GroupId>,
    /// Groups placed here that the domain's VMs cannot complete, including those that wait for
    /// members.
    pub incomplete_groups: Vec<GroupId>,
}

/// Plans placements and tracks since when each moving group has served in its new domain.
///
/// A group moves in three steps. It is placed in the new domain while the old one continues to
/// serve it. Once it has served in the new domain long enough for every gateway to know, the old
/// domain is removed from the placement and drains the group. Then the old domain unloads it.
///
/// A group that its domain cannot complete is placed in another domain and dissolved in the old
/// one. If no other domain has enough idle VMs, smaller groups are moved to make space for it.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    serving_time_min: Duration,
    serving_since: HashMap<GroupId, Instant>,
}

impl PlacementPlanner {
    /// Returns a planner that ends a move once the group has served in its new domain for
    /// `serving_time_min`.
    pub fn new(serving_time_min: Duration) -> Self {
        Self { serving_time_min, serving_since: HashMap::new() }
    }

    /// Returns the next placements, in the order of the configuration; stopped groups get none.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        current: &Placements,
        assignments: &[DomainAssignment],
        domains: &[DomainState],
        now: Instant,
    ) -> Placements {
        let mut round = PlanningRound::new(current, assignments, domains);
        self.track_moves(&mut round, now);
        let is_wanted = |it: &&GroupSpec| it.desired != DesiredState::Stopped;
        configuration.groups.iter().filter(is_wanted).for_each(|it| {
            round.record_placement(it);
            round.reserve_for_unformed(it);
        });
        let mut entries = Vec::new();
        let wanted = in_planning_order(configuration.groups.iter().filter(is_wanted), current);
        for spec in &wanted {
            entries.extend(round.place(spec));
        }
        relocate_smaller_groups(&mut round, &wanted, &mut entries);
        let index =
            |it: &Placement| configuration.groups.iter().position(|spec| spec.id == it.group);
        entries.sort_by_key(index);
        Placements { entries }
    }

    /// Marks the moves whose groups have served long enough in their new domains as done.
    fn track_moves(&mut self, round: &mut PlanningRound<'_>, now: Instant) {
        let moves = round.current.entries.iter().filter(|it| it.moving_from.is_some());
        let serves = |it: &&Placement| {
            round.phase(&it.group, &it.domain) == Some(GroupPhase::Serving)
                && !round.should_move(&it.group, &it.domain)
        };
        let serving: Vec<GroupId> = moves.filter(serves).map(|it| it.group.clone()).collect();
        self.serving_since.retain(|group, _| serving.contains(group));
        for group in serving {
            let since = *self.serving_since.entry(group.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= self.serving_time_min {
                round.completed_moves.push(group);
            }
        }
    }
}

/// Returns the groups in the order in which they are placed: those with a placement first, then by
/// descending size, since fewer fabric domains can hold larger groups.
fn in_planning_order<'a>(
    groups: impl Iterator<Item = &'a GroupSpec>,
    current: &Placements,
) -> Vec<&'a GroupSpec> {
    let mut groups: Vec<&GroupSpec> = groups.collect();
    groups.sort_by_key(|it| (current.of(&it.id).is_none(), Reverse(it.size)));
    groups
}

/// The state of one planning round: the groups placed and the VMs left over.
#[derive(Debug, Clone)]
pub(crate) struct PlanningRound<'a> {
    pub(crate) current: &'a Placements,
    assignments: &'a [DomainAssignment],
    domains: &'a [DomainState],
    /// Number of idle VMs by domain that are not reserved for a group.
    pub(crate) free_vms: BTreeMap<FabricDomain, u16>,
    /// The domains and sizes of the groups placed.
    placed: Vec<(FabricDomain, u16)>,
    /// Groups whose moves are done.
    completed_moves: Vec<GroupId>,
}

impl<'a> PlanningRound<'a> {
    fn new(
        current: &'a Placements,
        assignments: &'a [DomainAssignment],
        domains: &'a [DomainState],
    ) -> Self {
        let free_vms = domains.iter().map(|it| (it.domain.clone(), it.idle_vms)).collect();
        Self {
            current,
            assignments,
            domains,
            free_vms,
            placed: Vec::new(),
            completed_moves: Vec::new(),
        }
    }

    fn place(&mut self, spec: &GroupSpec) -> Option<Placement> {
        let Some(placed) = self.current.of(&spec.id) else {
            let domain = self.initial_domain(spec)?;
            return Some(Placement { group: spec.id.clone(), domain, moving_from: None });
        };
        let placed = self.finish_move(placed);
        match &spec.domain {
            Some(chosen) if *chosen == placed.domain => Some(placed),
            Some(chosen) => Some(self.move_to(spec, placed, chosen)),
            None => Some(self.relocate_if_needed(spec, placed)),
        }
    }

    /// Returns the domain for a group without a placement.
    fn initial_domain(&mut self, spec: &GroupSpec) -> Option<FabricDomain> {
        match &spec.domain {
            Some(chosen) => Some(chosen.clone()),
            None => self.reserve_vms(spec, None),
        }
    }

    /// Removes the old domain of a move once the group serves in the new one.
    ///
    /// The old domain is kept until then even if its assignment as last read lacks the group, since
    /// that may be outdated. No group is formed in the old domain of a move, so this does no harm.
    fn finish_move(&self, placed: &Placement) -> Placement {
        let moving_from = placed.moving_from.clone();
        let moving_from = moving_from.filter(|_| !self.completed_moves.contains(&placed.group));
        Placement { moving_from, ..placed.clone() }
    }

    /// Moves a group to the domain that operators chose, if it has enough idle VMs.
    fn move_to(&mut self, spec: &GroupSpec, placed: Placement, chosen: &FabricDomain) -> Placement {
        let is_return = placed.moving_from.as_ref() == Some(chosen);
        if !is_return && self.reserve_vms_in(spec, chosen).is_none() {
            return placed;
        }
        let old = placed.moving_from.filter(|it| it != chosen).unwrap_or(placed.domain);
        Placement { group: placed.group, domain: chosen.clone(), moving_from: Some(old) }
    }

    /// Moves a group that should be formed elsewhere to a domain with enough idle VMs.
    fn relocate_if_needed(&mut self, spec: &GroupSpec, placed: Placement) -> Placement {
        if !self.should_move(&spec.id, &placed.domain) {
            return placed;
        }
        match self.reserve_vms(spec, Some(&placed.domain)) {
            Some(domain) => Placement { domain, ..placed },
            None => placed,
        }
    }

    /// Adds a group to those placed, if it has a placement.
    fn record_placement(&mut self, spec: &GroupSpec) {
        if let Some(domain) = self.current.domain_of(&spec.id) {
            self.placed.push((domain.clone(), spec.size.0));
        }
    }

    /// Returns whether a domain holds a group that is too large for any other domain.
    ///
    /// If so, [`Self::reserve_vms`] prefers other domains, so that the large group can be repaired
    /// here.
    fn holds_unmovable_group(&self, domain: &FabricDomain) -> bool {
        let others = self.free_vms.iter().filter(|(it, _)| *it != domain);
        let largest = others.map(|(_, idle)| *idle).max().unwrap_or_default();
        self.placed.iter().any(|(it, size)| it == domain && *size > largest)
    }

    /// Reserves VMs for a group that is placed and not yet formed.
    fn reserve_for_unformed(&mut self, spec: &GroupSpec) {
        let Some(domain) = self.current.domain_of(&spec.id) else { return };
        if self.phase(&spec.id, domain).is_none()
            && let Some(free) = self.free_vms.get_mut(domain)
        {
            *free = free.saturating_sub(spec.size.0);
        }
    }

    /// Reserves VMs for a whole group and returns their domain; `except` is left out.
    pub(crate) fn reserve_vms(
        &mut self,
        spec: &GroupSpec,
        except: Option<&FabricDomain>,
    ) -> Option<FabricDomain> {
        let others = self.free_vms.iter().filter(|(domain, _)| Some(*domain) != except);
        let candidates: Vec<DomainCapacity> =
            others.map(|(domain, idle)| DomainCapacity::new(domain.clone(), *idle)).collect();
        let preferred: Vec<DomainCapacity> = candidates
            .iter()
            .filter(|it| !self.holds_unmovable_group(&it.domain))
            .cloned()
            .collect();
        let chosen =
            choose_domain(spec.size, &preferred).or_else(|| choose_domain(spec.size, &candidates));
        let domain = chosen?.clone();
        self.reserve_vms_in(spec, &domain)?;
        self.placed.push((domain.clone(), spec.size.0));
        Some(domain)
    }

    fn reserve_vms_in(&mut self, spec: &GroupSpec, domain: &FabricDomain) -> Option<()> {
        let free = self.free_vms.get_mut(domain)?;
        *free = free.checked_sub(spec.size.0)?;
        Some(())
    }

    /// Returns whether a group should be formed in another domain than `domain`.
    fn should_move(&self, group: &GroupId, domain: &FabricDomain) -> bool {
        let state = self.domains.iter().find(|it| it.domain == *domain);
        state.is_some_and(|it| it.groups_to_move.contains(group))
    }

    /// Returns whether a domain cannot complete a group that is placed there.
    pub(crate) fn is_incomplete(&self, group: &GroupId, domain: &FabricDomain) -> bool {
        let state = self.domains.iter().find(|it| it.domain == *domain);
        state.is_some_and(|it| it.incomplete_groups.contains(group))
    }

    pub(crate) fn phase(&self, group: &GroupId, domain: &FabricDomain) -> Option<GroupPhase> {
        let assignment = self.assignments.iter().find(|it| it.domain == *domain)?;
        assignment.groups.iter().find(|it| it.group == *group).map(|it| it.phase)
    }
}
