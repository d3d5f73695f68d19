//! Which idle VMs fetch weights before a group needs them.

use std::collections::BTreeMap;

use mangocross_types::ModelVersion;
use mangocross_types::VmId;

/// A model version that groups of a fabric domain use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreloadNeed {
    /// The version.
    pub model_version: ModelVersion,
    /// Members of all groups that use it.
    pub members: u32,
}

/// An idle VM that could fetch weights ahead of need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreloadSpare {
    /// The VM.
    pub vm: VmId,
    /// Versions whose weights are on the VM.
    pub cached_versions: Vec<ModelVersion>,
}

/// A VM with the version that it should fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preload {
    /// The VM.
    pub vm: VmId,
    /// The version to fetch.
    pub model_version: ModelVersion,
}

/// Chooses the version for each spare that holds none of the needed ones.
///
/// The next spare goes to the version with most members for each VM that holds
/// it. A spare that holds a needed version fetches no other, since memory on a
/// VM is limited and one version would push out the other again and again.
pub fn choose_preloads(needs: &[PreloadNeed], spares: &[PreloadSpare]) -> Vec<Preload> {
    let needed = |it: &&ModelVersion| needs.iter().any(|need| need.model_version == **it);
    let mut holders: BTreeMap<&ModelVersion, u32> = BTreeMap::new();
    for version in spares.iter().flat_map(|it| it.cached_versions.iter().find(needed)) {
        *holders.entry(version).or_default() += 1;
    }
    let cold = spares.iter().filter(|it| !it.cached_versions.iter().any(|it| needed(&it)));
    let mut preloads = Vec::new();
    for spare in cold {
        let Some(need) = scarcest(needs, &holders) else { break };
        *holders.entry(&need.model_version).or_default() += 1;
        let model_version = need.model_version.clone();
        preloads.push(Preload { vm: spare.vm.clone(), model_version });
    }
    preloads
}

/// Returns the version with most members for each spare that would hold it.
fn scarcest<'a>(
    needs: &'a [PreloadNeed],
    holders: &BTreeMap<&ModelVersion, u32>,
) -> Option<&'a PreloadNeed> {
    let members_each = |it: &PreloadNeed| {
        let holders = holders.get(&it.model_version).copied().unwrap_or_default();
        f64::from(it.members) / f64::from(holders + 1)
    };
    let wanted = needs.iter().filter(|it| it.members > 0);
    wanted.max_by(|a, b| {
        let by_members = members_each(a).total_cmp(&members_each(b));
        by_members.then_with(|| b.model_version.cmp(&a.model_version))
    })
}

/// Returns how many preloads one of several owners may start now.
///
/// Half of the weight store's places stay free for the loads of groups. The
/// owners do not agree with each other: each takes its part of what is free, a
/// fraction of a place by chance, so that together they start about as many as
/// there is room for.
pub fn preload_slots(free: u32, concurrent_loads: u32, owners: u32, seed: u64) -> u32 {
    let spare = free.saturating_sub(concurrent_loads.div_ceil(2));
    let owners = owners.max(1);
    let by_chance = fastrand::Rng::with_seed(seed).u32(..owners) < spare % owners;
    spare / owners + u32::from(by_chance)
}
