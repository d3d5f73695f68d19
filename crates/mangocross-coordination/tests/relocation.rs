//! Moves of smaller groups out of a fabric domain that a larger group needs.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::DomainState;
use mangocross_coordination::PlacementPlanner;
use mangocross_types::Configuration;
use mangocross_types::DomainAssignment;
use mangocross_types::Placements;
use serde_json::json;

const SERVING_TIME_MIN: Duration = Duration::from_secs(2);

/// Fabric domain `domain-1` with a large group of four and a small one of two on its six VMs.
struct FullDomain {
    planner: PlacementPlanner,
    configuration: Configuration,
    current: Placements,
    assignments: Vec<DomainAssignment>,
    now: Instant,
}

impl FullDomain {
    fn new() -> Self {
        let mut full = Self {
            planner: PlacementPlanner::new(SERVING_TIME_MIN),
            configuration: configuration(&[("large", 4), ("small", 2)]),
            current: Placements::default(),
            assignments: Vec::new(),
            now: Instant::now(),
        };
        full.plan(&[domain_state("domain-1", 6, &[])]);
        full.assignments = vec![serving("domain-1", &["large", "small"])];
        full
    }

    fn plan(&mut self, domains: &[DomainState]) {
        self.current = self.planner.plan(
            &self.configuration,
            &self.current,
            &self.assignments,
            domains,
            self.now,
        );
    }

    /// Returns the domain that a group is placed in, and the one it moves out of.
    fn place(&self, group: &str) -> (&str, Option<&str>) {
        let placed = self.current.entries.iter().find(|it| it.group.as_str() == group);
        let placed = placed.expect("the group is placed");
        (placed.domain.as_str(), placed.moving_from.as_ref().map(|it| it.as_str()))
    }
}

fn configuration(groups: &[(&str, u16)]) -> Configuration {
    let group = |it: &(&str, u16)| {
        json!({"id": it.0, "model": "letters", "model_version": "v1", "size": it.1,
            "desired": "serving"})
    };
    let groups: Vec<_> = groups.iter().map(group).collect();
    serde_json::from_value(json!({"groups": groups})).expect("a configuration")
}

fn domain_state(domain: &str, idle_vms: u16, states: &[&str]) -> DomainState {
    let states: Vec<_> = states.iter().map(|it| it.parse().expect("a valid id")).collect();
    DomainState {
        domain: domain.parse().expect("a valid id"),
        idle_vms,
        groups_to_move: states.clone(),
        incomplete_groups: states,
    }
}

fn serving(domain: &str, groups: &[&str]) -> DomainAssignment {
    let group = |it: &&str| {
        json!({"group": it, "incarnation": 1, "model": "letters", "model_version": "v1",
            "members": [], "phase": "serving"})
    };
    let groups: Vec<_> = groups.iter().map(group).collect();
    let mut empty = DomainAssignment::empty(domain.parse().expect("a valid id"));
    empty.groups = serde_json::from_value(json!(groups)).expect("assigned groups");
    empty
}

#[test]
fn small_group_is_moved_for_a_large_one_that_fits_nowhere_else() {
    let mut full = FullDomain::new();
    let states = [domain_state("domain-1", 0, &["large"]), domain_state("domain-2", 3, &[])];
    full.plan(&states);
    assert_eq!(full.place("large"), ("domain-1", None));
    assert_eq!(full.place("small"), ("domain-2", Some("domain-1")));
    full.plan(&states);
    assert_eq!(full.place("small"), ("domain-2", Some("domain-1")), "it keeps serving meanwhile");
    full.assignments.push(serving("domain-2", &["small"]));
    full.plan(&states);
    full.now += SERVING_TIME_MIN;
    full.plan(&states);
    assert_eq!(full.place("small"), ("domain-2", None));
    full.assignments[0] = serving("domain-1", &["large"]);
    full.plan(&[domain_state("domain-1", 2, &[]), domain_state("domain-2", 1, &[])]);
    assert_eq!(full.place("large"), ("domain-1", None));
    assert_eq!(full.place("small"), ("domain-2", None));
}

#[test]
fn small_group_stays_where_the_large_one_fits_elsewhere() {
    let mut full = FullDomain::new();
    full.plan(&[domain_state("domain-1", 0, &["large"]), domain_state("domain-2", 4, &[])]);
    assert_eq!(full.place("large"), ("domain-2", None));
    assert_eq!(full.place("small"), ("domain-1", None));
}

/// Waiting for its member may be faster than forming the large group in the other domain.
#[test]
fn small_group_stays_while_the_large_one_waits_and_has_room_elsewhere() {
    let mut full = FullDomain::new();
    let waits =
        DomainState { groups_to_move: Vec::new(), ..domain_state("domain-1", 0, &["large"]) };
    full.plan(&[waits, domain_state("domain-2", 4, &[])]);
    assert_eq!(full.place("large"), ("domain-1", None));
    assert_eq!(full.place("small"), ("domain-1", None));
}

#[test]
fn small_group_stays_without_room_elsewhere_and_where_operators_put_it() {
    let mut full = FullDomain::new();
    full.plan(&[domain_state("domain-1", 0, &["large"]), domain_state("domain-2", 1, &[])]);
    assert_eq!(full.place("small"), ("domain-1", None));
    full.configuration.groups[1].domain = Some("domain-1".parse().expect("a valid id"));
    full.plan(&[domain_state("domain-1", 0, &["large"]), domain_state("domain-2", 3, &[])]);
    assert_eq!(full.place("small"), ("domain-1", None));
}

#[test]
fn large_group_stays_where_only_larger_ones_could_make_room() {
    let mut full = FullDomain::new();
    full.plan(&[domain_state("domain-1", 0, &["small"]), domain_state("domain-2", 1, &[])]);
    assert_eq!(
        (full.place("large"), full.place("small")),
        (("domain-1", None), ("domain-1", None))
    );
}

/// `first` and `second` fill one domain, `third` a part of the other; `large` needs four VMs.
#[test]
fn groups_leave_the_domain_in_which_the_fewest_vms_have_to_move() {
    let groups = [("first", 2), ("second", 2), ("third", 1), ("large", 4)];
    let mut planner = PlacementPlanner::new(SERVING_TIME_MIN);
    let placed = |group: &str, domain: &str| json!({"group": group, "domain": domain});
    let entries = json!([
        placed("first", "domain-1"),
        placed("second", "domain-1"),
        placed("third", "domain-2"),
    ]);
    let current: Placements =
        serde_json::from_value(json!({"entries": entries})).expect("placements");
    let assignments = [serving("domain-1", &["first", "second"]), serving("domain-2", &["third"])];
    let states = [
        domain_state("domain-1", 0, &[]),
        domain_state("domain-2", 3, &[]),
        domain_state("domain-3", 2, &[]),
    ];
    let wanted = configuration(&groups);
    let next = planner.plan(&wanted, &current, &assignments, &states, Instant::now());
    let moving: Vec<(&str, &str)> = next
        .entries
        .iter()
        .filter(|it| it.moving_from.is_some())
        .map(|it| (it.group.as_str(), it.domain.as_str()))
        .collect();
    assert_eq!(moving, [("third", "domain-3")]);
}
