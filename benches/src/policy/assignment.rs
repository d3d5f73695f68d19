//! Applies the decisions of either policy variant to the groups of a fleet.

use std::time::Duration;

use mangocross_policy::BrokenGroup;
use mangocross_policy::DomainCapacity;
use mangocross_policy::Donor;
use mangocross_policy::MemberCandidate;
use mangocross_policy::MemberCondition;
use mangocross_policy::PendingLoad;
use mangocross_policy::PreloadNeed;
use mangocross_policy::PreloadSpare;
use mangocross_policy::RepairDecision;
use mangocross_policy::RepairTimes;
use mangocross_policy::RunningLoad;
use mangocross_policy::UnhealthyMember;
use mangocross_policy::choose_domain;
use mangocross_policy::choose_loads;
use mangocross_policy::choose_members;
use mangocross_policy::choose_preloads;
use mangocross_policy::decide_repair;
use mangocross_policy::preload_slots;
use mangocross_types::FabricDomain;
use mangocross_types::GroupSize;
use mangocross_types::ModelVersion;
use mangocross_types::VmId;

use super::PolicyVariant;
use super::fleet::Fleet;
use super::fleet::LOAD_MS;
use super::fleet::RESTART_MS;
use super::fleet::Vm;
use super::fleet::WARM_LOAD_MS;

/// Places every group that has no members.
pub(crate) fn place_all(fleet: &mut Fleet) {
    let waits = |it: &usize| {
        let group = &fleet.groups[*it];
        fleet.is_started(group) && group.members.is_empty()
    };
    let mut waiting: Vec<usize> = (0..fleet.groups.len()).filter(waits).collect();
    if fleet.variant == PolicyVariant::Project {
        waiting.sort_by_key(|it| std::cmp::Reverse(fleet.groups[*it].size));
    }
    for group in waiting {
        let size = GroupSize(fleet.groups[group].size);
        let Some(domain) = find_domain(fleet, size) else { continue };
        form_in(fleet, group, domain);
    }
}

fn form_in(fleet: &mut Fleet, group: usize, domain: usize) {
    let size = usize::from(fleet.groups[group].size);
    let idle = fleet.idle(domain);
    let members = match fleet.variant {
        PolicyVariant::Naive => idle.get(..size).map(<[usize]>::to_vec),
        PolicyVariant::Project => choose_members(GroupSize(size as u16), &candidates(fleet, &idle))
            .map(|it| vm_numbers(fleet, &it)),
    };
    if let Some(members) = members {
        fleet.form(group, domain, members);
    }
}

fn find_domain(fleet: &Fleet, size: GroupSize) -> Option<usize> {
    let mut all = 0..fleet.domains.len();
    match fleet.variant {
        PolicyVariant::Naive => all.find(|it| fleet.idle(*it).len() >= usize::from(size.0)),
        PolicyVariant::Project => {
            let capacities: Vec<DomainCapacity> =
                all.map(|it| domain_capacity(fleet, it)).collect();
            choose_domain(size, &capacities).map(|it| domain_number(fleet, it))
        }
    }
}

fn domain_capacity(fleet: &Fleet, domain: usize) -> DomainCapacity {
    let idle = fleet.idle(domain);
    let warm = idle.iter().filter(|it| fleet.vms[**it].has_weights).count();
    DomainCapacity::new(fleet.domains[domain].clone(), idle.len() as u16)
        .idle_with_weights(warm as u16)
}

/// Applies the variant's repair decision to each placed group; the naive variant ignores slow
/// members.
pub(crate) fn repair_all(fleet: &mut Fleet) {
    for group in 0..fleet.groups.len() {
        let Some(domain) = fleet.groups[group].domain else { continue };
        if fleet.groups[group].members.is_empty() {
            continue;
        }
        match fleet.variant {
            PolicyVariant::Naive => repair_naively(fleet, group, domain),
            PolicyVariant::Project => repair(fleet, group, domain),
        }
    }
}

/// Replaces missing members by the first idle VMs of the domain, or waits if there are too few.
fn repair_naively(fleet: &mut Fleet, group: usize, domain: usize) {
    let now_ms = fleet.now_ms;
    let missing = |it: &usize| fleet.vms[*it].is_detected_missing(now_ms);
    let (lost, mut members): (Vec<usize>, Vec<usize>) =
        fleet.groups[group].members.iter().copied().partition(missing);
    let idle = fleet.idle(domain);
    if !lost.is_empty() && idle.len() >= lost.len() {
        members.extend(&idle[..lost.len()]);
        fleet.form(group, domain, members);
    }
}

