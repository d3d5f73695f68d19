//! Servers that take few requests for a while after their start.

mod cold_rule;
mod quotas;
mod turns;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::ServiceId;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

pub use self::cold_rule::ColdRule;
use self::quotas::Quotas;
use self::turns::Pace;
use self::turns::Turns;
use crate::BackendServer;
use crate::Moment;

/// Longest time for which a server is taken to be cold after it was said to be.
const COLD_TIME_MAX: Duration = Duration::from_secs(60);
/// Largest difference between the wall clocks of a server and an entry VM that does not matter.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);
/// Time by which a server has to be cold for longer than is known for other entry VMs to be told.
const NEWS_MIN: Duration = Duration::from_millis(300);
/// Time after which a server that is listed again has been away; it may have lost what made it warm.
const AWAY_MIN: Duration = Duration::from_secs(5);
/// Time for which a process is remembered after its server was last listed.
const RETENTION: Duration = Duration::from_secs(600);

/// What an entry VM tells the others of a cold server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// VM of the server.
    pub vm: VmId,
    /// Start time of the server process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
    /// Time for which the server is cold, in milliseconds.
    pub left_ms: u32,
}

/// A server that has become cold, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdServer {
    /// VM of the server.
    pub vm: VmId,
    /// Time for which it is taken to be cold.
    pub left: Duration,
    /// Whether this entry VM has a quota of the requests to it.
    pub has_quota: bool,
    /// Entry VMs among which the requests are divided.
    pub entry_vms: usize,
}

/// Returns the age of a process that was born at a time since the epoch; the longest one if wall clocks
/// differ so much that they tell nothing.
pub fn process_age(born: Duration, now: Duration) -> Duration {
    match born > now + CLOCK_TOLERANCE {
        true => Duration::MAX,
        false => now.saturating_sub(born),
    }
}

/// What is known of one life of a server.
#[derive(Debug, Clone)]
struct Process {
    born_unix_ms: u64,
    seen_at: Moment,
    /// Age of the process when it was first seen.
    age: Duration,
    /// When it was listed again after it had been away.
    back_at: Option<Moment>,
    /// Revision of the last entry that said for how long it is cold.
    entry: Option<StoreRevision>,
    /// Until when it was said to be cold.
    told_until: Moment,
    listed_at: Moment,
    turns: Option<Turns>,
    /// Number of changes of the quotas when the turns were computed; `None` while it is not cold.
    turns_of: Option<u64>,
}

impl Process {
    fn new(born_unix_ms: u64, age: Duration, now: Moment) -> Self {
        let (seen_at, listed_at) = (now, now);
        let (entry, told_until) = (None, Moment::default());
        let (turns, turns_of) = (None, None);
        Self {
            born_unix_ms,
            seen_at,
            age,
            back_at: None,
            entry,
            told_until,
            listed_at,
            turns,
            turns_of,
        }
    }

    fn cold_until(&self, rule: &ColdRule) -> Moment {
        let since_start = (rule.start + CLOCK_TOLERANCE).saturating_sub(self.age);
        let back_until = self.back_at.map_or(Moment::default(), |it| it + rule.start);
        self.told_until.max(self.seen_at + since_start.min(rule.start)).max(back_until)
    }
}

/// Paces the requests of this entry VM to cold servers.
///
/// For each cold process, as many entry VMs as requests are planned have a quota, or each has several.
/// They are drawn anew for each process, so that all entry VMs have quotas at some servers. Within any
/// span, no more requests are sent than are planned, whatever the demand and the phases.
#[derive(Debug, Default)]
pub struct ColdServers {
    rules: HashMap<ServiceId, ColdRule>,
    quotas: Quotas,
    processes: HashMap<VmId, Process>,
    to_tell: Vec<ColdReport>,
}

impl ColdServers {
    /// Records that a process is listed, and its age by the wall clock.
    ///
    /// `refresh` records that it still is.
    pub fn record_listed(&mut self, vm: &VmId, born_unix_ms: u64, age: Duration, now: Moment) {
        match self.processes.get_mut(vm).filter(|it| it.born_unix_ms >= born_unix_ms) {
            Some(known) => {
                if now.since(known.listed_at) >= AWAY_MIN {
                    known.back_at = Some(now);
                }
                known.listed_at = now;
            }
            None => {
                self.processes.insert(vm.clone(), Process::new(born_unix_ms, age, now));
            }
        }
    }

    /// Records for how long a process is cold by its entry; one that is read again does not count.
    ///
    /// Returns whether that is news.
    pub fn record_entry(
        &mut self,
        process: (&VmId, u64),
        left: Duration,
        revision: StoreRevision,
        now: Moment,
    ) -> bool {
        let is_again = |it: &Process| it.entry.is_some_and(|it| it >= revision);
        if self.processes.get(process.0).is_some_and(is_again) {
            return false;
        }
        let is_news = self.record_told(process, left, now);
        if let Some(known) = self.processes.get_mut(process.0) {
            known.entry = Some(revision);
        }
        is_news
    }

