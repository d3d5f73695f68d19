//! Decides how to repair a group with missing, slow or leaving members.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::GroupSize;
use mangocross_types::PolicyParameters;
use mangocross_types::VmId;

use crate::DomainCapacity;
use crate::MemberCandidate;
use crate::RepairCost;
use crate::choose_domain;
use crate::choose_members;

/// Share of the cost of waiting that a repair must save to justify the churn.
const GAIN_SHARE_MIN: f64 = 0.1;

/// What is wrong with a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MemberCondition {
    /// It does not answer probes, reports another group, or makes no progress.
    Missing,
    /// It works, but more slowly than its peers.
    Straggling {
        /// Time per step relative to that of its peers; above one.
        slowdown: f64,
    },
    /// It is being removed and does not come back.
    Leaving,
}

/// A member that is missing, slow or leaving.
#[derive(Debug, Clone, PartialEq)]
pub struct UnhealthyMember {
    /// VM of the member.
    pub vm: VmId,
    /// Why the member counts as unhealthy.
    pub condition: MemberCondition,
    /// When the condition began.
    pub since: Instant,
    /// When it is expected back, if that is known.
    pub expected_back: Option<Instant>,
}

/// Another broken group in the same fabric domain whose survivors could be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Donor {
    /// Group whose survivors could be used.
    pub group: GroupId,
    /// Its healthy members.
    pub survivors: Vec<MemberCandidate>,
    /// When it would be complete again without a repair; `None` if that cannot be estimated.
    pub complete_at: Option<Instant>,
}

/// Load and outage durations and the weight store's queue, from which the costs of repairs and of
/// waiting are estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepairTimes {
    /// Time of one load from the weight store.
    pub load: Duration,
    /// Loads that the weight store serves at once for this fabric domain.
    pub concurrent_loads: u32,
    /// Loads that are running or waiting before those of this group.
    pub loads_before: u32,
    /// Time to load weights that are on the VM.
    pub warm_load: Duration,
    /// Typical duration of a VM's outage, from failure to answering probes again.
    pub restart: Duration,
}

impl RepairTimes {
    /// Returns the time until `cold` VMs without the weights have loaded them or,
    /// if there are none, until the VMs that hold the weights are ready.
    fn until_loaded(&self, cold: usize) -> Duration {
        if cold == 0 {
            return self.warm_load;
        }
        let loads = u32::try_from(cold).unwrap_or(u32::MAX).saturating_add(self.loads_before);
        self.load * loads.div_ceil(self.concurrent_loads.max(1))
    }
}

/// A group with members that are missing, slow or leaving.
#[derive(Debug, Clone, PartialEq)]
pub struct BrokenGroup {
    /// Group to repair.
    pub group: GroupId,
    /// Number of members when complete.
    pub size: GroupSize,
    /// Accelerators of each member.
    pub accelerators: u16,
    /// Members that are not in `unhealthy`.
    pub survivors: Vec<VmId>,
    /// Members that are missing, slow or leaving.
    pub unhealthy: Vec<UnhealthyMember>,
    /// Idle VMs of the fabric domain.
    pub spares: Vec<MemberCandidate>,
    /// Other broken groups of the fabric domain.
    pub donors: Vec<Donor>,
    /// Other fabric domains; empty when operators chose the domain.
    pub other_domains: Vec<DomainCapacity>,
    /// Durations and the weight store's queue, from which the costs are estimated.
    pub times: RepairTimes,
}

/// How to repair a broken group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepairDecision {
    /// No member is unhealthy.
    Nothing,
    /// Wait for the unhealthy members, as no repair is possible or saves enough, and decide again
    /// at this time.
    WaitUntil(Instant),
    /// Re-form the group with these VMs in place of the unhealthy ones.
    ReplaceWith(Vec<VmId>),
    /// Re-form the group in another fabric domain.
    MoveToDomain(FabricDomain),
    /// Re-form the group with idle VMs and survivors of another broken group,
    /// which is re-formed later.
    Merge {
        /// The group whose survivors are used.
        donor: GroupId,
        /// The VMs in place of the unhealthy ones, idle ones first.
        vms: Vec<VmId>,
    },
}

/// A decision and its expected saving compared with waiting.
#[derive(Debug, Clone, PartialEq)]
pub struct RepairPlan {
    /// How to repair the group.
    pub decision: RepairDecision,
    /// Expected saving compared with waiting.
    pub gain: RepairCost,
}

