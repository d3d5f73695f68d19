//! Selects a stable subset of a model's heads for each entry VM.
//!
//! Rendezvous hashing gives each pair of entry VM and head a rank that depends on nothing else, so
//! that a head that comes or goes changes at most one member of each subset. Chance alone would put
//! some heads into a few subsets and others into twenty. Therefore heads also rank the entry VMs: a
//! head comes first for the entry VMs that it ranks first, and last for those beyond twice as many.

use std::sync::Arc;

use mangocross_types::VmId;

/// Smallest size of a subset. With fewer heads an entry VM would often look beyond its subset.
const SUBSET_SIZE_MIN: usize = 6;
/// Largest size of a subset, which bounds the connections that an entry VM keeps open.
const SUBSET_SIZE_MAX: usize = 16;
/// Entry VMs that have a head in their subsets, on average at least.
const VMS_PER_HEAD: usize = 10;
/// Entry VMs that are to have a head in their subsets, as long as their subsets have places.
const FIRST_VMS: usize = VMS_PER_HEAD;
/// Entry VMs beyond which a head is in a subset only if heads are too few to fill it.
const OTHER_VMS: usize = 2 * VMS_PER_HEAD;

/// Position of an entry VM in the ranking of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum VmClass {
    First,
    Other,
    Beyond,
}

/// How well a head suits an entry VM; smaller values come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeadRank {
    class: VmClass,
    hash: u64,
}

impl HeadRank {
    /// Ranks a head for an entry VM. `entry_vms` are the names of the entry VMs of the same zone, and
    /// may include this one.
    pub fn new(own_name: &str, entry_vms: &[Arc<str>], head: &VmId) -> Self {
        let hash = pair_hash(own_name, head);
        let others = entry_vms.iter().filter(|it| ***it != *own_name);
        let nearer = others.filter(|it| pair_hash(it, head) < hash).count();
        let class = match nearer {
            _ if nearer < FIRST_VMS => VmClass::First,
            _ if nearer < OTHER_VMS => VmClass::Other,
            _ => VmClass::Beyond,
        };
        Self { class, hash }
    }
}

fn pair_hash(entry_vm: &str, head: &VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(entry_vm.as_bytes());
    hasher.update(&[0]);
    hasher.update(head.as_str().as_bytes());
    let hash = hasher.finalize();
    let (bytes, _) = hash.as_bytes().split_first_chunk().unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*bytes)
}

/// Returns the number of heads in the subset of each of several entry VMs.
pub fn subset_size(entry_vms: usize, heads: usize) -> usize {
    let shared = (VMS_PER_HEAD * heads).div_ceil(entry_vms.max(1));
    shared.clamp(SUBSET_SIZE_MIN, SUBSET_SIZE_MAX)
}

/// Moves the members of the subset, the `size` heads that rank first, to the front, and returns how
/// many they are.
pub fn select_subset<T>(heads: &mut [T], size: usize, rank: impl FnMut(&T) -> HeadRank) -> usize {
    heads.sort_by_cached_key(rank);
    size.min(heads.len())
}
