//! The streams that a model's groups can start.

use std::time::Duration;

use super::fleet_demand::likely_total;
use crate::DemandSource;
use crate::GroupTimes;
use crate::HeadLoad;
use crate::LoadTable;
use crate::Moment;

/// Time in which free slots are to be filled. A shorter time overshoots with counts that are 0.25 to
/// 0.5 s old.
const FILL_TIME: Duration = Duration::from_secs(1);
/// Age of counts up to which free slots count fully.
const COUNTS_AGE_USUAL: Duration = Duration::from_millis(500);
/// Share of the slots in use up to which groups are taken to be as fast as specified.
const OBSERVED_FROM: f64 = 0.8;
/// Share of the slots in use from which groups are as fast as they are observed.
const OBSERVED_FULLY: f64 = 0.9;
/// Age of counts from which free slots do not count any more.
const COUNTS_AGE_MAX: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct HeadCapacity {
    slowdown: f64,
    in_flight: f64,
    /// Whether this entry VM may send to it now.
    is_open: bool,
}

/// Requests in progress at a model's groups, and the rates at which these complete them.
#[derive(Debug, Clone)]
pub struct ModelCapacity {
    heads: Vec<HeadCapacity>,
    times: GroupTimes,
    slots: f64,
    free_slot_weight: f64,
    reduction: f64,
    begun_per_s: Option<f64>,
}

impl ModelCapacity {
    /// Derives the capacity of the usable heads as an entry VM knows it, of which there are
    /// `entry_vms`; `source` tells how it knows the demand.
    ///
    /// Without contact to the others, its own requests in progress are all that it knows.
    pub fn known(
        times: &GroupTimes,
        heads: &[HeadLoad],
        loads: &LoadTable,
        (source, entry_vms): (DemandSource, usize),
        now: Moment,
    ) -> Self {
        let totals_age = loads.totals_age(now);
        let this = Self::new(times, heads, totals_age.unwrap_or_default());
        if source != DemandSource::OwnStreams || totals_age.is_some() {
            return this;
        }
        let own = heads.iter().filter_map(|it| loads.local().get(&it.vm));
        this.with_own_counts(own.map(|it| it.in_flight).sum(), entry_vms)
    }

    /// Derives the capacity of the usable heads from counts of an age.
    pub fn new(times: &GroupTimes, heads: &[HeadLoad], counts_age: Duration) -> Self {
        let head = |it: &HeadLoad| HeadCapacity {
            slowdown: it.slowdown.max(1.0),
            in_flight: f64::from(it.in_flight),
            is_open: true,
        };
        let excess_age = counts_age.saturating_sub(COUNTS_AGE_USUAL).as_secs_f64();
        let fade = (COUNTS_AGE_MAX - COUNTS_AGE_USUAL).as_secs_f64();
        Self {
            heads: heads.iter().map(head).collect(),
            times: *times,
            slots: f64::from(times.slots()),
            free_slot_weight: (1.0 - excess_age / fade).clamp(0.0, 1.0),
            reduction: 0.0,
            begun_per_s: None,
        }
    }

    /// Replaces the requests in progress by those of one entry VM, times the number of entry VMs.
    fn with_own_counts(mut self, own_in_flight: u32, entry_vms: usize) -> Self {
        let total = likely_total(f64::from(own_in_flight), entry_vms);
        let mean = total / self.heads.len().max(1) as f64;
        self.heads.iter_mut().for_each(|it| it.in_flight = mean);
        self
    }

    /// Lowers the rate by a share.
    #[must_use]
    pub fn reduced(mut self, share: f64) -> Self {
        self.reduction = share.clamp(0.0, 1.0);
        self
    }

    /// Adds heads that take requests of other entry VMs, but none of this one at the moment: how many of
    /// their free slots may be used is not known.
    #[must_use]
    pub fn with_closed(mut self, heads: &[HeadLoad]) -> Self {
        self.heads.extend(heads.iter().map(|it| HeadCapacity {
            slowdown: it.slowdown.max(1.0),
            in_flight: f64::from(it.in_flight),
            is_open: false,
        }));
        self
    }

    /// Sets the rate at which answers begin; full groups begin as many as they complete.
    #[must_use]
    pub fn with_begun(mut self, begun_per_s: f64) -> Self {
        self.begun_per_s = Some(begun_per_s);
        self
    }

    /// Returns the factor from the completions by the specification to those of the groups as they are.
    ///
    /// How many they complete shows once most slots are in use.
    fn speed(&self) -> f64 {
        let used = self.in_flight() / self.slots().max(1.0);
        let of_group = self.times.completions_per_s(self.slots * used.min(1.0));
        let specified: f64 = self.heads.iter().map(|it| of_group / it.slowdown).sum();
        let certainty = ((used - OBSERVED_FROM) / (OBSERVED_FULLY - OBSERVED_FROM)).clamp(0.0, 1.0);
        let observed = self.begun_per_s.map_or(1.0, |it| (it / specified.max(0.001)).min(1.0));
        1.0 - (1.0 - observed) * certainty
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> f64 {
        self.slots * self.heads.len() as f64
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> f64 {
        self.heads.iter().map(|it| it.in_flight).sum()
    }

    /// Returns the streams that may start each second so that at most this share of the slots is in
    /// use: as many as complete, plus free slots, minus what exceeds the slots.
    pub fn streams_per_s(&self, slot_share: f64) -> f64 {
        let speed = self.speed() * (1.0 - self.reduction);
        let completions_per_s = self.times.completions_per_s(self.slots * slot_share) * speed;
        let of_head = |it: &HeadCapacity| {
            let free = self.slots * slot_share - it.in_flight;
            let weight = match (free > 0.0, it.is_open) {
                (true, true) => self.free_slot_weight,
                (true, false) => 0.0,
                (false, _) => 1.0,
            };
            let filled_per_s = free * weight / FILL_TIME.as_secs_f64();
            (completions_per_s / it.slowdown + filled_per_s).max(0.0)
        };
        self.heads.iter().map(of_head).sum()
    }
}