impl RepairPlan {
    fn without_gain(decision: RepairDecision) -> Self {
        Self { decision, gain: RepairCost::default() }
    }
}

/// Decides what to do about a broken group.
///
/// Compares each possible repair with waiting, by the weights of the operators'
/// policy; one that saves too little is not made.
pub fn decide_repair(group: &BrokenGroup, policy: &PolicyParameters, now: Instant) -> RepairPlan {
    if group.unhealthy.is_empty() {
        return RepairPlan::without_gain(RepairDecision::Nothing);
    }
    let wait = estimate_wait(group, now);
    let options = [replace(group), merge(group, now), relocate(group)];
    let best = options.into_iter().flatten().map(|it| it.plan(group, &wait));
    let best = best.max_by(|a, b| a.gain.weighted(policy).total_cmp(&b.gain.weighted(policy)));
    let least = GAIN_SHARE_MIN * wait.cost(group).weighted(policy);
    match best {
        Some(plan) if plan.gain.weighted(policy) > least => plan,
        _ => RepairPlan::without_gain(RepairDecision::WaitUntil(now + wait.reevaluate_after)),
    }
}

/// Expected duration and loss of waiting for the unhealthy members.
struct WaitEstimate {
    /// Time until the group works fully again.
    time: Duration,
    /// Share of the group's work that is not done meanwhile.
    lost_share: f64,
    /// Delay until the next decision.
    reevaluate_after: Duration,
}

impl WaitEstimate {
    fn cost(&self, group: &BrokenGroup) -> RepairCost {
        let lost_s = self.time.as_secs_f64() * self.lost_share;
        let healthy = (group.survivors.len() + stragglers(group)) as f64;
        let healthy = healthy * f64::from(group.accelerators);
        RepairCost { group_downtime_s: lost_s, stranded_accelerator_s: lost_s * healthy }
    }
}

fn estimate_wait(group: &BrokenGroup, now: Instant) -> WaitEstimate {
    let remaining = |it: &UnhealthyMember| remaining(it, &group.times, now);
    let longest = group.unhealthy.iter().map(remaining).max().unwrap_or_default();
    let slowest = group.unhealthy.iter().map(|it| match it.condition {
        MemberCondition::Straggling { slowdown } => 1.0 - 1.0 / slowdown.max(1.0),
        MemberCondition::Missing | MemberCondition::Leaving => 1.0,
    });
    let lost_share = slowest.fold(0.0, f64::max);
    let reload = if lost_share < 1.0 { Duration::ZERO } else { group.times.warm_load };
    WaitEstimate {
        time: longest + reload,
        lost_share,
        reevaluate_after: longest.max(Duration::from_secs(1)),
    }
}

/// Estimates the time until a member is healthy again.
///
/// Waiting for a leaving member, which does not return, is assumed to take four restarts. An outage
/// past its expected end is assumed to last as long again as it is overdue. An outage without an
/// expected end is assumed to last `restart`; once it has lasted longer, it is assumed to last as
/// long again.
fn remaining(member: &UnhealthyMember, times: &RepairTimes, now: Instant) -> Duration {
    let elapsed = now.saturating_duration_since(member.since);
    if member.condition == MemberCondition::Leaving {
        return times.restart * 4;
    }
    match member.expected_back {
        Some(back) if back > now => back - now,
        Some(back) => (now - back).max(Duration::from_secs(1)),
        None if elapsed < times.restart => times.restart - elapsed,
        None => elapsed,
    }
}

/// A possible repair and its effects, from which its cost is computed.
struct RepairOption {
    decision: RepairDecision,
    /// Time from now until the group serves.
    downtime: Duration,
    /// Downtime that it adds to another group.
    others_downtime: Duration,
    /// Healthy VMs that the repair leaves without a group and that waiting would have kept.
    released_vms: usize,
    /// Idle VMs that the repair adds to a group.
    activated_vms: usize,
}