fn repair(fleet: &mut Fleet, group: usize, domain: usize) {
    let Some(broken) = broken_group(fleet, group, domain) else { return };
    let now = fleet.instant(fleet.now_ms);
    let plan = decide_repair(&broken, &fleet.policy, now);
    let survivors = vm_numbers(fleet, &broken.survivors);
    match plan.decision {
        RepairDecision::Nothing | RepairDecision::WaitUntil(_) => {}
        RepairDecision::ReplaceWith(vms) => {
            let members = [survivors, vm_numbers(fleet, &vms)].concat();
            fleet.form(group, domain, members);
        }
        RepairDecision::MoveToDomain(to) => {
            fleet.release(group);
            let to = domain_number(fleet, &to);
            form_in(fleet, group, to);
        }
        RepairDecision::Merge { donor, vms } => {
            let donor = fleet.groups.iter().position(|it| it.id == donor);
            if let Some(donor) = donor {
                fleet.release(donor);
            }
            let members = [survivors, vm_numbers(fleet, &vms)].concat();
            fleet.form(group, domain, members);
        }
    }
}

fn broken_group(fleet: &Fleet, group: usize, domain: usize) -> Option<BrokenGroup> {
    let spec = &fleet.groups[group];
    let unhealthy: Vec<UnhealthyMember> =
        spec.members.iter().filter_map(|it| unhealthy_member(fleet, &fleet.vms[*it])).collect();
    if unhealthy.is_empty() {
        return None;
    }
    let survives = |it: &&usize| !unhealthy.iter().any(|member| member.vm == fleet.vms[**it].id);
    let survivors = spec.members.iter().filter(survives).map(|it| fleet.vms[*it].id.clone());
    let others = (0..fleet.domains.len()).filter(|it| *it != domain);
    Some(BrokenGroup {
        group: spec.id.clone(),
        size: GroupSize(spec.size),
        accelerators: 1,
        survivors: survivors.collect(),
        spares: candidates(fleet, &fleet.idle(domain)),
        donors: donors(fleet, group, domain),
        other_domains: others.map(|it| domain_capacity(fleet, it)).collect(),
        times: times(fleet),
        unhealthy,
    })
}

fn unhealthy_member(fleet: &Fleet, vm: &Vm) -> Option<UnhealthyMember> {
    let now_ms = fleet.now_ms;
    let (condition, since_ms) = if vm.is_detected_missing(now_ms) {
        (MemberCondition::Missing, vm.down_since_ms)
    } else {
        let slow = vm.detected_slowdown(now_ms)?;
        (MemberCondition::Straggling { slowdown: slow.slowdown }, slow.since_ms)
    };
    Some(UnhealthyMember {
        vm: vm.id.clone(),
        condition,
        since: fleet.instant(since_ms),
        expected_back: vm.announced_back_ms.map(|it| fleet.instant(it)),
    })
}

fn donors(fleet: &Fleet, group: usize, domain: usize) -> Vec<Donor> {
    let now_ms = fleet.now_ms;
    let others = (0..fleet.groups.len()).filter(|it| *it != group);
    let donors = others.filter_map(|it| {
        let other = &fleet.groups[it];
        let lost: Vec<&Vm> = other.members.iter().map(|it| &fleet.vms[*it]).collect();
        let (lost, healthy): (Vec<&Vm>, Vec<&Vm>) =
            lost.into_iter().partition(|it| it.is_detected_missing(now_ms));
        if other.domain != Some(domain) || lost.is_empty() {
            return None;
        }
        let back = lost.iter().map(|it| it.announced_back_ms).max().flatten();
        Some(Donor {
            group: other.id.clone(),
            survivors: healthy.into_iter().map(|it| candidate(fleet, it)).collect(),
            complete_at: back.map(|it| fleet.instant(it + WARM_LOAD_MS)),
        })
    });
    donors.collect()
}

fn times(fleet: &Fleet) -> RepairTimes {
    let from_store = |it: &&Vm| !it.is_preloading() && it.loading.is_some_and(|it| it.from_store);
    RepairTimes {
        load: Duration::from_millis(LOAD_MS),
        concurrent_loads: fleet.policy.concurrent_loads,
        loads_before: fleet.vms.iter().filter(from_store).count() as u32,
        warm_load: Duration::from_millis(WARM_LOAD_MS),
        restart: Duration::from_millis(RESTART_MS),
    }
}

