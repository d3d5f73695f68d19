//! Tests of placement, member choice, load order and retries.

use std::time::Duration;
use std::time::Instant;

use mangocross_policy::DomainCapacity;
use mangocross_policy::MemberCandidate;
use mangocross_policy::PendingLoad;
use mangocross_policy::RetryBudget;
use mangocross_policy::RunningLoad;
use mangocross_policy::choose_domain;
use mangocross_policy::choose_loads;
use mangocross_policy::choose_members;
use mangocross_policy::full_jitter;
use mangocross_types::FabricDomain;
use mangocross_types::GroupSize;
use mangocross_types::VmId;

fn domain(name: &str) -> FabricDomain {
    name.parse().unwrap()
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn chosen(size: u16, capacities: &[DomainCapacity]) -> Option<FabricDomain> {
    choose_domain(GroupSize(size), capacities).cloned()
}

#[test]
fn large_capacity_is_not_fragmented() {
    let capacities = [DomainCapacity::new(domain("a"), 16), DomainCapacity::new(domain("b"), 5)];
    assert_eq!(chosen(4, &capacities), Some(domain("b")));
    assert_eq!(chosen(16, &capacities), Some(domain("a")));
    assert_eq!(chosen(17, &capacities), None);
}

#[test]
fn small_groups_leave_room_for_a_large_one_that_comes_later() {
    let mut capacities =
        vec![DomainCapacity::new(domain("a"), 12), DomainCapacity::new(domain("b"), 12)];
    for size in [4, 4, 4, 12] {
        let to = chosen(size, &capacities).expect("there is capacity");
        let capacity = capacities.iter_mut().find(|it| it.domain == to).expect("a domain of these");
        capacity.idle_vms -= size;
    }
    assert!(capacities.iter().all(|it| it.idle_vms == 0));
}

#[test]
fn domain_that_holds_the_weights_goes_first() {
    let warm = DomainCapacity::new(domain("b"), 8).idle_with_weights(4);
    let capacities = [DomainCapacity::new(domain("a"), 8), warm];
    assert_eq!(chosen(4, &capacities), Some(domain("b")));
}

#[test]
fn members_hold_weights_and_are_eligible() {
    let any = |name| MemberCandidate::new(vm(name));
    let candidates = [
        any("cold"),
        MemberCandidate { has_weights: true, ..any("warm") },
        MemberCandidate { has_weights: true, leaving: true, ..any("leaving") },
        MemberCandidate { has_weights: true, straggling: true, ..any("slow") },
        MemberCandidate { has_weights: true, recent_failures: 3, ..any("failing") },
    ];
    let members = |size| choose_members(GroupSize(size), &candidates);
    assert_eq!(members(2), Some(vec![vm("warm"), vm("cold")]));
    assert_eq!(members(3), Some(vec![vm("warm"), vm("cold"), vm("failing")]));
    assert_eq!(members(4), None);
    assert_eq!(members(0), None);
}

fn pending(name: &str, domain_name: &str, group: &str, lacks: u16, now: Instant) -> PendingLoad {
    PendingLoad {
        vm: vm(name),
        domain: domain(domain_name),
        group: group.parse().unwrap(),
        group_loads_left: lacks,
        group_blocked: false,
        down_since: now,
    }
}

#[test]
fn unreachable_domain_leaves_the_weight_store_to_the_others() {
    let now = Instant::now();
    let dark = (0..30).map(|it| pending(&format!("dark-{it}"), "dark", "g", 16, now));
    let mut all: Vec<PendingLoad> = dark.collect();
    all.push(pending("other", "other", "h", 20, now));
    let started = choose_loads(&all, &[], 4);
    assert_eq!(started.len(), 4);
    assert!(started.contains(&vm("other")));
    let running: Vec<RunningLoad> = (0..4)
        .map(|it| RunningLoad {
            vm: vm(&format!("dark-{it}")),
            domain: domain("dark"),
            unreachable: true,
        })
        .collect();
    assert_eq!(choose_loads(&all, &running, 4).len(), 4, "unreachable VMs use no slot");
}

#[test]
fn group_that_lacks_the_fewest_loads_goes_first_within_the_limit() {
    let now = Instant::now();
    let mut all = vec![
        pending("a1", "d", "a", 2, now - Duration::from_secs(60)),
        pending("a2", "d", "a", 2, now - Duration::from_secs(60)),
        pending("b1", "d", "b", 1, now),
    ];
    assert_eq!(choose_loads(&all, &[], 2), vec![vm("b1"), vm("a1")]);
    let running = [RunningLoad { vm: vm("a1"), domain: domain("d"), unreachable: false }];
    assert_eq!(choose_loads(&all, &running, 2), vec![vm("b1")]);
    assert_eq!(choose_loads(&all, &running, 1), Vec::<VmId>::new());
    all[2].group_blocked = true;
    assert_eq!(choose_loads(&all, &[], 1), vec![vm("a1")]);
}

#[test]
fn outage_does_not_double_the_load() {
    let mut budget = RetryBudget::default();
    let retries = (0..1_000).filter(|_| budget.try_retry()).count();
    assert_eq!(retries, 10);
    (0..100).for_each(|_| budget.record_success());
    assert_eq!((0..1_000).filter(|_| budget.try_retry()).count(), 9);
}

#[test]
fn backoff_is_spread_and_bounded() {
    let (base, max) = (Duration::from_millis(100), Duration::from_secs(5));
    let waits: Vec<Duration> = (0..500).map(|seed| full_jitter(base, max, 40, seed)).collect();
    assert!(waits.iter().all(|it| *it <= max));
    assert!(waits.iter().any(|it| *it < max / 10));
    assert!(waits.iter().any(|it| *it > max * 9 / 10));
    assert!((0..500).all(|seed| full_jitter(base, max, 1, seed) <= base * 2));
}
