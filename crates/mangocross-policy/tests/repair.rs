//! Tests of repair decisions.

use std::time::Duration;
use std::time::Instant;

use mangocross_policy::BrokenGroup;
use mangocross_policy::DomainCapacity;
use mangocross_policy::Donor;
use mangocross_policy::MemberCandidate;
use mangocross_policy::MemberCondition;
use mangocross_policy::RepairDecision;
use mangocross_policy::RepairTimes;
use mangocross_policy::UnhealthyMember;
use mangocross_policy::decide_repair;
use mangocross_types::GroupSize;
use mangocross_types::PolicyParameters;
use mangocross_types::VmId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const LOAD: Duration = Duration::from_secs(60);
const WARM_LOAD: Duration = Duration::from_secs(10);
const RESTART: Duration = Duration::from_secs(110);

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn spare(number: usize, has_weights: bool) -> MemberCandidate {
    MemberCandidate { has_weights, ..MemberCandidate::new(vm(number)) }
}

/// Returns a group of four that lacks its last member.
fn broken(now: Instant) -> BrokenGroup {
    BrokenGroup {
        group: "g".parse().unwrap(),
        size: GroupSize(4),
        accelerators: 1,
        survivors: (0..3).map(vm).collect(),
        unhealthy: vec![UnhealthyMember {
            vm: vm(3),
            condition: MemberCondition::Missing,
            since: now,
            expected_back: None,
        }],
        spares: Vec::new(),
        donors: Vec::new(),
        other_domains: Vec::new(),
        times: RepairTimes {
            load: LOAD,
            concurrent_loads: 8,
            loads_before: 0,
            warm_load: WARM_LOAD,
            restart: RESTART,
        },
    }
}

fn decide(group: &BrokenGroup, now: Instant) -> RepairDecision {
    decide_repair(group, &PolicyParameters::default(), now).decision
}

#[test]
fn warm_spare_goes_before_a_cold_one_and_a_cold_one_before_waiting() {
    let now = Instant::now();
    let mut group = broken(now);
    assert_eq!(decide(&group, now), RepairDecision::WaitUntil(now + RESTART));
    group.spares = vec![spare(8, false)];
    assert_eq!(decide(&group, now), RepairDecision::ReplaceWith(vec![vm(8)]));
    group.spares.push(spare(9, true));
    assert_eq!(decide(&group, now), RepairDecision::ReplaceWith(vec![vm(9)]));
}

#[test]
fn member_that_is_back_before_a_cold_load_ends_is_waited_for() {
    let now = Instant::now();
    let mut group = broken(now);
    group.spares = vec![spare(8, false)];
    let back = now + Duration::from_secs(30);
    group.unhealthy[0].expected_back = Some(back);
    assert_eq!(decide(&group, now), RepairDecision::WaitUntil(back));
    group.spares = vec![spare(9, true)];
    assert_eq!(decide(&group, now), RepairDecision::ReplaceWith(vec![vm(9)]));
}

#[test]
fn load_that_waits_for_the_weight_store_counts_in_full() {
    let now = Instant::now();
    let mut group = broken(now);
    group.spares = vec![spare(8, false)];
    group.times.loads_before = 16;
    assert!(matches!(decide(&group, now), RepairDecision::WaitUntil(_)));
}

#[test]
fn group_without_spares_moves_to_a_domain_with_room() {
    let now = Instant::now();
    let mut group = broken(now);
    let capacity = DomainCapacity::new("other".parse().unwrap(), 6);
    group.other_domains = vec![capacity];
    let domain = "other".parse().unwrap();
    assert_eq!(decide(&group, now), RepairDecision::MoveToDomain(domain));
}

#[test]
fn survivors_of_two_broken_groups_form_one() {
    let now = Instant::now();
    let mut group = broken(now);
    let survivors = (10..12).map(|it| spare(it, true)).collect();
    group.donors = vec![Donor { group: "h".parse().unwrap(), survivors, complete_at: None }];
    let donor = "h".parse().unwrap();
    assert_eq!(decide(&group, now), RepairDecision::Merge { donor, vms: vec![vm(10)] });
}

