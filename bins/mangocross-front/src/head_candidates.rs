//! Turns the usable heads of a model into tiers of candidates for a stream.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::HeadLoad;
use mangocross_serving::HeadRank;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::Moment;
use mangocross_serving::select_subset;
use mangocross_serving::subset_size;
use mangocross_types::AvailabilityZone;
use mangocross_types::VmId;

/// Time after its last choice for which a head of the subset counts as often used.
const WARM_TIME: Duration = Duration::from_secs(30);

/// What an entry VM is called and where it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnVm<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a AvailabilityZone,
}

/// Why the heads of a tier are candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TierKind {
    /// They are this entry VM's subset of the heads in its zone.
    Subset,
    /// They are in the zone of this entry VM.
    OwnZone,
}

/// Heads in the order of their tiers, of which a later one may include the earlier ones.
#[derive(Debug)]
pub(crate) struct HeadTiers {
    heads: Vec<HeadLoad>,
    tiers: Vec<(TierKind, Range<usize>)>,
}

impl HeadTiers {
    /// Returns the tiers in the order in which they are tried.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TierKind, &[HeadLoad])> {
        self.tiers.iter().map(|(kind, range)| (*kind, &self.heads[range.clone()]))
    }
}

/// This entry VM's ranks of the heads in its zone, and the heads that it often sends to.
#[derive(Debug, Default)]
pub(crate) struct HeadCandidates {
    /// Ranks of the heads, which change only with the list of entry VMs.
    ranks: HashMap<VmId, HeadRank>,
    /// Names of the entry VMs in the zone, and when the list that they are from was changed.
    zone_vms: Vec<Arc<str>>,
    listed_at: Option<Moment>,
    /// When heads of the subset were last chosen.
    chosen_at: HashMap<VmId, Moment>,
}

impl HeadCandidates {
    /// Returns the tiers of a model's usable heads that are tried before all of them: this entry VM's
    /// subset, and its zone.
    pub(crate) fn tiers(
        &mut self,
        own: OwnVm<'_>,
        entry_vms: &BTreeMap<Arc<str>, ListedEntryVm>,
        listed_at: Moment,
        mut heads: Vec<HeadLoad>,
    ) -> HeadTiers {
        self.refresh(own, entry_vms, listed_at);
        heads.sort_by_key(|it| it.zone != *own.zone);
        let own_count = heads.partition_point(|it| it.zone == *own.zone);
        let size = subset_size(self.zone_vms.len(), own_count);
        let rank = |it: &HeadLoad| self.rank(own, &it.vm);
        let subset = select_subset(&mut heads[..own_count], size, rank);
        let mut tiers = Vec::new();
        if (1..heads.len()).contains(&subset) {
            tiers.push((TierKind::Subset, 0..subset));
        }
        if (subset + 1..heads.len()).contains(&own_count) {
            tiers.push((TierKind::OwnZone, 0..own_count));
        }
        HeadTiers { heads, tiers }
    }

    /// Records that a stream is sent to a head of the subset.
    pub(crate) fn record_chosen(&mut self, head: &VmId, now: Moment) {
        match self.chosen_at.get_mut(head) {
            Some(it) => *it = now,
            None => {
                self.chosen_at.retain(|_, at| now.since(*at) < WARM_TIME);
                self.chosen_at.insert(head.clone(), now);
            }
        }
    }

    /// Returns whether this entry VM often sends to a head.
    pub(crate) fn is_warm(&self, head: &VmId, now: Moment) -> bool {
        self.chosen_at.get(head).is_some_and(|it| now.since(*it) < WARM_TIME)
    }

    fn refresh(
        &mut self,
        own: OwnVm<'_>,
        entry_vms: &BTreeMap<Arc<str>, ListedEntryVm>,
        listed_at: Moment,
    ) {
        if self.listed_at == Some(listed_at) {
            return;
        }
        // An older process does not list its zone; it counts as one of this zone.
        let in_zone =
            entry_vms.iter().filter(|(_, it)| it.zone.as_ref().is_none_or(|it| it == own.zone));
        self.zone_vms = in_zone.map(|(name, _)| Arc::clone(name)).collect();
        self.ranks.clear();
        self.listed_at = Some(listed_at);
    }

    fn rank(&mut self, own: OwnVm<'_>, head: &VmId) -> HeadRank {
        if let Some(it) = self.ranks.get(head) {
            return *it;
        }
        let rank = HeadRank::new(own.name, &self.zone_vms, head);
        self.ranks.insert(head.clone(), rank);
        rank
    }
}
