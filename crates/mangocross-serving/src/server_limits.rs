//! Limits that backend servers name on the requests that they take from all entry VMs together.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::RequestRate;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::Moment;

/// Time for which a slot that nobody takes stays open. Slots that stay open add up over all entry
/// VMs, so that a burst at an idle server exceeds its limit by at most this time's requests.
const SLOT_HOLD: Duration = Duration::from_secs(1);
/// Rate at which a server that takes next to nothing is asked whether it still does, in requests a
/// second over all entry VMs.
const ASK_AGAIN_PER_S: f64 = 0.25;
/// Time for which the end of a limit is reported to other entry VMs.
const END_RETENTION: Duration = Duration::from_secs(10);
/// Longest time between two slots.
const INTERVAL_MAX: Duration = Duration::from_secs(86_400);
/// What an answer says of the requests that its server takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Unlimited,
    /// Requests a second that the server takes from all entry VMs together.
    Limited(RequestRate),
    /// It names a limit that cannot be read.
    Unreadable,
}

/// News of a limit, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// Whether the server has a limit has not changed.
    None,
    /// The server has a limit now.
    Begun,
    /// The server has no limit any more.
    Ended,
}

/// What an entry VM tells the others of a server's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// VM of the server.
    pub vm: VmId,
    /// Start time of the server process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
    /// The limit, or `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// Time since the server said so, in milliseconds.
    pub age_ms: u32,
}

/// What is known of the limit of one life of a server.
#[derive(Debug, Clone)]
struct KnownLimit {
    born_unix_ms: u64,
    limit: Option<RequestRate>,
    said_at: Moment,
    slots: Slots,
}

/// The times at which this entry VM may send to a limited server.
///
/// A slot stays open until it is taken, at most for `SLOT_HOLD`; slots do not add up beyond that.
#[derive(Debug, Clone)]
struct Slots {
    /// Time between two slots.
    interval: Duration,
    next_at: Moment,
}

impl Slots {
    /// Starts a schedule at a random point between two slots, so that entry VMs that learn of a limit
    /// together do not send together.
    fn new(interval: Duration, now: Moment, draw: f64) -> Self {
        Self { interval, next_at: now + interval.mul_f64(draw) }
    }

    /// Takes the open slot, or the next one.
    fn take(&mut self, now: Moment) {
        self.next_at = self.next_at.max(now.before(SLOT_HOLD)) + self.interval;
    }

    /// Drops a slot that nobody took in time.
    fn drop_missed(&mut self, now: Moment) {
        if self.interval > SLOT_HOLD && now.since(self.next_at) > SLOT_HOLD {
            self.take(now);
        }
    }

    /// Changes the time between two slots, and the time until the next one in proportion.
    fn set_interval(&mut self, interval: Duration, now: Moment) {
        if self.next_at > now {
            let left = self.next_at.since(now).as_secs_f64();
            let scaled =
                left * interval.as_secs_f64() / self.interval.as_secs_f64().max(f64::EPSILON);
            self.next_at =
                now + Duration::try_from_secs_f64(scaled).unwrap_or(interval).min(interval);
        }
        self.interval = interval;
    }
}

/// Returns the time between two requests of an entry VM to a server of whose limit it has a share.
fn interval(limit: RequestRate, share: f64) -> Duration {
    let per_s = limit.per_s().max(ASK_AGAIN_PER_S) * share;
    Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(INTERVAL_MAX).min(INTERVAL_MAX)
}

/// Paces the requests of this entry VM to servers that have named a limit.
///
/// A limit holds for one life of a server and for all entry VMs together; each uses a share that
/// corresponds to its part of the service's requests. A server without a limit is not paced.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: HashMap<VmId, KnownLimit>,
}

impl ServerLimits {
    /// Records what the answer to a request says of its server's limit.
    ///
    /// `born_unix_ms` is the start time that was known when the request was sent; `share` is this
    /// entry VM's share of the limit, and `draw` a random number in `0.0..1.0`.
    pub fn record_answer(
        &mut self,
        server: (&VmId, u64),
        notice: LimitNotice,
        sent_at: Moment,
        now: Moment,
        (share, draw): (f64, f64),
    ) -> LimitChange {
        match notice {
            LimitNotice::Unreadable => LimitChange::None,
            LimitNotice::Limited(it) => self.apply(server, Some(it), now, now, (share, draw)),
            // The answer may have been given before another one that named a limit.
            LimitNotice::Unlimited => self.apply(server, None, sent_at, now, (share, draw)),
        }
    }

