//! Reconciliation of groups with silent, lost, leaving or slow members, and placement of groups.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::DomainInput;
use mangocross_coordination::DomainState;
use mangocross_coordination::EngineVm;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::PlacementPlanner;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::ReconcileStep;
use mangocross_coordination::VmHolders;
use mangocross_coordination::groups_to_move;
use mangocross_coordination::incomplete_groups;
use mangocross_coordination::reconcile;
use mangocross_policy::RepairTimes;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::DesiredState;
use mangocross_types::DomainAssignment;
use mangocross_types::EngineRole;
use mangocross_types::FenceMode;
use mangocross_types::FencingNumber;
use mangocross_types::GroupPhase;
use mangocross_types::Placements;
use mangocross_types::Revision;
use mangocross_types::VmId;
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().expect("a valid id")
}

/// Two serving groups of two members each on VMs 0 to 3, as seen by their owner.
struct Fixture {
    start: Instant,
    now: Instant,
    copy: AssignmentCopy,
    engines: Vec<EngineVm>,
    probes: ProbeTable,
    holders: VmHolders,
}

impl Fixture {
    /// Returns a domain with a number of VMs.
    fn new(vms: usize) -> Self {
        let group = |number: usize| {
            json!({"group": format!("group-{number}"), "incarnation": number + 1, "model": "letters",
                "model_version": "v1", "phase": "serving",
                "members": [vm(2 * number), vm(2 * number + 1)]})
        };
        let assignment: DomainAssignment = serde_json::from_value(json!({
            "domain": "domain-1", "owner": "entry-1", "fencing_number": 1, "next_incarnation": 9,
            "registered": (4..vms).map(vm).collect::<Vec<_>>(), "groups": [group(0), group(1)],
        }))
        .expect("an assignment");
        let start = Instant::now() + Duration::from_secs(100);
        let engine = |number| EngineVm {
            vm: vm(number),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: false,
            listed: true,
        };
        let copy = AssignmentCopy::new(assignment, Revision(1), start, start);
        let engines = (0..vms).map(engine).collect();
        let holders = VmHolders::new([], start);
        Self { start, now: start, copy, engines, probes: ProbeTable::default(), holders }
    }

    /// Probes all VMs for a time; the probes of `failing` VMs fail.
    fn probe(&mut self, milliseconds: u32, failing: &[usize]) {
        for _ in 0..milliseconds / 500 {
            self.now += 500 * MS;
            for number in 0..self.engines.len() {
                match failing.contains(&number) {
                    true => self.probes.record_failure(&vm(number), self.now, "silent".into()),
                    false => {
                        let report = report(number);
                        self.probes.record_answer(&vm(number), self.now, self.now, report);
                    }
                }
            }
        }
    }

    fn input<'a>(
        &'a self,
        configuration: &'a Configuration,
        placements: &'a Placements,
    ) -> DomainInput<'a> {
        DomainInput {
            copy: &self.copy,
            configuration,
            placements,
            engines: &self.engines,
            probes: &self.probes,
            holders: &self.holders,
            authority: OrderAuthority::Full { deadline: self.now + 2_000 * MS },
            now: self.now,
            probe_ttl: 2_000 * MS,
            stall_limit: 3_000 * MS,
            lost_after: 3_000 * MS,
            lost_after_with_spare: 1_000 * MS,
            order_lifetime: 2_000 * MS,
            repair_times: RepairTimes {
                load: Duration::from_secs(60),
                concurrent_loads: 8,
                loads_before: 0,
                warm_load: Duration::from_secs(1),
                restart: Duration::from_secs(180),
            },
        }
    }

    fn steps(&self) -> Vec<ReconcileStep> {
        reconcile(&self.input(&configuration(), &placements()))
    }

    /// Returns the groups after the swap that is due, by their members.
    fn swapped(&self) -> Option<Vec<(String, GroupPhase, Vec<VmId>)>> {
        let ReconcileStep::Swap(next) = self.steps().into_iter().next()? else { return None };
        let groups = next.groups.into_iter();
        Some(groups.map(|it| (it.group.to_string(), it.phase, it.members)).collect())
    }
}

fn report(number: usize) -> BackendReport {
    let in_group = number < 4;
    serde_json::from_value(json!({
        "vm": vm(number), "state": if in_group { "ready" } else { "idle" },
        "group": in_group.then(|| format!("group-{}", number / 2)),
        "incarnation": if in_group { number / 2 + 1 } else { 0 }, "rank": number % 2,
        "role": "serving", "model_version": in_group.then_some("v1"),
        "cached_versions": [], "running": 0, "queued": 0, "load_age_ms": 0, "steps": 0,
        "fencing_number": 1,
    }))
    .expect("a report")
}