    /// Records for how long a process said that it is cold.
    ///
    /// Returns whether that is news.
    pub fn record_told(
        &mut self,
        (vm, born_unix_ms): (&VmId, u64),
        left: Duration,
        now: Moment,
    ) -> bool {
        let until = now + left.min(COLD_TIME_MAX);
        let is_known = |it: &&mut Process| it.born_unix_ms >= born_unix_ms;
        if self.processes.get_mut(vm).filter(is_known).is_none() {
            let new = Process::new(born_unix_ms, Duration::MAX, now);
            self.processes.insert(vm.clone(), new);
        }
        let Some(known) = self.processes.get_mut(vm) else { return false };
        if left.is_zero() || known.born_unix_ms > born_unix_ms {
            return false;
        }
        let is_news = until > known.told_until + NEWS_MIN;
        known.told_until = known.told_until.max(until);
        is_news
    }

    /// Records that a server gets requests again after its zone was evacuated; it may be cold.
    pub fn record_taken_back(&mut self, server: &BackendServer, now: Moment) {
        if let Some(start) = self.rules.get(&server.service).map(|it| it.start) {
            self.record_told((&server.vm, server.engine.born_unix_ms), start, now);
        }
    }

    /// Returns whether a request that was meant for a server since `chosen_at` may be sent to it: the
    /// server is not cold, or a turn was taken since then, or there is one now.
    pub fn may_send(&self, server: &BackendServer, chosen_at: Moment, now: Moment) -> bool {
        self.cold(server, now).is_none_or(|it| {
            it.turns.as_ref().is_some_and(|it| it.was_taken_since(chosen_at) || it.is_open(now))
        })
    }

    /// Queues what a process said for the other entry VMs.
    pub fn tell(&mut self, vm: &VmId, born_unix_ms: u64, left: Duration) {
        let left_ms = u32::try_from(left.min(COLD_TIME_MAX).as_millis()).unwrap_or(u32::MAX);
        self.to_tell.push(ColdReport { vm: vm.clone(), born_unix_ms, left_ms });
    }

    /// Takes what the other entry VMs are to be told.
    pub fn take_reports(&mut self) -> Vec<ColdReport> {
        std::mem::take(&mut self.to_tell)
    }

    /// Records what another entry VM tells of a server.
    pub fn record_report(&mut self, report: &ColdReport, now: Moment) {
        let left = Duration::from_millis(u64::from(report.left_ms));
        self.record_told((&report.vm, report.born_unix_ms), left, now);
    }

    /// Replaces the services whose servers may be cold.
    pub fn set_rules(&mut self, rules: HashMap<ServiceId, ColdRule>) {
        self.rules = rules;
    }

    /// Returns whether no service has servers that may be cold.
    pub fn is_unused(&self) -> bool {
        self.rules.is_empty()
    }

    fn cold<'a>(&'a self, server: &BackendServer, now: Moment) -> Option<&'a Process> {
        let rule = self.rules.get(&server.service)?;
        let process = self.processes.get(&server.vm)?;
        let is_cold = process.cold_until(rule) > now;
        (is_cold && server.engine.born_unix_ms <= process.born_unix_ms).then_some(process)
    }

    /// Returns whether a server is cold.
    pub fn is_cold(&self, server: &BackendServer, now: Moment) -> bool {
        self.cold(server, now).is_some()
    }

    /// Returns whether a request may be sent to a server now.
    pub fn has_room(&self, server: &BackendServer, now: Moment) -> bool {
        self.cold(server, now)
            .is_none_or(|it| it.turns.as_ref().is_some_and(|turns| turns.is_open(now)))
    }

    /// Records that a request is sent to a server.
    pub fn record_request(&mut self, vm: &VmId, now: Moment) {
        if let Some(turns) = self.processes.get_mut(vm).and_then(|it| it.turns.as_mut()) {
            turns.take(now);
        }
    }

    /// Adapts the turns to the listed entry VMs, and gives turns at servers that have become cold,
    /// which are returned.
    ///
    /// `draw` returns random numbers in `0.0..1.0`.
    pub fn refresh<'a>(
        &mut self,
        own: &Arc<str>,
        entry_vms: impl Iterator<Item = &'a Arc<str>>,
        servers: impl Iterator<Item = &'a BackendServer>,
        now: Moment,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<ColdServer> {
        self.quotas.set_members(own, entry_vms, now);
        let mut begun = Vec::new();
        for server in servers {
            let Some(process) = self.processes.get_mut(&server.vm) else { continue };
            process.listed_at = now;
            let rule = self.rules.get(&server.service);
            let Some(rule) = rule.filter(|it| process.cold_until(it) > now) else {
                (process.turns, process.turns_of) = (None, None);
                continue;
            };
            if process.turns_of == Some(self.quotas.changes()) {
                process.turns.iter_mut().for_each(|it| it.drop_missed(now));
                continue;
            }
            let pace = self.quotas.pace(rule, (&server.vm, process.born_unix_ms));
            match (&mut process.turns, pace) {
                (Some(turns), Some(pace)) => turns.set_pace(pace, now, draw()),
                (turns, pace) => *turns = pace.map(|it| Turns::new(it, now, draw())),
            }
            if process.turns_of.replace(self.quotas.changes()).is_none() {
                begun.push(ColdServer {
                    vm: server.vm.clone(),
                    left: process.cold_until(rule).since(now),
                    has_quota: matches!(pace, Some(Pace::Regular(_))),
                    entry_vms: self.quotas.member_count(),
                });
            }
        }
        begun
    }

    /// Forgets processes that were listed long ago.
    pub fn expire(&mut self, now: Moment) {
        self.processes.retain(|_, it| now.since(it.listed_at) < RETENTION || it.told_until > now);
    }
}
