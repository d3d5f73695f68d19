//! Chooses the weights to load next within the weight store's limit.

use std::collections::BTreeMap;
use std::time::Instant;

use mangocross_types::FabricDomain;
use mangocross_types::GroupId;
use mangocross_types::VmId;

/// A member that still has to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    /// VM that has to load.
    pub vm: VmId,
    /// Fabric domain of the VM.
    pub domain: FabricDomain,
    /// The group that it is to join.
    pub group: GroupId,
    /// Loads that the group still needs, including running ones.
    pub group_loads_left: u16,
    /// Whether the group also lacks members that no load can provide.
    pub group_blocked: bool,
    /// Time since which the group has not been serving.
    pub down_since: Instant,
}

/// A load that was ordered and has not been reported as finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningLoad {
    /// VM that loads.
    pub vm: VmId,
    /// Fabric domain of the VM.
    pub domain: FabricDomain,
    /// Whether the VM no longer answers and so does not use the weight store.
    pub unreachable: bool,
}

/// Chooses the loads to start now, in order.
///
/// Each fabric domain with pending loads has a fair share of the store's limit;
/// what it does not use goes to the others. Groups that are not blocked go first.
/// Within a domain the group that needs the fewest loads is next, since it can serve
/// soonest.
pub fn choose_loads(
    pending: &[PendingLoad],
    running: &[RunningLoad],
    concurrent_loads: u32,
) -> Vec<VmId> {
    let mut running_by_domain: BTreeMap<&FabricDomain, u32> = BTreeMap::new();
    for load in running.iter().filter(|it| !it.unreachable) {
        *running_by_domain.entry(&load.domain).or_default() += 1;
    }
    let busy = running_by_domain.values().sum();
    let mut free = concurrent_loads.saturating_sub(busy);
    let mut queues = queues(pending, running);
    let mut chosen = Vec::new();
    while free > 0 {
        let Some(domain) = next_domain(&queues, &running_by_domain) else { break };
        let Some(load) = queues.get_mut(domain).and_then(Vec::pop) else { break };
        *running_by_domain.entry(domain).or_default() += 1;
        chosen.push(load.vm.clone());
        free -= 1;
    }
    chosen
}

/// Returns the loads to start in each domain, the next one last.
fn queues<'a>(
    pending: &'a [PendingLoad],
    running: &[RunningLoad],
) -> BTreeMap<&'a FabricDomain, Vec<&'a PendingLoad>> {
    let mut queues: BTreeMap<&FabricDomain, Vec<&PendingLoad>> = BTreeMap::new();
    let is_running = |vm: &VmId| running.iter().any(|it| it.vm == *vm);
    for load in pending.iter().filter(|it| !is_running(&it.vm)) {
        queues.entry(&load.domain).or_default().push(load);
    }
    for queue in queues.values_mut() {
        queue.sort_by_key(|it| std::cmp::Reverse(load_order_key(it)));
    }
    queues
}

/// Returns the sort key of a load; the smallest goes first.
fn load_order_key(load: &PendingLoad) -> (bool, u16, Instant, &GroupId, &VmId) {
    (load.group_blocked, load.group_loads_left, load.down_since, &load.group, &load.vm)
}

/// Returns the domain to load in next: one whose next group is not blocked, then the one with the
/// fewest running loads.
fn next_domain<'a>(
    queues: &BTreeMap<&'a FabricDomain, Vec<&'a PendingLoad>>,
    running: &BTreeMap<&FabricDomain, u32>,
) -> Option<&'a FabricDomain> {
    let next_loads = queues.iter().filter_map(|(domain, queue)| {
        let next = queue.last()?;
        let running = running.get(domain).copied().unwrap_or_default();
        Some((next.group_blocked, running, load_order_key(next), *domain))
    });
    next_loads.min().map(|(.., domain)| domain)
}