fn configuration() -> Configuration {
    let group = |number: usize| {
        json!({"id": format!("group-{number}"), "model": "letters", "model_version": "v1",
            "size": 2, "desired": "serving"})
    };
    serde_json::from_value(json!({"groups": [group(0), group(1)]})).expect("a configuration")
}

fn placements() -> Placements {
    let entry = |group: &str| json!({"group": group, "domain": "domain-1"});
    serde_json::from_value(json!({"entries": [entry("group-0"), entry("group-1")]}))
        .expect("placements")
}

#[test]
fn new_owner_that_has_probed_only_some_members_changes_nothing() {
    let mut domain = Fixture::new(6);
    assert_eq!(domain.steps(), Vec::new());
    domain.probes.record_answer(&vm(0), domain.now, domain.now, report(0));
    domain.probes.record_answer(&vm(4), domain.now, domain.now, report(4));
    domain.probes.record_answer(&vm(5), domain.now, domain.now, report(5));
    assert_eq!(domain.steps(), Vec::new());
}

#[test]
fn owner_paused_for_ten_minutes_replaces_no_member() {
    let mut domain = Fixture::new(6);
    domain.probe(1_000, &[]);
    domain.now += Duration::from_secs(600);
    // The pending probe fails; the next ones of most VMs are answered.
    domain.probes.record_failure(&vm(1), domain.start + 1_100 * MS, "timed out".into());
    domain.probe(500, &[1]);
    assert_eq!(domain.swapped(), None);
    domain.probe(500, &[]);
    assert_eq!(domain.steps(), Vec::new());
}

#[test]
fn silent_member_is_waited_for_and_a_lost_one_is_replaced() {
    let mut domain = Fixture::new(6);
    domain.probe(1_000, &[]);
    domain.probe(2_500, &[1]);
    assert_eq!(domain.swapped(), None);
    domain.probe(1_500, &[1]);
    let groups = domain.swapped().expect("the group is re-formed");
    let members = &groups.iter().find(|it| it.0 == "group-0").expect("the group is assigned").2;
    assert_eq!(*members, [vm(0), vm(4)]);
}

#[test]
fn silent_member_is_replaced_sooner_by_a_vm_that_holds_the_weights() {
    let replaced = |failing: &[usize], warm: &[usize]| {
        let mut domain = Fixture::new(6);
        domain.probe(1_000, &[]);
        domain.probe(2_000, failing);
        for number in warm {
            let holds = vec!["v1".parse().expect("a valid version")];
            let report = BackendReport { cached_versions: holds, ..report(*number) };
            domain.probes.record_answer(&vm(*number), domain.now, domain.now, report);
        }
        let groups = domain.swapped()?;
        Some(groups.into_iter().find(|it| it.0 == "group-0").expect("the group is assigned").2)
    };
    assert_eq!(replaced(&[1], &[]), None);
    assert_eq!(replaced(&[1], &[5]), Some(vec![vm(0), vm(5)]));
    assert_eq!(replaced(&[0, 1], &[5]), None);
    assert_eq!(replaced(&[0, 1], &[4, 5]), Some(vec![vm(4), vm(5)]));
}

#[test]
fn fencing_number_rises_above_that_of_a_vm_from_another_domain() {
    let mut domain = Fixture::new(6);
    domain.probe(500, &[]);
    let moved = BackendReport { fencing_number: FencingNumber(7), ..report(5) };
    domain.probes.record_answer(&vm(5), domain.now, domain.now, moved);
    let raised = |fence_mode, authority| {
        let configuration = Configuration { fence_mode, ..configuration() };
        let placements = placements();
        let input = DomainInput { authority, ..domain.input(&configuration, &placements) };
        match reconcile(&input).into_iter().next() {
            Some(ReconcileStep::Swap(next)) => Some(next.fencing_number),
            _ => None,
        }
    };
    let full = OrderAuthority::Full { deadline: domain.now };
    assert_eq!(raised(FenceMode::Honoured, full), Some(FencingNumber(8)));
    assert_eq!(raised(FenceMode::Honoured, OrderAuthority::IdleOnly), None);
    assert_eq!(raised(FenceMode::Ignored, full), None);
}

#[test]
fn survivors_of_two_broken_groups_form_one() {
    let mut domain = Fixture::new(4);
    domain.probe(1_000, &[]);
    domain.probe(4_000, &[1, 3]);
    let groups = domain.swapped().expect("one group is re-formed");
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].2, [vm(0), vm(2)]);
}

