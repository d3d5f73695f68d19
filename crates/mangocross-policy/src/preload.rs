//! Chooses idle VMs that fetch weights before a group needs them.

use std::collections::BTreeMap;

use mangocross_types::ModelVersion;
use mangocross_types::VmId;

/// A model version that groups of a fabric domain use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreloadNeed {
    /// Version of the weights that the members need.
    pub model_version: ModelVersion,
    /// Total number of members of the groups that use it.
    pub members: u32,
}

/// An idle VM that can fetch weights before a group needs them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreloadSpare {
    /// VM of the spare.
    pub vm: VmId,
    /// Versions whose weights are on the VM.
    pub cached_versions: Vec<ModelVersion>,
}

/// A VM with the version that it should fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preload {
    /// VM that fetches the weights.
    pub vm: VmId,
    /// The version to fetch.
    pub model_version: ModelVersion,
}

/// Chooses the version for each spare that holds none of the needed ones.
///
/// The next spare goes to the version with the most members per VM that holds
/// it. A spare that holds a needed version fetches no other, since memory on a
/// VM is limited and the two versions would evict each other repeatedly.
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

/// Returns the version with the most members per spare that would hold it.
fn scarcest<'a>(
    needs: &'a [PreloadNeed],
    holders: &BTreeMap<&ModelVersion, u32>,
) -> Option<&'a PreloadNeed> {
    let members_per_holder = |it: &PreloadNeed| {
        let holders = holders.get(&it.model_version).copied().unwrap_or_default();
        f64::from(it.members) / f64::from(holders + 1)
    };
    let wanted = needs.iter().filter(|it| it.members > 0);
    wanted.max_by(|a, b| {
        let by_members = members_per_holder(a).total_cmp(&members_per_holder(b));
        by_members.then_with(|| b.model_version.cmp(&a.model_version))
    })
}

/// Returns how many preloads one of several owners may start now.
///
/// Half of the weight store's slots stay free for the loads of groups. The
/// owners do not coordinate: each uses an equal share of the free slots beyond
/// that half and rounds it up or down at random, so that together they start about
/// as many preloads as there are such slots.
pub fn preload_slots(free: u32, concurrent_loads: u32, owners: u32, seed: u64) -> u32 {
    let available = free.saturating_sub(concurrent_loads.div_ceil(2));
    let owners = owners.max(1);
    let rounds_up = fastrand::Rng::with_seed(seed).u32(..owners) < available % owners;
    available / owners + u32::from(rounds_up)
}
