//! Turns the usable heads of a model into tiers of candidates for a stream.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::HeadLoad;
use mangocross_serving::HeadRank;
use mangocross_serving::LeaveReason;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::Moment;
use mangocross_serving::select_subset;
use mangocross_serving::subset_size;
use mangocross_types::AvailabilityZone;
use mangocross_types::VmId;

use crate::zone_routing::ZoneChoice;

/// Time after its last choice for which a head of the subset counts as often used.
const WARM_TIME: Duration = Duration::from_secs(30);

/// What an entry VM is called and where it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnVm<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a AvailabilityZone,
}

/// What decides on the tiers of a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TierRules<'a> {
    pub(crate) own: OwnVm<'a>,
    /// Whether this entry VM keeps to a subset of the heads.
    pub(crate) uses_subset: bool,
    /// Where the stream may be sent, if zones are told apart.
    pub(crate) zones: Option<&'a ZoneChoice>,
}

/// Heads among which one is chosen before the next tier is tried.
#[derive(Debug)]
pub(crate) struct HeadTier {
    pub(crate) heads: Vec<HeadLoad>,
    /// Whether the heads are a subset to which connections are kept.
    pub(crate) is_subset: bool,
    /// Why the stream leaves its zone if it is sent to a head of another one.
    pub(crate) leave_reason: LeaveReason,
}

/// This entry VM's ranks of heads, and the heads that it often sends to.
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
    /// Returns the tiers of a model's usable heads in the order in which they are tried: the zone that
    /// the stream is to leave for, its own zone, and all heads that it may be sent to. The first heads
    /// of a zone are this entry VM's subset.
    pub(crate) fn tiers(&mut self, rules: &TierRules<'_>, heads: Vec<HeadLoad>) -> Vec<HeadTier> {
        let own_zone = rules.own.zone;
        let is_large = heads.len() > subset_size(self.zone_vms.len(), heads.len());
        let uses_subset = rules.uses_subset && is_large;
        let rules = &TierRules { uses_subset, ..*rules };
        let in_zone = |zone: &AvailabilityZone| -> Vec<HeadLoad> {
            heads.iter().filter(|it| it.zone == *zone).cloned().collect()
        };
        let own_heads = in_zone(own_zone);
        let rest_reason = match rules.zones {
            None => LeaveReason::AnyZone,
            Some(_) if own_heads.is_empty() => LeaveReason::NoServer,
            Some(_) => LeaveReason::NoRoom,
        };
        let mut tiers = Vec::new();
        if let Some((zone, reason)) = rules.zones.and_then(|it| it.first.as_ref()) {
            self.push_zone(&mut tiers, rules, in_zone(zone), *reason);
        }
        if uses_subset || rules.zones.is_some() {
            self.push_zone(&mut tiers, rules, own_heads, rest_reason);
        }
        let is_allowed = |it: &&HeadLoad| {
            it.zone == *own_zone || rules.zones.is_none_or(|zones| zones.allows(&it.zone))
        };
        let allowed: Vec<HeadLoad> = heads.iter().filter(is_allowed).cloned().collect();
        // Without another zone that is known to have room, the heads themselves decide. If all zones
        // are short, each would otherwise queue what another one has room for by chance.
        let has_other_zone = allowed.iter().any(|it| it.zone != *own_zone);
        let rest = if has_other_zone { allowed } else { heads };
        tiers.push(HeadTier { heads: rest, is_subset: false, leave_reason: rest_reason });
        tiers
    }

    /// Adds the heads of a zone, this entry VM's subset of them first.
    fn push_zone(
        &mut self,
        tiers: &mut Vec<HeadTier>,
        rules: &TierRules<'_>,
        mut heads: Vec<HeadLoad>,
        leave_reason: LeaveReason,
    ) {
        if heads.is_empty() {
            return;
        }
        let mut is_subset = false;
        if rules.uses_subset {
            let size = subset_size(self.zone_vms.len(), heads.len());
            let count = select_subset(&mut heads, size, |it| self.rank(rules.own, &it.vm));
            is_subset = count == heads.len();
            if !is_subset {
                let heads = heads[..count].to_vec();
                tiers.push(HeadTier { heads, is_subset: true, leave_reason });
            }
        }
        tiers.push(HeadTier { heads, is_subset, leave_reason });
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

    /// Applies a change of the list of entry VMs.
    pub(crate) fn refresh(
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