#[test]
fn group_with_a_leaving_member_drains_and_is_incomplete_without_a_spare() {
    let mut domain = Fixture::new(4);
    domain.probe(1_000, &[]);
    domain.engines[1].leaving = true;
    let groups = domain.swapped().expect("the group drains");
    assert_eq!((groups[0].1, groups[1].1), (GroupPhase::Draining, GroupPhase::Serving));
    assert_eq!(groups[0].2, [vm(0), vm(1)]);
    let incomplete = incomplete_groups(&domain.input(&configuration(), &placements()));
    assert_eq!(incomplete.iter().map(ToString::to_string).collect::<Vec<_>>(), ["group-0"]);
}

#[test]
fn unconfirmed_owner_gives_no_order_once_an_engine_reports_a_later_owner() {
    let mut domain = Fixture::new(4);
    domain.probe(500, &[]);
    let mut empty = report(5);
    empty.vm = vm(1);
    domain.probes.record_answer(&vm(1), domain.now, domain.now, empty);
    let (configuration, placements) = (configuration(), placements());
    let unconfirmed = |domain: &Fixture| {
        let input = domain.input(&configuration, &placements);
        reconcile(&DomainInput { authority: OrderAuthority::IdleOnly, ..input }).len()
    };
    assert_eq!(unconfirmed(&domain), 1);
    let mut later = report(2);
    later.fencing_number.0 = 2;
    domain.probes.record_answer(&vm(2), domain.now, domain.now, later);
    assert_eq!(unconfirmed(&domain), 0);
}

#[test]
fn placement_keeps_the_old_domain_until_the_new_one_has_served_long_enough() {
    let serving_time_min = 2_000 * MS;
    let mut planner = PlacementPlanner::new(serving_time_min);
    let mut wanted = configuration();
    wanted.groups.truncate(1);
    wanted.groups[0].domain = Some("domain-2".parse().expect("a valid id"));
    let here = Fixture::new(4).copy.assignment;
    let domain_state = |idle_vms| DomainState {
        domain: "domain-2".parse().expect("a valid id"),
        idle_vms,
        groups_to_move: Vec::new(),
        incomplete_groups: Vec::new(),
    };
    let now = Instant::now();
    let mut plan = |current: &Placements, assignments: &[DomainAssignment], idle, now| {
        let next = planner.plan(&wanted, current, assignments, &[domain_state(idle)], now);
        let entry = next.entries[0].clone();
        let old = entry.moving_from.map(|it| it.to_string());
        (next, entry.domain.to_string(), old)
    };
    let (_, domain, _) = plan(&placements(), std::slice::from_ref(&here), 1, now);
    assert_eq!(domain, "domain-1", "there is no room yet");
    let (moving, domain, old) = plan(&placements(), std::slice::from_ref(&here), 2, now);
    assert_eq!((domain.as_str(), old.as_deref()), ("domain-2", Some("domain-1")));
    let there =
        DomainAssignment { domain: "domain-2".parse().expect("a valid id"), ..here.clone() };
    let both = [here, there];
    let (_, _, old) = plan(&moving, &both, 0, now);
    assert_eq!(old.as_deref(), Some("domain-1"));
    let (_, _, old) = plan(&moving, &both, 0, now + serving_time_min);
    assert_eq!(old, None);
}

