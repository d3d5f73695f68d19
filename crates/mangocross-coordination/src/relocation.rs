//! Moves of smaller groups out of fabric domains that larger groups need.

use std::cmp::Reverse;

use mangocross_types::FabricDomain;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::Placement;

use crate::placement_planner::PlanningRound;

/// VMs assumed to be missing in an incomplete group, since `DomainState` does not contain the
/// number.
const ASSUMED_SHORTFALL: u16 = 1;

/// A smaller group and the domain to which it can move.
struct Relocation {
    /// Index of the group among the placements.
    entry: usize,
    size: u16,
    to: FabricDomain,
}

/// Starts moves that free VMs for groups that no domain can complete, the largest groups first.
///
/// Only smaller groups that serve and that operators did not assign to a domain are moved, and only
/// to domains with enough idle VMs. They continue to serve in the old domain until they serve in
/// the new one. For each large group, VMs are freed in the one domain where the fewest VMs have to
/// move.
pub(crate) fn relocate_smaller_groups(
    round: &mut PlanningRound<'_>,
    wanted: &[&GroupSpec],
    entries: &mut [Placement],
) {
    let mut wanted = wanted.to_vec();
    wanted.sort_by_key(|it| Reverse(it.size));
    for spec in &wanted {
        let options =
            shortfalls(round, spec, entries).into_iter().filter_map(|(domain, shortfall)| {
                let mut after = round.clone();
                let moves = plan_moves(&mut after, &domain, spec, shortfall, &wanted, entries)?;
                Some((moves.iter().map(|it| it.size).sum::<u16>(), domain, moves, after))
            });
        let Some((_, domain, moves, after)) = options.min_by_key(|it| it.0) else { continue };
        *round = after;
        for it in moves {
            entries[it.entry].domain = it.to;
            entries[it.entry].moving_from = Some(domain.clone());
        }
    }
}

/// Returns the domains where a group could be completed, with how many VMs it lacks there.
fn shortfalls(
    round: &PlanningRound<'_>,
    spec: &GroupSpec,
    entries: &[Placement],
) -> Vec<(FabricDomain, u16)> {
    let is_being_vacated =
        |domain: &FabricDomain| entries.iter().any(|it| it.moving_from.as_ref() == Some(domain));
    match entries.iter().find(|it| it.group == spec.id) {
        Some(placed) => {
            let needs_space = placed.moving_from.is_none()
                && round.current.domain_of(&spec.id) == Some(&placed.domain)
                && round.is_incomplete(&spec.id, &placed.domain)
                && !fits_elsewhere(round, spec, &placed.domain)
                && !is_being_vacated(&placed.domain);
            needs_space.then(|| (placed.domain.clone(), ASSUMED_SHORTFALL)).into_iter().collect()
        }
        None => {
            let domains = round.free_vms.iter().filter(|(domain, _)| !is_being_vacated(domain));
            let shortfall =
                domains.map(|(domain, idle)| (domain.clone(), spec.size.0.saturating_sub(*idle)));
            shortfall.collect()
        }
    }
}

/// Returns moves that free at least `shortfall` VMs of a domain, if they are possible.
fn plan_moves(
    round: &mut PlanningRound<'_>,
    domain: &FabricDomain,
    large_group: &GroupSpec,
    shortfall: u16,
    wanted: &[&GroupSpec],
    entries: &[Placement],
) -> Option<Vec<Relocation>> {
    let mut freed = 0;
    let mut moves = Vec::new();
    // The smallest groups come last in `wanted`; they are the easiest to place elsewhere.
    for spec in wanted.iter().rev().filter(|it| it.size < large_group.size && it.domain.is_none()) {
        if freed >= shortfall {
            break;
        }
        let Some(entry) = entries.iter().position(|it| it.group == spec.id) else { continue };
        let placed = &entries[entry];
        let is_movable = placed.domain == *domain
            && placed.moving_from.is_none()
            && round.phase(&spec.id, domain) == Some(GroupPhase::Serving)
            && !round.is_incomplete(&spec.id, domain);
        if !is_movable {
            continue;
        }
        let Some(to) = round.reserve_vms(spec, Some(domain)) else { continue };
        freed += spec.size.0;
        moves.push(Relocation { entry, size: spec.size.0, to });
    }
    (freed >= shortfall).then_some(moves)
}

fn fits_elsewhere(round: &PlanningRound<'_>, spec: &GroupSpec, current: &FabricDomain) -> bool {
    round.free_vms.iter().any(|(domain, idle)| domain != current && *idle >= spec.size.0)
}
