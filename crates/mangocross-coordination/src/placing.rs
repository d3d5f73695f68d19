//! In which fabric domain each group belongs: first placements and moves.

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

use crate::making_room::make_room;

/// What a fabric domain's prober says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainState {
    /// The fabric domain.
    pub domain: FabricDomain,
    /// VMs that answer probes and are in no group.
    pub idle_vms: u16,
    /// Groups that should be formed in another domain with room.
    pub stuck_groups: Vec<GroupId>,
    /// Groups that belong here and that the domain's VMs cannot complete, also those that wait.
    pub incomplete_groups: Vec<GroupId>,
}

/// Plans the placements, and remembers since when each moved group serves in its new domain.
///
/// A group moves in three steps. It is placed in the new domain while the old
/// one goes on serving it; once it has served in the new one for so long that
/// every gateway knows, the old domain is no longer named and drains it there;
/// then it is unloaded. A group that its domain cannot complete is placed
/// elsewhere and given up where it is; where no other domain has room for it,
/// smaller groups move out of its way.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    settle: Duration,
    serving_since: HashMap<GroupId, Instant>,
}

impl PlacementPlanner {
    /// Returns a planner that ends a move once the group has served for `settle` in its new domain.
    pub fn new(settle: Duration) -> Self {
        Self { settle, serving_since: HashMap::new() }
    }

    /// Returns the placements that should come next.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        current: &Placements,
        assignments: &[DomainAssignment],
        domains: &[DomainState],
        now: Instant,
    ) -> Placements {
        let mut planner = Planner::new(current, assignments, domains);
        self.follow_moves(&mut planner, now);
        let is_wanted = |it: &&GroupSpec| it.desired != DesiredState::Stopped;
        configuration.groups.iter().filter(is_wanted).for_each(|it| {
            planner.note_place(it);
            planner.keep_room(it);
        });
        let mut entries = Vec::new();
        let wanted = in_order_of_room(configuration.groups.iter().filter(is_wanted), current);
        for spec in &wanted {
            entries.extend(planner.place(spec));
        }
        make_room(&mut planner, &wanted, &mut entries);
        let number =
            |it: &Placement| configuration.groups.iter().position(|spec| spec.id == it.group);
        entries.sort_by_key(number);
        Placements { entries }
    }

    /// Tells the planner which moved groups have served long enough in their new domains.
    fn follow_moves(&mut self, planner: &mut Planner<'_>, now: Instant) {
        let moves = planner.current.entries.iter().filter(|it| it.moving_from.is_some());
        let serves = |it: &&Placement| {
            planner.phase(&it.group, &it.domain) == Some(GroupPhase::Serving)
                && !planner.is_stuck(&it.group, &it.domain)
        };
        let serving: Vec<GroupId> = moves.filter(serves).map(|it| it.group.clone()).collect();
        self.serving_since.retain(|group, _| serving.contains(group));
        for group in serving {
            let since = *self.serving_since.entry(group.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= self.settle {
                planner.moved.push(group);
            }
        }
    }
}

/// Returns the groups in the order in which they take room: those that are placed
/// first, then the larger ones, which fewer fabric domains can hold.
fn in_order_of_room<'a>(
    groups: impl Iterator<Item = &'a GroupSpec>,
    current: &Placements,
) -> Vec<&'a GroupSpec> {
    let mut groups: Vec<&GroupSpec> = groups.collect();
    groups.sort_by_key(|it| (current.of(&it.id).is_none(), Reverse(it.size)));
    groups
}

/// One round of planning: what is placed, and the room that is left.
#[derive(Debug, Clone)]
pub(crate) struct Planner<'a> {
    pub(crate) current: &'a Placements,
    assignments: &'a [DomainAssignment],
    domains: &'a [DomainState],
    /// Idle VMs by domain that no group was given yet.
    pub(crate) rooms: BTreeMap<FabricDomain, u16>,
    /// Where groups are, with their sizes.
    placed: Vec<(FabricDomain, u16)>,
    /// Groups whose moves are done.
    moved: Vec<GroupId>,
}

impl<'a> Planner<'a> {
    fn new(
        current: &'a Placements,
        assignments: &'a [DomainAssignment],
        domains: &'a [DomainState],
    ) -> Self {
        let rooms = domains.iter().map(|it| (it.domain.clone(), it.idle_vms)).collect();
        Self { current, assignments, domains, rooms, placed: Vec::new(), moved: Vec::new() }
    }

    fn place(&mut self, spec: &GroupSpec) -> Option<Placement> {
        let Some(placed) = self.current.of(&spec.id) else {
            let domain = self.first_domain(spec)?;
            return Some(Placement { group: spec.id.clone(), domain, moving_from: None });
        };
        let placed = self.finish_move(placed);
        match &spec.domain {
            Some(chosen) if *chosen == placed.domain => Some(placed),
            Some(chosen) => Some(self.move_to(spec, placed, chosen)),
            None => Some(self.leave_stuck(spec, placed)),
        }
    }