    /// Records what another entry VM tells of a server's limit.
    pub fn record_report(
        &mut self,
        report: &LimitReport,
        now: Moment,
        (share, draw): (f64, f64),
    ) -> LimitChange {
        let said_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        let server = (&report.vm, report.born_unix_ms);
        self.apply(server, report.limit, said_at, now, (share, draw))
    }

    fn apply(
        &mut self,
        (vm, born_unix_ms): (&VmId, u64),
        limit: Option<RequestRate>,
        said_at: Moment,
        now: Moment,
        (share, draw): (f64, f64),
    ) -> LimitChange {
        let known = self.servers.get_mut(vm).filter(|it| it.born_unix_ms >= born_unix_ms);
        let had_limit = known.as_ref().is_some_and(|it| it.limit.is_some());
        match (known, limit) {
            (Some(known), _) if known.born_unix_ms > born_unix_ms || said_at <= known.said_at => {
                return LimitChange::None;
            }
            (Some(known), _) => {
                if let Some(limit) = limit {
                    let interval = interval(limit, share);
                    match had_limit {
                        true => known.slots.set_interval(interval, now),
                        false => known.slots = Slots::new(interval, now, draw),
                    }
                }
                (known.limit, known.said_at) = (limit, said_at);
            }
            (None, None) => return LimitChange::None,
            (None, Some(limit)) => {
                let slots = Slots::new(interval(limit, share), now, draw);
                let new = KnownLimit { born_unix_ms, limit: Some(limit), said_at, slots };
                self.servers.insert(vm.clone(), new);
            }
        }
        match (had_limit, limit.is_some()) {
            (false, true) => LimitChange::Begun,
            (true, false) => LimitChange::Ended,
            (true, true) | (false, false) => LimitChange::None,
        }
    }

    /// Returns the limit that concerns a server as it is listed.
    fn of(&self, server: &BackendServer) -> Option<&KnownLimit> {
        let known = self.servers.get(&server.vm)?;
        let holds = known.limit.is_some() && server.engine.born_unix_ms <= known.born_unix_ms;
        holds.then_some(known)
    }

    /// Returns whether no limit is known or ended lately.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns whether a server has named a limit.
    pub fn is_limited(&self, server: &BackendServer) -> bool {
        self.of(server).is_some()
    }

    /// Returns whether a request may be sent to a server now.
    pub fn has_room(&self, server: &BackendServer, now: Moment) -> bool {
        self.of(server).is_none_or(|it| it.slots.next_at <= now)
    }

    /// Records that a request is sent to a server.
    pub fn record_request(&mut self, vm: &VmId, now: Moment) {
        if let Some(known) = self.servers.get_mut(vm).filter(|it| it.limit.is_some()) {
            known.slots.take(now);
        }
    }

    /// Adapts the pace of all limited servers to this entry VM's share of each limit, and drops
    /// slots that nobody took.
    pub fn refresh(&mut self, now: Moment, share: impl Fn(&VmId) -> f64) {
        for (vm, known) in &mut self.servers {
            if let Some(limit) = known.limit {
                known.slots.set_interval(interval(limit, share(vm)), now);
                known.slots.drop_missed(now);
            }
        }
    }

    /// Returns what the other entry VMs are told.
    pub fn reports(&self, now: Moment) -> Vec<LimitReport> {
        let report = |(vm, known): (&VmId, &KnownLimit)| LimitReport {
            vm: vm.clone(),
            born_unix_ms: known.born_unix_ms,
            limit: known.limit,
            age_ms: u32::try_from(now.since(known.said_at).as_millis()).unwrap_or(u32::MAX),
        };
        self.servers.iter().map(report).collect()
    }

    /// Removes limits of servers that are not listed, and those that ended long ago.
    pub fn expire(&mut self, now: Moment, is_listed: impl Fn(&VmId) -> bool) {
        self.servers.retain(|vm, it| {
            is_listed(vm) && (it.limit.is_some() || now.since(it.said_at) < END_RETENTION)
        });
    }
}