#[test]
fn straggler_is_replaced_only_when_that_costs_less_than_its_slowdown() {
    let now = Instant::now();
    let mut group = broken(now);
    group.spares = vec![spare(9, true)];
    group.unhealthy[0].since = now - Duration::from_secs(120);
    group.unhealthy[0].condition = MemberCondition::Straggling { slowdown: 4.0 };
    assert_eq!(decide(&group, now), RepairDecision::ReplaceWith(vec![vm(9)]));
    group.unhealthy[0].condition = MemberCondition::Straggling { slowdown: 1.05 };
    assert!(matches!(decide(&group, now), RepairDecision::WaitUntil(_)));
}

/// Returns a random group with random spares, donors and domain capacities.
fn any_group(random: &mut fastrand::Rng, now: Instant) -> BrokenGroup {
    let mut group = broken(now);
    let size = random.usize(1..9);
    let lost = random.usize(0..=size);
    group.size = GroupSize(size as u16);
    group.survivors = (0..size - lost).map(vm).collect();
    let unhealthy = |number| UnhealthyMember {
        vm: vm(number),
        condition: match random.u8(..3) {
            0 => MemberCondition::Missing,
            1 => MemberCondition::Leaving,
            _ => MemberCondition::Straggling { slowdown: 1.0 + 5.0 * random.f64() },
        },
        since: now,
        expected_back: random.bool().then(|| now + Duration::from_secs(random.u64(..600))),
    };
    group.unhealthy = (size - lost..size).map(unhealthy).collect();
    let any_spare = |number, random: &mut fastrand::Rng| MemberCandidate {
        leaving: random.u8(..4) == 0,
        straggling: random.u8(..4) == 0,
        recent_failures: random.u32(..4),
        ..spare(number, random.bool())
    };
    group.spares = (100..100 + random.usize(..6)).map(|it| any_spare(it, random)).collect();
    let survivors = (200..200 + random.usize(..6)).map(|it| any_spare(it, random)).collect();
    let complete_at = random.bool().then(|| now + Duration::from_secs(random.u64(..600)));
    group.donors = vec![Donor { group: "h".parse().unwrap(), survivors, complete_at }];
    let capacity = DomainCapacity::new("other".parse().unwrap(), random.u16(..12));
    group.other_domains = vec![capacity.idle_with_weights(random.u16(..12))];
    group.times.loads_before = random.u32(..20);
    group
}

#[test]
fn every_repair_has_a_gain_and_uses_only_eligible_vms() {
    fn property(seed: u64, downtime: u8, stranded: u8) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let group = any_group(&mut random, now);
        let policy = PolicyParameters {
            group_downtime: f64::from(downtime) + 0.1,
            stranded_accelerator: f64::from(stranded) + 0.1,
            ..PolicyParameters::default()
        };
        let plan = decide_repair(&group, &policy, now);
        let lacking = usize::from(group.size.0) - group.survivors.len();
        let donors = group.donors.iter().flat_map(|it| &it.survivors);
        let known: Vec<&MemberCandidate> = group.spares.iter().chain(donors).collect();
        let is_eligible =
            |it: &VmId| known.iter().any(|c| c.vm == *it && !c.leaving && !c.straggling);
        let is_possible = match &plan.decision {
            RepairDecision::Nothing => return group.unhealthy.is_empty(),
            RepairDecision::WaitUntil(at) => return *at > now,
            RepairDecision::ReplaceWith(vms) | RepairDecision::Merge { vms, .. } => {
                vms.len() == lacking && vms.iter().all(is_eligible)
            }
            RepairDecision::MoveToDomain(_) => group.other_domains[0].idle_vms >= group.size.0,
        };
        is_possible && plan.gain.weighted(&policy) > 0.0
    }
    let cases = std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(cases.unwrap_or(2_000))
        .max_tests(cases.unwrap_or(2_000) * 10)
        .quickcheck(property as fn(u64, u8, u8) -> bool);
}
