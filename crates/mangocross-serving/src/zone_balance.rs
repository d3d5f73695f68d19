//! Decides which share of a zone's requests leaves the zone, and where to.
//!
//! All entry VMs of a zone compute the same shares from the same figures, and each sends its part of
//! the surplus by a draw. A zone without surplus keeps all of its requests.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::AvailabilityZone;

use crate::Moment;

/// Share of a zone's capacity beyond which its demand leaves. The rest covers the variation of the
/// demand within the age of the figures.
const FULL_SHARE: f64 = 0.9;
/// Share of their capacity up to which zones are filled by requests of others, and down to which
/// requests leave a zone. If all zones together are fuller, their common share takes its place, up to
/// `FULL_SHARE`.
const LEVEL_MIN: f64 = 0.8;
/// Age at which the report of a zone's demand expires.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);
/// Age up to which a report counts in full; it is usually sent on by the planner, and some are lost.
const REPORT_AGE_FRESH: Duration = Duration::from_millis(1500);
/// Share of a zone's spare capacity that counts once its report is older.
const STALE_SPARE_SHARE: f64 = 0.5;
/// Time after other zones took less than the surplus during which no share rises, so that reports that
/// are lost now and then do not move it to and fro: as long as a report counts.
const RISE_DELAY: Duration = REPORT_AGE_MAX;
/// Time in which the surplus follows a rise of the demand; a queue builds up as fast.
const SURPLUS_RISE_TIME: Duration = Duration::from_millis(500);
/// Time in which the surplus follows a fall of the demand. Demand is measured over a second, in which
/// it varies by some percent by chance.
const SURPLUS_FALL_TIME: Duration = Duration::from_secs(3);
/// Failure share of a zone's servers, as seen from here, beyond which nothing is sent there.
const FAILURE_SHARE_MAX: f64 = 0.3;
/// Change of a share that is needed for it to be applied.
const SHARE_STEP: f64 = 0.05;
/// Time that an answer from another zone may take longer, with the path, while the demand of a zone is
/// above `FULL_SHARE` and below its capacity: waits there vary by more.
const LOSS_MAX: Duration = Duration::from_millis(25);
/// Crossings of the path before an answer begins: the request and the first event.
const PATH_CROSSINGS: u32 = 2;

/// Demand of the entry VMs of a zone, as they reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedDemand {
    /// Requests per second.
    pub per_s: f64,
    /// Age of the report.
    pub age: Duration,
}

/// What is known of one zone, for one service or model.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneFigures {
    /// Name of the zone.
    pub zone: AvailabilityZone,
    /// Demand of the zone's entry VMs; `None` if nothing was reported.
    pub demand: Option<ReportedDemand>,
    /// Requests per second that its usable servers complete; evacuated and cold ones count as none.
    pub capacity_per_s: f64,
    /// Requests in progress at its usable servers, from all zones.
    pub in_progress: u32,
    /// Requests that its usable servers process concurrently.
    pub slots: u32,
    /// Predicted time until an answer begins, without the path; `None` without usable servers.
    pub answer_in: Option<Duration>,
    /// Share of the requests to its servers that failed, as seen by this entry VM.
    pub failure_share: f64,
    /// One-way delay of the path to the zone from this one.
    pub path_delay: Duration,
}

impl ZoneFigures {
    /// Returns the demand, if the report still counts.
    fn known_demand(&self) -> Option<f64> {
        let demand = self.demand.filter(|it| it.age < REPORT_AGE_MAX)?;
        Some(demand.per_s.max(0.0))
    }

    /// Returns the capacity that requests of this entry VM's zone can use.
    fn reachable_capacity(&self) -> f64 {
        match self.failure_share > FAILURE_SHARE_MAX || self.slots == 0 {
            true => 0.0,
            false => self.capacity_per_s.max(0.0),
        }
    }

    /// Returns the requests per second that the zone can take in from others.
    ///
    /// The older the report of its demand, the less: a stale report is no invitation.
    fn spare(&self, level: f64) -> f64 {
        let Some(demand) = self.known_demand() else { return 0.0 };
        let is_full = self.in_progress >= self.slots;
        let age = self.demand.map_or(REPORT_AGE_MAX, |it| it.age);
        let freshness = if age < REPORT_AGE_FRESH { 1.0 } else { STALE_SPARE_SHARE };
        let spare = self.reachable_capacity() * level - demand;
        if is_full { 0.0 } else { spare.max(0.0) * freshness }
    }

    fn answer_with_path(&self) -> Option<Duration> {
        Some(self.answer_in? + self.path_delay * PATH_CROSSINGS)
    }
}

/// Why a request leaves its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaveReason {
    /// The zone has no usable server.
    NoServer,
    /// The demand of the zone exceeds its capacity.
    Surplus,
    /// No server of the zone could take this request.
    NoRoom,
    /// The zones of the service are not told apart.
    AnyZone,
}

