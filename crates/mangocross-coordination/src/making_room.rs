//! Moves of smaller groups out of the fabric domains that larger ones need.

use std::cmp::Reverse;

use mangocross_types::FabricDomain;
use mangocross_types::GroupPhase;
use mangocross_types::GroupSpec;
use mangocross_types::Placement;

use crate::placing::Planner;

/// VMs that a group which cannot be completed lacks at least.
const LACKING_MIN: u16 = 1;

/// A smaller group and the domain that it could move to.
struct RoomMove {
    /// Its index among the placements.
    entry: usize,
    size: u16,
    to: FabricDomain,
}

/// Starts moves that give room to groups which no domain can complete, the largest first.
///
/// Only groups that serve, that operators put in no domain and that are smaller
/// move, and only to domains with room for them. They serve on where they are
/// until they serve in the new domain. One domain is emptied at a time, in which
/// the fewest VMs have to move.
pub(crate) fn make_room(
    planner: &mut Planner<'_>,
    wanted: &[&GroupSpec],
    entries: &mut [Placement],
) {
    let mut wanted = wanted.to_vec();
    wanted.sort_by_key(|it| Reverse(it.size));
    for spec in &wanted {
        let ways = needs(planner, spec, entries).into_iter().filter_map(|(domain, lacking)| {
            let mut after = planner.clone();
            let moves = moves_out_of(&mut after, &domain, spec, lacking, &wanted, entries)?;
            Some((moves.iter().map(|it| it.size).sum::<u16>(), domain, moves, after))
        });
        let Some((_, domain, moves, after)) = ways.min_by_key(|it| it.0) else { continue };
        *planner = after;
        for it in moves {
            entries[it.entry].domain = it.to;
            entries[it.entry].moving_from = Some(domain.clone());
        }
    }
}

/// Returns the domains where a group could be completed, with the VMs that it lacks there.
fn needs(
    planner: &Planner<'_>,
    spec: &GroupSpec,
    entries: &[Placement],
) -> Vec<(FabricDomain, u16)> {
    let is_left =
        |domain: &FabricDomain| entries.iter().any(|it| it.moving_from.as_ref() == Some(domain));
    match entries.iter().find(|it| it.group == spec.id) {
        Some(placed) => {
            let is_stuck = placed.moving_from.is_none()
                && planner.current.domain_of(&spec.id) == Some(&placed.domain)
                && planner.is_incomplete(&spec.id, &placed.domain)
                && !has_room_elsewhere(planner, spec, &placed.domain)
                && !is_left(&placed.domain);
            is_stuck.then(|| (placed.domain.clone(), LACKING_MIN)).into_iter().collect()
        }
        None => {
            let domains = planner.rooms.iter().filter(|(domain, _)| !is_left(domain));
            let lacking =
                domains.map(|(domain, idle)| (domain.clone(), spec.size.0.saturating_sub(*idle)));
            lacking.collect()
        }
    }
}

/// Returns moves that free at least `lacking` VMs of a domain, if there are such.
fn moves_out_of(
    planner: &mut Planner<'_>,
    domain: &FabricDomain,
    needy: &GroupSpec,
    lacking: u16,
    wanted: &[&GroupSpec],
    entries: &[Placement],
) -> Option<Vec<RoomMove>> {
    let mut freed = 0;
    let mut moves = Vec::new();
    // The smallest groups come last among those wanted; they find room most easily.
    for spec in wanted.iter().rev().filter(|it| it.size < needy.size && it.domain.is_none()) {
        if freed >= lacking {
            break;
        }
        let Some(entry) = entries.iter().position(|it| it.group == spec.id) else { continue };
        let placed = &entries[entry];
        let is_settled = placed.domain == *domain
            && placed.moving_from.is_none()
            && planner.phase(&spec.id, domain) == Some(GroupPhase::Serving)
            && !planner.is_incomplete(&spec.id, domain);
        if !is_settled {
            continue;
        }
        let Some(to) = planner.take_room(spec, Some(domain)) else { continue };
        freed += spec.size.0;
        moves.push(RoomMove { entry, size: spec.size.0, to });
    }
    (freed >= lacking).then_some(moves)
}

fn has_room_elsewhere(planner: &Planner<'_>, spec: &GroupSpec, home: &FabricDomain) -> bool {
    planner.rooms.iter().any(|(domain, idle)| domain != home && *idle >= spec.size.0)
}
