//! Availability zones whose servers get no requests, as operators decided.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mangocross_types::AvailabilityZone;
use mangocross_types::StoreRevision;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// What an entry VM tells the others of a zone: the last write or removal of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationMark {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Revision of the write or removal.
    pub revision: StoreRevision,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    revision: StoreRevision,
    is_evacuated: bool,
    /// When this VM learned of the last change.
    since: Moment,
}

/// The evacuated zones.
///
/// An evacuation ends with a removal of its key in the same era of the store, or in a later one in
/// which the key was seen. In a new era a key that is missing was not removed: the store has lost it.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<AvailabilityZone, Known>,
    /// Revision as of which all keys were read.
    complete_as_of: Option<StoreRevision>,
    is_news: bool,
}

impl Evacuations {
    /// Records a write or a removal; returns whether the zone is evacuated or taken back by it.
    pub fn record(&mut self, mark: &EvacuationMark, now: Moment) -> bool {
        let known = self.zones.get(&mark.zone);
        if known.is_some_and(|it| it.revision >= mark.revision) {
            return false;
        }
        let has_changed = known.is_some_and(|it| it.is_evacuated) != mark.is_evacuated;
        let since = known.filter(|_| !has_changed).map_or(now, |it| it.since);
        let EvacuationMark { revision, is_evacuated, .. } = *mark;
        self.zones.insert(mark.zone.clone(), Known { revision, is_evacuated, since });
        self.is_news |= has_changed;
        has_changed
    }

    /// Records that these are all zones that have a key; returns those that are taken back.
    pub fn record_complete(
        &mut self,
        listed: &BTreeSet<AvailabilityZone>,
        as_of: StoreRevision,
        now: Moment,
    ) -> Vec<AvailabilityZone> {
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
        let is_removed = |(zone, it): &(&AvailabilityZone, &Known)| {
            let is_of_era = it.revision.era == as_of.era && it.revision <= as_of;
            it.is_evacuated && is_of_era && !listed.contains(*zone)
        };
        let removed = self.zones.iter().filter(is_removed).map(|(zone, _)| zone.clone());
        let removed: Vec<AvailabilityZone> = removed.collect();
        for zone in &removed {
            let mark = EvacuationMark { zone: zone.clone(), revision: as_of, is_evacuated: false };
            // A key that was written and not removed by `as_of` would be listed.
            if let Some(known) = self.zones.get_mut(zone) {
                *known = Known { revision: mark.revision, is_evacuated: false, since: now };
            }
        }
        self.is_news |= !removed.is_empty();
        removed
    }

    /// Records what another entry VM tells; returns whether the zone is evacuated or taken back by it.
    pub fn record_report(&mut self, mark: &EvacuationMark, now: Moment) -> bool {
        let is_gone = self
            .complete_as_of
            .is_some_and(|it| it.era == mark.revision.era && mark.revision <= it);
        let was_news = self.is_news;
        let has_changed = self.apply_report(mark, is_gone, now);
        // Whoever told this VM tells the others.
        self.is_news = was_news;
        has_changed
    }

    fn apply_report(&mut self, mark: &EvacuationMark, is_gone: bool, now: Moment) -> bool {
        let known = self.zones.get(&mark.zone);
        if mark.is_evacuated && is_gone && known.is_none_or(|it| it.revision < mark.revision) {
            // The key was removed before all keys were read.
            let mark = EvacuationMark { is_evacuated: false, ..mark.clone() };
            return known.is_some() && self.record(&mark, now);
        }
        self.record(mark, now)
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &AvailabilityZone) -> bool {
        self.zones.get(zone).is_some_and(|it| it.is_evacuated)
    }

    /// Returns the evacuated zones, with the revisions of their keys and since when this VM knows.
    pub fn evacuated(&self) -> impl Iterator<Item = (&AvailabilityZone, StoreRevision, Moment)> {
        let evacuated = self.zones.iter().filter(|(_, it)| it.is_evacuated);
        evacuated.map(|(zone, it)| (zone, it.revision, it.since))
    }

    /// Returns what the other entry VMs are told.
    pub fn marks(&self) -> Vec<EvacuationMark> {
        let mark = |(zone, it): (&AvailabilityZone, &Known)| EvacuationMark {
            zone: zone.clone(),
            revision: it.revision,
            is_evacuated: it.is_evacuated,
        };
        self.zones.iter().map(mark).collect()
    }

    /// Returns whether the store or a relay told of a change since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.is_news)
    }
}