impl LeaveReason {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no server",
            Self::Surplus => "surplus",
            Self::NoRoom => "no room",
            Self::AnyZone => "any zone",
        }
    }
}

/// Shares of a zone's requests that leave it, for one service or model.
#[derive(Debug, Default)]
pub struct ZoneBalance {
    /// Share of the requests that goes to each other zone; what is missing to 1 stays.
    shares: Vec<(AvailabilityZone, f64)>,
    /// Zones that take requests of others in, though perhaps no share is sent there.
    open: Vec<AvailabilityZone>,
    reason: Option<LeaveReason>,
    /// When other zones last took less than before, and less than the surplus.
    limited_at: Option<Moment>,
    /// Smoothed share of the requests that are to leave, and when it was computed.
    surplus: f64,
    updated_at: Option<Moment>,
    /// Whether each other zone accepted requests when it was last judged.
    accepting: HashMap<AvailabilityZone, bool>,
}

impl ZoneBalance {
    /// Derives the shares from new figures. Returns whether they changed.
    ///
    /// `own` are the figures of the zone of this entry VM, and `others` those of all other zones.
    pub fn update(&mut self, own: &ZoneFigures, others: &[ZoneFigures], now: Moment) -> bool {
        self.update_accepting(others);
        let is_accepting = |it: &&ZoneFigures| self.accepting.get(&it.zone) == Some(&true);
        let accepting: Vec<&ZoneFigures> = others.iter().filter(is_accepting).collect();
        self.open = accepting.iter().map(|it| it.zone.clone()).collect();
        let reason = if own.slots == 0 { LeaveReason::NoServer } else { LeaveReason::Surplus };
        let level = common_level(own, others);
        let mut wanted = self.leaving_share(own, level);
        wanted.share = self.smooth(wanted.share, own, now);
        let pays = |it: &&&ZoneFigures| match (own.answer_in, it.answer_with_path()) {
            (None, Some(_)) => true,
            (Some(near), Some(far)) => far <= near + LOSS_MAX || wanted.is_forced,
            (_, None) => false,
        };
        let targets: Vec<&ZoneFigures> = accepting.iter().filter(pays).copied().collect();
        let mut shares = distribute(own, others, &targets, wanted.share, level);
        // Less than a step is not worth a begin, which its end would soon follow.
        let total: f64 = shares.iter().map(|it| it.1).sum();
        if self.shares.is_empty() && total < SHARE_STEP {
            shares.clear();
        }
        self.apply(shares, reason, wanted.share, now)
    }

    /// Records which zones accept requests. A zone that is short itself accepts none, and accepts
    /// again only once some of its capacity is free.
    fn update_accepting(&mut self, others: &[ZoneFigures]) {
        self.accepting.retain(|zone, _| others.iter().any(|it| it.zone == *zone));
        for it in others {
            let capacity = it.reachable_capacity();
            let was_accepting = self.accepting.get(&it.zone).copied().unwrap_or(false);
            let limit = if was_accepting { 1.0 } else { FULL_SHARE };
            let has_slots = f64::from(it.in_progress) < f64::from(it.slots) * limit;
            let has_capacity = it.known_demand().is_some_and(|demand| demand < capacity * limit);
            self.accepting.insert(it.zone.clone(), has_slots && has_capacity);
        }
    }

    /// Returns the share of the zone's requests that its own servers cannot complete.
    fn leaving_share(&self, own: &ZoneFigures, level: f64) -> Leaving {
        let capacity = own.reachable_capacity();
        if capacity <= 0.0 {
            return Leaving { share: 1.0, is_forced: true };
        }
        let is_leaving = !self.shares.is_empty();
        let limit = if is_leaving { level } else { FULL_SHARE };
        let excess = |load: f64, room: f64| match load > room * limit {
            true => 1.0 - room * level / load,
            false => 0.0,
        };
        let demand = own.known_demand().unwrap_or(0.0);
        // Requests that wait for a slot show a lack of capacity before, or without, a report.
        let queued = excess(f64::from(own.in_progress), f64::from(own.slots) / level);
        Leaving { share: excess(demand, capacity).max(queued), is_forced: demand > capacity }
    }

    /// Follows the surplus, faster where it rises.
    fn smooth(&mut self, share: f64, own: &ZoneFigures, now: Moment) -> f64 {
        let elapsed = self.updated_at.map_or(Duration::MAX, |it| now.since(it));
        self.updated_at = Some(now);
        let time = if share > self.surplus { SURPLUS_RISE_TIME } else { SURPLUS_FALL_TIME };
        let weight = 1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
        self.surplus += weight * (share - self.surplus);
        if own.reachable_capacity() <= 0.0 {
            self.surplus = 1.0;
        } else if share <= 0.0 && self.surplus < SHARE_STEP {
            self.surplus = 0.0;
        }
        self.surplus
    }