    /// Returns the domain of a group that was not placed yet.
    fn first_domain(&mut self, spec: &GroupSpec) -> Option<FabricDomain> {
        match &spec.domain {
            Some(chosen) => Some(chosen.clone()),
            None => self.take_room(spec, None),
        }
    }

    /// Lets the old domain of a move go once the group serves in the new one.
    ///
    /// Until then the old one is named even if the group is not known to be
    /// there: assignments are read now and then, and nothing new is formed there.
    fn finish_move(&self, placed: &Placement) -> Placement {
        let moving_from = placed.moving_from.clone();
        let moving_from = moving_from.filter(|_| !self.moved.contains(&placed.group));
        Placement { moving_from, ..placed.clone() }
    }

    /// Moves a group to the domain that operators chose, when there is room.
    fn move_to(&mut self, spec: &GroupSpec, placed: Placement, chosen: &FabricDomain) -> Placement {
        let back = placed.moving_from.as_ref() == Some(chosen);
        if !back && self.take_room_in(spec, chosen).is_none() {
            return placed;
        }
        let old = placed.moving_from.filter(|it| it != chosen).unwrap_or(placed.domain);
        Placement { group: placed.group, domain: chosen.clone(), moving_from: Some(old) }
    }

    /// Moves a group that its domain cannot complete to one with room.
    fn leave_stuck(&mut self, spec: &GroupSpec, placed: Placement) -> Placement {
        if !self.is_stuck(&spec.id, &placed.domain) {
            return placed;
        }
        match self.take_room(spec, Some(&placed.domain)) {
            Some(domain) => Placement { domain, ..placed },
            None => placed,
        }
    }

    /// Records where a group is placed.
    fn note_place(&mut self, spec: &GroupSpec) {
        if let Some(domain) = self.current.domain_of(&spec.id) {
            self.placed.push((domain.clone(), spec.size.0));
        }
    }

    /// Returns whether a domain holds a group that could be repaired in no other one.
    ///
    /// Its spares are left to that group where another domain has room.
    fn is_sole_home(&self, domain: &FabricDomain) -> bool {
        let others = self.rooms.iter().filter(|(it, _)| *it != domain);
        let largest = others.map(|(_, idle)| *idle).max().unwrap_or_default();
        self.placed.iter().any(|(it, size)| it == domain && *size > largest)
    }

    /// Keeps room for a group that is placed and not formed yet.
    fn keep_room(&mut self, spec: &GroupSpec) {
        let Some(domain) = self.current.domain_of(&spec.id) else { return };
        if self.phase(&spec.id, domain).is_none()
            && let Some(room) = self.rooms.get_mut(domain)
        {
            *room = room.saturating_sub(spec.size.0);
        }
    }

    pub(crate) fn take_room(
        &mut self,
        spec: &GroupSpec,
        but: Option<&FabricDomain>,
    ) -> Option<FabricDomain> {
        let others = self.rooms.iter().filter(|(domain, _)| Some(*domain) != but);
        let rooms: Vec<DomainCapacity> =
            others.map(|(domain, idle)| DomainCapacity::new(domain.clone(), *idle)).collect();
        let shared: Vec<DomainCapacity> =
            rooms.iter().filter(|it| !self.is_sole_home(&it.domain)).cloned().collect();
        let chosen = choose_domain(spec.size, &shared).or_else(|| choose_domain(spec.size, &rooms));
        let domain = chosen?.clone();
        self.take_room_in(spec, &domain)?;
        self.placed.push((domain.clone(), spec.size.0));
        Some(domain)
    }

    fn take_room_in(&mut self, spec: &GroupSpec, domain: &FabricDomain) -> Option<()> {
        let room = self.rooms.get_mut(domain)?;
        *room = room.checked_sub(spec.size.0)?;
        Some(())
    }

    fn is_stuck(&self, group: &GroupId, domain: &FabricDomain) -> bool {
        let state = self.domains.iter().find(|it| it.domain == *domain);
        state.is_some_and(|it| it.stuck_groups.contains(group))
    }

    /// Returns whether a domain cannot complete a group that belongs there.
    pub(crate) fn is_incomplete(&self, group: &GroupId, domain: &FabricDomain) -> bool {
        let state = self.domains.iter().find(|it| it.domain == *domain);
        state.is_some_and(|it| it.incomplete_groups.contains(group))
    }

    pub(crate) fn phase(&self, group: &GroupId, domain: &FabricDomain) -> Option<GroupPhase> {
        let assignment = self.assignments.iter().find(|it| it.domain == *domain)?;
        assignment.groups.iter().find(|it| it.group == *group).map(|it| it.phase)
    }
}