/// In the order of the configuration the small groups would leave no room for the large one.
#[test]
fn groups_that_start_together_are_placed_largest_first() {
    let group = |id: &str, size| json!({"id": id, "model": "letters", "model_version": "v1", "size": size, "desired": "serving"});
    let groups = json!([group("a", 3), group("b", 4), group("c", 5)]);
    let wanted: Configuration =
        serde_json::from_value(json!({"groups": groups})).expect("a configuration");
    let domain_state = |domain: &str, idle_vms| DomainState {
        domain: domain.parse().expect("a valid id"),
        idle_vms,
        groups_to_move: Vec::new(),
        incomplete_groups: Vec::new(),
    };
    let states = [domain_state("domain-1", 5), domain_state("domain-2", 7)];
    let mut planner = PlacementPlanner::new(1_000 * MS);
    let planned = planner.plan(&wanted, &Placements::default(), &[], &states, Instant::now());
    let ids: Vec<&str> = planned.entries.iter().map(|it| it.group.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

/// The large group could be repaired in no other domain, so the small one leaves it the spares.
#[test]
fn small_group_leaves_spares_to_a_large_one_that_fits_nowhere_else() {
    let group = |id: &str, size| json!({"id": id, "model": "letters", "model_version": "v1", "size": size, "desired": "serving"});
    let wanted: Configuration =
        serde_json::from_value(json!({"groups": [group("large", 4), group("small", 2)]}))
            .expect("a configuration");
    let domain_state = |domain: &str, idle_vms| DomainState {
        domain: domain.parse().expect("a valid id"),
        idle_vms,
        groups_to_move: Vec::new(),
        incomplete_groups: Vec::new(),
    };
    let states =
        [domain_state("domain-1", 6), domain_state("domain-2", 3), domain_state("domain-3", 3)];
    let mut planner = PlacementPlanner::new(1_000 * MS);
    let planned = planner.plan(&wanted, &Placements::default(), &[], &states, Instant::now());
    let domain = |at: usize| planned.entries[at].domain.as_str();
    assert_eq!((domain(0), domain(1)), ("domain-1", "domain-2"));
    let only = [domain_state("domain-1", 6)];
    let planned = planner.plan(&wanted, &Placements::default(), &[], &only, Instant::now());
    assert_eq!(planned.entries.len(), 2, "without room elsewhere it uses the spares");
}

/// A member is lost and there is no spare; whether to move depends on the expected times.
#[test]
fn group_is_moved_only_when_loading_elsewhere_is_faster_than_waiting() {
    let mut domain = Fixture::new(4);
    domain.probe(1_000, &[]);
    domain.probe(4_000, &[1]);
    let (configuration, placements) = (configuration(), placements());
    let input = domain.input(&configuration, &placements);
    assert_eq!(groups_to_move(&input).len(), 1);
    let load = Duration::from_secs(600);
    let repair_times = RepairTimes { load, ..input.repair_times };
    assert_eq!(groups_to_move(&DomainInput { repair_times, ..input }).len(), 0);
    assert_eq!(incomplete_groups(&input).len(), 1);
}

/// Returns when a draining group is unloaded. Its members report that they drain from
/// `first_draining_ms` on, and at all times a load of zero that was measured `load_lag_ms` earlier.
fn unloaded_at(first_draining_ms: u32, load_lag_ms: u64) -> Option<u32> {
    let mut domain = Fixture::new(4);
    let mut wanted = configuration();
    wanted.groups[0].desired = DesiredState::Stopped;
    let mut assignment = domain.copy.assignment.clone();
    assignment.groups[0].phase = GroupPhase::Draining;
    let start = domain.start;
    // Half a second of answers precedes the change to this phase.
    domain.copy = AssignmentCopy::new(assignment, Revision(2), start, start + 500 * MS);
    for elapsed_ms in (0..20_000).step_by(100) {
        domain.now = start + elapsed_ms * MS;
        for number in 0..4 {
            let mut report = report(number);
            report.load_age_ms = load_lag_ms;
            if number < 2 && elapsed_ms >= first_draining_ms {
                report.role = EngineRole::Draining;
            }
            let (sent_at, answered_at) = (domain.now, domain.now + 50 * MS);
            domain.probes.record_answer(&vm(number), sent_at, answered_at, report);
        }
        let steps = reconcile(&domain.input(&wanted, &placements()));
        if elapsed_ms > 500 && matches!(steps.first(), Some(ReconcileStep::Swap(_))) {
            return Some(elapsed_ms);
        }
    }
    None
}

/// The phase is read at 0.5 s, orders expire after 2 s, probes are sent every 0.1 s.
#[test]
fn load_counts_only_when_measured_after_the_drain_is_confirmed() {
    assert_eq!(unloaded_at(0, 0), Some(2_600));
    assert_eq!(unloaded_at(6_000, 0), Some(6_100));
    assert_eq!(unloaded_at(6_000, 3_000), Some(9_100));
    assert_eq!(unloaded_at(30_000, 0), None);
}

/// A load order from before the unloading phase may still arrive for one order lifetime.
#[test]
fn group_is_removed_only_after_late_loads_have_expired() {
    let mut domain = Fixture::new(4);
    let mut wanted = configuration();
    wanted.groups[0].desired = DesiredState::Stopped;
    let mut assignment = domain.copy.assignment.clone();
    assignment.groups[0].phase = GroupPhase::Unloading;
    domain.copy = AssignmentCopy::new(assignment, Revision(2), domain.start, domain.start);
    let mut removed_at = None;
    for elapsed_ms in (0..4_000_u32).step_by(100) {
        domain.now = domain.start + elapsed_ms * MS;
        let probed = if elapsed_ms % 700 == 0 { 0..4 } else { 0..0 };
        for number in probed {
            let mut report = report(if number < 2 { number + 4 } else { number });
            report.vm = vm(number);
            domain.probes.record_answer(&vm(number), domain.now, domain.now, report);
        }
        let steps = reconcile(&domain.input(&wanted, &placements()));
        if matches!(steps.first(), Some(ReconcileStep::Swap(_))) {
            removed_at = Some(elapsed_ms);
            break;
        }
    }
    assert_eq!(removed_at, Some(2_100));
}