impl RepairOption {
    fn plan(self, group: &BrokenGroup, wait: &WaitEstimate) -> RepairPlan {
        let cost = wait.cost(group);
        let downtime_s = self.downtime.as_secs_f64();
        let wait_s = wait.time.as_secs_f64();
        let accelerators = f64::from(group.accelerators);
        let healthy = group.survivors.len() + stragglers(group);
        let stranded_vm_s = healthy.saturating_sub(self.released_vms) as f64 * downtime_s
            + self.released_vms as f64 * wait_s;
        let activated_vm_s = self.activated_vms as f64 * (wait_s - downtime_s).max(0.0);
        let group_downtime_s =
            cost.group_downtime_s - downtime_s - self.others_downtime.as_secs_f64();
        let stranded_accelerator_s =
            cost.stranded_accelerator_s - (stranded_vm_s - activated_vm_s) * accelerators;
        let gain = RepairCost { group_downtime_s, stranded_accelerator_s };
        RepairPlan { decision: self.decision, gain }
    }
}

fn replace(group: &BrokenGroup) -> Option<RepairOption> {
    let vms = choose_members(replacements_needed(group)?, &group.spares)?;
    let downtime = load_time(&vms, &group.spares, &group.times);
    // A slow member works until it is replaced, so replacing it activates no additional VM.
    let activated_vms = vms.len().saturating_sub(stragglers(group));
    let decision = RepairDecision::ReplaceWith(vms);
    Some(RepairOption {
        decision,
        downtime,
        others_downtime: Duration::ZERO,
        released_vms: 0,
        activated_vms,
    })
}

fn merge(group: &BrokenGroup, now: Instant) -> Option<RepairOption> {
    let needed = replacements_needed(group)?;
    let usable = |it: &&Donor| it.survivors.len() + group.spares.len() >= usize::from(needed.0);
    // The donor that is furthest from complete loses least.
    let donor = group.donors.iter().filter(usable).max_by_key(|it| {
        let left = it.complete_at.map(|at| at.saturating_duration_since(now));
        (left.is_none(), left, it.group.clone())
    })?;
    let idle = group.spares.iter().filter(|it| it.is_eligible()).cloned();
    let given = donor.survivors.iter().filter(|it| it.is_eligible()).cloned();
    let candidates: Vec<MemberCandidate> = idle.chain(given).collect();
    let vms: Vec<VmId> = candidates.iter().take(needed.0.into()).map(|it| it.vm.clone()).collect();
    if vms.len() < usize::from(needed.0) {
        return None;
    }
    let downtime = load_time(&vms, &candidates, &group.times);
    // The donor then waits for this group's unhealthy members as well.
    let donor_left = donor.complete_at.map(|at| at.saturating_duration_since(now));
    let own_left = estimate_wait(group, now).time;
    let others_downtime = donor_left.map_or(Duration::ZERO, |it| own_left.saturating_sub(it));
    let decision = RepairDecision::Merge { donor: donor.group.clone(), vms };
    Some(RepairOption { decision, downtime, others_downtime, released_vms: 0, activated_vms: 0 })
}

fn relocate(group: &BrokenGroup) -> Option<RepairOption> {
    let domain = choose_domain(group.size, &group.other_domains)?;
    let capacity = group.other_domains.iter().find(|it| it.domain == *domain)?;
    let cold = group.size.0.saturating_sub(capacity.idle_with_weights);
    let downtime = group.times.until_loaded(cold.into());
    Some(RepairOption {
        decision: RepairDecision::MoveToDomain(domain.clone()),
        downtime,
        others_downtime: Duration::ZERO,
        released_vms: group.survivors.len() + stragglers(group),
        activated_vms: group.size.0.into(),
    })
}

fn stragglers(group: &BrokenGroup) -> usize {
    let is_slow =
        |it: &&UnhealthyMember| matches!(it.condition, MemberCondition::Straggling { .. });
    group.unhealthy.iter().filter(is_slow).count()
}

/// Returns the number of members to replace; `None` if there are none.
fn replacements_needed(group: &BrokenGroup) -> Option<GroupSize> {
    let needed = usize::from(group.size.0).checked_sub(group.survivors.len())?;
    (needed > 0).then_some(GroupSize(u16::try_from(needed).ok()?))
}

fn load_time(vms: &[VmId], from: &[MemberCandidate], times: &RepairTimes) -> Duration {
    let is_cold = |vm: &&VmId| !from.iter().any(|it| it.vm == **vm && it.has_weights);
    times.until_loaded(vms.iter().filter(is_cold).count())
}