/// Returns which of the waiting VMs start a load from the weight store now.
pub(crate) fn loads(fleet: &Fleet, waiting: &[usize]) -> Vec<usize> {
    let from_store = |it: &&Vm| it.loading.is_some_and(|it| it.from_store);
    let running = fleet.vms.iter().filter(from_store);
    let concurrent = fleet.policy.concurrent_loads;
    match fleet.variant {
        PolicyVariant::Naive => {
            let free = (concurrent as usize).saturating_sub(running.count());
            waiting.iter().copied().take(free).collect()
        }
        PolicyVariant::Project => {
            let pending: Vec<PendingLoad> =
                waiting.iter().map(|it| pending_load(fleet, &fleet.vms[*it])).collect();
            let running: Vec<RunningLoad> = running
                .map(|it| RunningLoad {
                    vm: it.id.clone(),
                    domain: fleet.domains[it.domain].clone(),
                    unreachable: !it.is_up(),
                })
                .collect();
            vm_numbers(fleet, &choose_loads(&pending, &running, concurrent))
        }
    }
}

/// Returns the idle VMs that start to preload weights.
pub(crate) fn preloads(fleet: &Fleet) -> Vec<usize> {
    if fleet.variant == PolicyVariant::Naive {
        return Vec::new();
    }
    let from_store = |it: &&Vm| it.loading.is_some_and(|it| it.from_store);
    let running = fleet.vms.iter().filter(from_store).count() as u32;
    let concurrent = fleet.policy.concurrent_loads;
    let free = concurrent.saturating_sub(running);
    let places = preload_slots(free, concurrent, 1, fleet.now_ms);
    let cold = (0..fleet.domains.len()).flat_map(|it| cold_spares(fleet, it));
    cold.take(places as usize).collect()
}

/// Returns the idle VMs of a domain that should hold the weights but do not.
fn cold_spares(fleet: &Fleet, domain: usize) -> Vec<usize> {
    let version: ModelVersion = "v1".parse().expect("a valid id");
    let spare = |it: usize| {
        let vm = &fleet.vms[it];
        let cached_versions = if vm.has_weights { vec![version.clone()] } else { Vec::new() };
        PreloadSpare { vm: vm.id.clone(), cached_versions }
    };
    let spares: Vec<PreloadSpare> = fleet.idle(domain).into_iter().map(spare).collect();
    let needs = [PreloadNeed { model_version: version.clone(), members: 1 }];
    let chosen: Vec<VmId> = choose_preloads(&needs, &spares).into_iter().map(|it| it.vm).collect();
    let idle = vm_numbers(fleet, &chosen).into_iter();
    idle.filter(|it| !fleet.vms[*it].is_preloading()).collect()
}

fn pending_load(fleet: &Fleet, vm: &Vm) -> PendingLoad {
    let group = &fleet.groups[vm.group.expect("a waiting VM is a member")];
    let members = || group.members.iter().map(|it| &fleet.vms[*it]);
    PendingLoad {
        vm: vm.id.clone(),
        domain: fleet.domains[vm.domain].clone(),
        group: group.id.clone(),
        group_loads_left: members().filter(|it| !it.ready && !it.has_weights).count() as u16,
        group_blocked: members().any(|it| !it.is_up()),
        down_since: fleet.instant(group.down_since_ms),
    }
}

fn candidates(fleet: &Fleet, vms: &[usize]) -> Vec<MemberCandidate> {
    vms.iter().map(|it| candidate(fleet, &fleet.vms[*it])).collect()
}

fn candidate(fleet: &Fleet, vm: &Vm) -> MemberCandidate {
    MemberCandidate {
        vm: vm.id.clone(),
        has_weights: vm.has_weights,
        leaving: false,
        straggling: vm.slow.is_some(),
        recent_failures: vm.recent_failures(fleet.now_ms),
    }
}

fn vm_numbers(fleet: &Fleet, vms: &[VmId]) -> Vec<usize> {
    let number = |id: &VmId| fleet.vms.iter().position(|it| it.id == *id);
    vms.iter().filter_map(number).collect()
}

fn domain_number(fleet: &Fleet, domain: &FabricDomain) -> usize {
    fleet.domains.iter().position(|it| it == domain).expect("a domain of the fleet")
}