    /// Applies shares that differ enough from those in force.
    fn apply(
        &mut self,
        shares: Vec<(AvailabilityZone, f64)>,
        reason: LeaveReason,
        wanted: f64,
        now: Moment,
    ) -> bool {
        // Nothing more goes to a zone that accepts nothing, however little it was.
        let falls = |(zone, before): &(AvailabilityZone, f64)| {
            let after = share_of(&shares, zone);
            before - after >= SHARE_STEP || after <= 0.0
        };
        let rises = |(zone, after): &(AvailabilityZone, f64)| {
            let before = share_of(&self.shares, zone);
            after - before >= SHARE_STEP || before <= 0.0
        };
        let has_fallen = self.shares.iter().any(falls);
        // Without servers of its own, a zone has no reason to wait.
        let may_rise = matches!(reason, LeaveReason::NoServer)
            || self.limited_at.is_none_or(|it| now.since(it) >= RISE_DELAY);
        let has_risen = may_rise && shares.iter().any(rises);
        if !has_fallen && !has_risen {
            return false;
        }
        let total: f64 = shares.iter().map(|it| it.1).sum();
        if has_fallen && wanted - total >= SHARE_STEP {
            self.limited_at = Some(now);
        }
        self.reason = (!shares.is_empty()).then_some(reason);
        self.shares = shares;
        true
    }

    /// Chooses the zone that a request is sent to first; `None` is its own. `draw` is a random number
    /// in `0.0..1.0`.
    pub fn choose(&self, draw: f64) -> Option<(&AvailabilityZone, LeaveReason)> {
        let mut left = draw;
        for (zone, share) in &self.shares {
            if left < *share {
                return Some((zone, self.reason.unwrap_or(LeaveReason::Surplus)));
            }
            left -= share;
        }
        None
    }

    /// Returns the zones that may take a request that its own zone cannot take.
    pub fn open(&self) -> &[AvailabilityZone] {
        &self.open
    }

    /// Returns the share of the requests that goes to a zone.
    pub fn share(&self, zone: &AvailabilityZone) -> f64 {
        share_of(&self.shares, zone)
    }

    /// Returns the shares of the requests that go to other zones.
    pub fn shares(&self) -> &[(AvailabilityZone, f64)] {
        &self.shares
    }
}

fn share_of(shares: &[(AvailabilityZone, f64)], zone: &AvailabilityZone) -> f64 {
    shares.iter().find(|(it, _)| it == zone).map_or(0.0, |(_, share)| *share)
}

/// Share of a zone's requests that is to leave.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    share: f64,
    /// Whether it leaves also if no other zone answers sooner at the moment: a zone whose demand
    /// exceeds its capacity builds up a queue.
    is_forced: bool,
}

/// Returns the share of its capacity that each zone would use if demand were spread evenly.
fn common_level(own: &ZoneFigures, others: &[ZoneFigures]) -> f64 {
    let known = [own]
        .into_iter()
        .chain(others)
        .filter_map(|it| Some((it.known_demand()?, it.reachable_capacity())));
    let (demand, capacity) = known.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let level = if capacity > 0.0 { demand / capacity } else { 0.0 };
    level.clamp(LEVEL_MIN, FULL_SHARE)
}

/// Divides the leaving share among zones in proportion to what they have to spare.
///
/// If several zones are short, each gets a part of the spare capacity in proportion to its surplus;
/// all compute the same parts from the same figures.
fn distribute(
    own: &ZoneFigures,
    others: &[ZoneFigures],
    targets: &[&ZoneFigures],
    leaving_share: f64,
    level: f64,
) -> Vec<(AvailabilityZone, f64)> {
    let spare: f64 = targets.iter().map(|it| it.spare(level)).sum();
    if leaving_share <= 0.0 || spare <= 0.0 {
        return Vec::new();
    }
    // The zone's own entry VMs may be unable to report; then spare capacity alone limits its share.
    let demand = own.known_demand().unwrap_or(0.0);
    let surplus = leaving_share * demand;
    let other_surplus = |it: &ZoneFigures| {
        let capacity = it.reachable_capacity();
        let is_short = |demand: &f64| *demand > capacity * FULL_SHARE;
        it.known_demand().filter(is_short).map_or(0.0, |demand| demand - capacity * level)
    };
    let all_surplus = surplus + others.iter().map(other_surplus).sum::<f64>();
    let covered = if all_surplus > spare { spare / all_surplus } else { 1.0 };
    let part = |it: &&ZoneFigures| {
        let share = leaving_share * covered * it.spare(level) / spare;
        (share > 0.0).then(|| (it.zone.clone(), share))
    };
    targets.iter().filter_map(part).collect()
}
