//! Chooses the entry VMs that follow the store for the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mangocross_types::AvailabilityZone;

use crate::ListedEntryVm;

/// Number of entry VMs up to which each follows the store itself.
const DIRECT_ENTRY_VMS_MAX: usize = 16;
/// Number of entry VMs for each relay.
const ENTRY_VMS_PER_RELAY: usize = 30;
/// Minimum number of relays, so that some may fail at the same time.
const RELAYS_MIN: usize = 3;

#[derive(Debug, Clone)]
struct Relay {
    name: Arc<str>,
    address: SocketAddr,
    zone: AvailabilityZone,
}

/// The relays among the listed entry VMs: those that follow the store, and from which the other
/// ones learn of its changes.
///
/// The number of calls to the store then grows with the number of relays, not of entry VMs.
/// Every entry VM computes the plan from the list, so nothing has to be agreed: where lists
/// differ for a moment, some VM asks one that does not follow the store, and then the next.
#[derive(Debug, Clone, Default)]
pub struct RelayPlan {
    relays: Vec<Relay>,
}

impl RelayPlan {
    /// Computes the plan: relays are spread over the zones, and are the VMs with most capacity there.
    pub fn new<'a>(entry_vms: impl Iterator<Item = (&'a Arc<str>, &'a ListedEntryVm)>) -> Self {
        let mut by_zone: BTreeMap<AvailabilityZone, Vec<(&Arc<str>, &ListedEntryVm)>> =
            BTreeMap::new();
        let mut count = 0;
        for (name, vm) in entry_vms {
            count += 1;
            if let Some(zone) = &vm.zone {
                by_zone.entry(zone.clone()).or_default().push((name, vm));
            }
        }
        if count <= DIRECT_ENTRY_VMS_MAX {
            return Self::default();
        }
        // Each zone's best VM comes before any zone's second one.
        let mut ranked = Vec::new();
        for (zone, mut vms) in by_zone {
            vms.sort_by_cached_key(|(name, vm)| (Reverse(vm.capacity), weight(&zone, name)));
            let relay = |(rank, (name, vm)): (usize, (&Arc<str>, &ListedEntryVm))| {
                let zone = zone.clone();
                (rank, Relay { name: Arc::clone(name), address: vm.address, zone })
            };
            ranked.extend(vms.into_iter().enumerate().map(relay));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let wanted = count.div_ceil(ENTRY_VMS_PER_RELAY).max(RELAYS_MIN);
        Self { relays: ranked.into_iter().take(wanted).map(|(_, it)| it).collect() }
    }

    /// Returns whether an entry VM follows the store itself.
    pub fn follows_store(&self, name: &str) -> bool {
        self.relays.is_empty() || self.relays.iter().any(|it| *it.name == *name)
    }

    /// Returns the number of relays.
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    /// Returns the relays for an entry VM in order of preference, those of its own zone first.
    ///
    /// The order differs between the VMs of a zone, so that each relay gets its share of them.
    pub fn candidates(&self, name: &str, zone: &AvailabilityZone) -> Vec<(Arc<str>, SocketAddr)> {
        let mut others: Vec<&Relay> = self.relays.iter().filter(|it| *it.name != *name).collect();
        others.sort_by_cached_key(|it| (it.zone != *zone, weight(name, &it.name)));
        others.into_iter().map(|it| (Arc::clone(&it.name), it.address)).collect()
    }
}

/// Returns a number that looks random and is the same on all entry VMs.
fn weight(one: impl ToString, other: &str) -> u64 {
    let text = format!("{} {other}", one.to_string());
    let digest = blake3::hash(text.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *digest.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
