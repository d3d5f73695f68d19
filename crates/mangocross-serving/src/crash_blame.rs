//! Finds requests and parts of prompts that crash backend servers.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::AttemptSpan;
use crate::CrashCause;
use crate::CrashReport;
use crate::Moment;
use crate::ProcessState;
use crate::ReportedCrash;
use crate::ServerProcess;
use crate::crash::Crash;
use crate::crash::count_crashes;
use crate::crash::processes;
use crate::sound_causes::SoundCauses;

/// Number of crashes, apart in time, after which a cause is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes after which a broken request with the cause is not sent to another server.
const SUSPECT_CRASHES: usize = 2;
/// Time for which a crash counts against a cause.
const CRASH_KEPT: Duration = Duration::from_secs(30 * 60);
/// Time for which other entry VMs are told of a cause that few crashes count against.
const FEW_CRASHES_TOLD: Duration = Duration::from_secs(60);
/// Maximum number of parts that crashes count against.
const BLAMED_PARTS_MAX: usize = 64;
/// Maximum number of requests that crashes count against.
const BLAMED_REQUESTS_MAX: usize = 512;
/// Maximum number of crashes kept for a cause.
const CRASHES_PER_CAUSE_MAX: usize = 12;
/// Maximum number of crashes, and of sound causes, in a report.
const REPORTED_MAX: usize = 40;
/// Maximum number of crashes of one cause in a report.
const REPORTED_PER_CAUSE_MAX: usize = 8;
/// Time between two checks whether a process has ended that another entry VM reports as crashed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a crash for which the entry of the process may still be there. One that is there
/// later has not crashed, also if it ends some day.
const LISTED_FOR: Duration = Duration::from_secs(10);
/// Time after a crash for which processes are checked of which nothing is known.
const CHECKED_FOR: Duration = Duration::from_secs(5 * 60);
/// Maximum number of processes that are checked at a time.
const CHECKS_MAX: usize = 8;

/// What crashes say of a request with certain causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may be sent, and repeated if it breaks.
    Sound,
    /// The request may be sent once.
    Suspect(CrashCause),
    /// The request must not be sent.
    Quarantined(CrashCause),
}

/// Crashes of servers and the requests and parts of prompts that may have caused them.
///
/// When a server crashes, all requests whose answers were not complete, or had hardly begun in the
/// case of streams, and the shared parts of their prompts are candidates. A cause is quarantined if it
/// was a candidate at several crashes of different processes, without an answer that proves it
/// sound; the crashes lie apart in time, or the request was sent again after the earlier one. A crash
/// at which a quarantined cause was a candidate is explained by it and counts against no other; one
/// at which there was another possible cause does not count against a request that was answered
/// lately.
/// Of causes that were candidates at the same crashes any may be the one: requests with all of them
/// are refused, and one with some of them shows which it is.
///
/// A single entry VM cannot make others quarantine a cause: the crashes must have been observed here
/// or by two entry VMs, or this VM knows itself that the processes have ended.
#[derive(Debug, Default)]
pub struct CrashBlame {
    blamed: HashMap<CrashCause, Vec<Crash>>,
    sound: SoundCauses,
    /// Sound causes that another entry VM still blames.
    to_clear: BTreeSet<CrashCause>,
    /// Sets of causes with the same crashes; usually of one cause.
    quarantined: Vec<BTreeSet<CrashCause>>,
    suspects: BTreeSet<CrashCause>,
}

impl CrashBlame {
    /// Returns what the crashes say of a request with these causes.
    pub fn verdict(&self, causes: &[CrashCause]) -> CrashVerdict {
        let is_refused = |it: &&BTreeSet<_>| it.iter().all(|it| causes.contains(it));
        let refused = self.quarantined.iter().find(is_refused).and_then(|it| it.last());
        if let Some(cause) = refused {
            return CrashVerdict::Quarantined(*cause);
        }
        let is_suspect = |it: &&CrashCause| {
            self.suspects.contains(it) || self.quarantined.iter().any(|set| set.contains(it))
        };
        let suspect = causes.iter().find(is_suspect);
        suspect.map_or(CrashVerdict::Sound, |it| CrashVerdict::Suspect(*it))
    }

    /// Returns the quarantined causes.
    pub fn quarantined(&self) -> impl Iterator<Item = CrashCause> + '_ {
        self.quarantined.iter().flatten().copied()
    }

    /// Returns whether a crash from now on may count against any of the causes.
    pub fn may_blame(&self, causes: &[CrashCause]) -> bool {
        causes.iter().any(|it| it.is_request() || !self.sound.contains(it))
    }

    /// Returns whether `reporter` has recorded the crash of a process.
    pub fn has_crash(&self, server: &ServerProcess, reporter: &str) -> bool {
        let mut crashes = self.blamed.values().flatten();
        crashes.any(|it| it.server == *server && it.reporters.iter().any(|it| &**it == reporter))
    }

    /// Records that a process crashed while the answer to a request with these causes was not
    /// complete, or had hardly begun. Returns whether that is news.
    pub fn record_crash(
        &mut self,
        causes: &[CrashCause],
        server: &ServerProcess,
        own: &Arc<str>,
        span: AttemptSpan,
    ) -> bool {
        let mut is_news = false;
        for cause in causes {
            if !self.sound.settles(cause, server, span.broke_at) {
                let crash = Crash::new(server.clone(), span);
                let (reporters, state) = (vec![Arc::clone(own)], ProcessState::Ended);
                let crash = Crash { reporters, state, ..crash };
                is_news |= add(&mut self.blamed, *cause, crash, span.broke_at);
            }
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Records that a request with these causes was answered, or that its stream got past its start.
    /// Returns whether crashes counted against any of them.
    pub fn record_sound(&mut self, causes: &[CrashCause], own: &Arc<str>, now: Moment) -> bool {
        let is_news = self.settle(causes, own, now);
        causes.iter().for_each(|it| self.sound.record_own(it, now));
        is_news
    }

    /// Lets the crashes until an answer no longer count against its causes. Returns whether there
    /// were any.
    fn settle(&mut self, causes: &[CrashCause], own: &Arc<str>, now: Moment) -> bool {
        let mut is_news = false;
        for cause in causes {
            let crashes = self.blamed.remove(cause).unwrap_or_default();
            let is_settled = |it: &&Crash| !cause.is_request() || it.span.broke_at <= now;
            let cleared: Vec<_> =
                crashes.iter().filter(is_settled).map(|it| it.server.clone()).collect();
            let left: Vec<Crash> =
                crashes.into_iter().filter(|it| !cleared.contains(&it.server)).collect();
            if !left.is_empty() {
                self.blamed.insert(*cause, left);
            }
            if !cleared.is_empty() {
                self.to_clear.insert(*cause);
                is_news = true;
            }
            self.sound.record(*cause, cleared.into_iter(), now);
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Applies the report of another entry VM. Returns whether there is something new to tell.
    pub fn apply(&mut self, report: CrashReport, own: &Arc<str>, now: Moment) -> bool {
        let mut is_news = false;
        let at = |age_us: u64| now.before(Duration::from_micros(age_us));
        let reported: BTreeSet<CrashCause> = report.crashes.iter().map(|it| it.cause).collect();
        for (cause, age_us) in report.sound.into_iter().take(REPORTED_MAX) {
            let is_recent = SoundCauses::is_recent(Duration::from_micros(age_us));
            let is_blamed = self.blamed.contains_key(&cause) || reported.contains(&cause);
            if is_recent && is_blamed {
                is_news |= !self.sound.contains(&cause);
                is_news |= self.settle(&[cause], own, at(age_us));
            }
        }
        for reported in report.crashes.into_iter().take(REPORTED_MAX) {
            let ReportedCrash { cause, server, sent_age_us, age_us, reporters, confirmers } =
                reported;
            let span = AttemptSpan { sent_at: at(sent_age_us.max(age_us)), broke_at: at(age_us) };
            if self.sound.settles(&cause, &server, span.broke_at) {
                is_news |= self.to_clear.insert(cause);
                continue;
            }
            let crash = Crash { reporters, confirmers, ..Crash::new(server, span) };
            is_news |= add(&mut self.blamed, cause, crash, now);
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Returns processes that only others report as crashed, for this VM to check whether they have
    /// ended; each for one answer to [`CrashBlame::record_state`].
    pub fn take_checks(&mut self, now: Moment) -> Vec<ServerProcess> {
        let mut checks = BTreeSet::new();
        let suspected = self.blamed.values_mut().filter(|it| it.len() >= SUSPECT_CRASHES);
        for crash in suspected.flatten() {
            let checked_for = match crash.state {
                ProcessState::Unknown => CHECKED_FOR,
                ProcessState::Listed => LISTED_FOR,
                ProcessState::Ended => Duration::ZERO,
            };
            let is_open = now.since(crash.span.broke_at) < checked_for;
            let is_due = crash.checked_at.is_none_or(|it| now.since(it) >= CHECK_INTERVAL);
            if is_due && is_open && (checks.len() < CHECKS_MAX || checks.contains(&crash.server)) {
                crash.checked_at = Some(now);
                checks.insert(crash.server.clone());
            }
        }
        checks.into_iter().collect()
    }

    /// Records what this VM knows itself of a process. Returns whether there is something new to
    /// tell.
    pub fn record_state(
        &mut self,
        server: &ServerProcess,
        state: ProcessState,
        own: &Arc<str>,
    ) -> bool {
        let mut is_changed = false;
        for crash in self.blamed.values_mut().flatten().filter(|it| it.server == *server) {
            // A process that has ended stays so, also when its entry is forgotten.
            if crash.state == state || crash.state == ProcessState::Ended {
                continue;
            }
            crash.state = state;
            is_changed = true;
            if state == ProcessState::Ended {
                crash.confirm(own);
            }
        }
        if is_changed {
            self.decide(own);
        }
        is_changed && state == ProcessState::Ended
    }

    /// Returns what to tell the other entry VMs: the causes that most crashes count against first,
    /// the latest ones of equals, and which of the requests among them this VM saw answered.
    pub fn take_report(&mut self, now: Moment) -> CrashReport {
        let age_us = |at: Moment| u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX);
        let last_at = |it: &[Crash]| it.iter().map(|it| it.span.broke_at).max();
        let is_told = |it: &[Crash]| {
            let is_recent = last_at(it).is_some_and(|it| now.since(it) < FEW_CRASHES_TOLD);
            it.len() >= SUSPECT_CRASHES || is_recent
        };
        let mut causes: Vec<_> = self.blamed.iter().filter(|(_, it)| is_told(it)).collect();
        causes.sort_by_key(|(cause, it)| (Reverse(it.len()), Reverse(last_at(it)), **cause));
        let crashes = causes.into_iter().flat_map(|(cause, crashes)| {
            crashes.iter().take(REPORTED_PER_CAUSE_MAX).map(|it| ReportedCrash {
                cause: *cause,
                server: it.server.clone(),
                sent_age_us: age_us(it.span.sent_at),
                age_us: age_us(it.span.broke_at),
                reporters: it.reporters.clone(),
                confirmers: it.confirmers.clone(),
            })
        });
        let crashes: Vec<ReportedCrash> = crashes.take(REPORTED_MAX).collect();
        let to_clear = std::mem::take(&mut self.to_clear);
        let cleared = to_clear.iter().filter_map(|it| Some((*it, self.sound.proved_at(it)?)));
        // An answer of another VM is not told on, since its time grows younger with each hop.
        let blamed: BTreeSet<CrashCause> = crashes.iter().map(|it| it.cause).collect();
        let blamed = blamed.into_iter().filter(|it| it.is_request() && !to_clear.contains(it));
        let answered = blamed.filter_map(|it| Some((it, self.sound.answered_at(&it)?)));
        let sound = cleared.chain(answered).map(|(cause, at)| (cause, age_us(at)));
        let sound = sound.take(REPORTED_MAX).collect();
        CrashReport { crashes, sound }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, own: &Arc<str>, now: Moment) {
        self.sound.expire(now);
        let mut is_changed = false;
        self.blamed.retain(|_, crashes| {
            let before = crashes.len();
            crashes.retain(|it| now.since(it.span.broke_at) < CRASH_KEPT);
            is_changed |= crashes.len() != before;
            !crashes.is_empty()
        });
        if is_changed {
            self.decide(own);
        }
    }

    /// Returns the processes whose crashes do not count against a request that was answered lately: a
    /// part of a prompt was there of which there is no answer, or another request that is suspect.
    fn crashes_of_others(&self, own: &Arc<str>) -> BTreeSet<&ServerProcess> {
        let is_other = |cause: &CrashCause, crashes: &[Crash]| {
            let is_suspect = || count_crashes(crashes, &BTreeSet::new(), own).0 >= SUSPECT_CRASHES;
            let is_repeated = crashes.len() >= SUSPECT_CRASHES;
            !cause.is_request() || is_repeated && !self.sound.contains(cause) && is_suspect()
        };
        let others = self.blamed.iter().filter(|(cause, crashes)| is_other(cause, crashes));
        others.flat_map(|(_, crashes)| processes(crashes)).collect()
    }

    /// Decides which causes are suspect or quarantined: those with the most crashes first, so that
    /// they explain those at which others were candidates too. Causes with the same crashes are
    /// quarantined together.
    fn decide(&mut self, own: &Arc<str>) {
        let is_answered = |it: &CrashCause| it.is_request() && self.sound.contains(it);
        let mut quarantined: Vec<BTreeSet<CrashCause>> = Vec::new();
        let mut explained: BTreeSet<&ServerProcess> = BTreeSet::new();
        let repeated = self.blamed.iter().filter(|(_, it)| it.len() >= SUSPECT_CRASHES);
        let mut left: Vec<CrashCause> = repeated.map(|(cause, _)| *cause).collect();
        let others = match left.iter().any(is_answered) {
            true => self.crashes_of_others(own),
            false => BTreeSet::new(),
        };
        let suspects = loop {
            let explained_or_others = explained.union(&others).copied().collect();
            let counts = left.iter().map(|cause| {
                let left_out = if is_answered(cause) { &explained_or_others } else { &explained };
                let (apart, all) = count_crashes(&self.blamed[cause], left_out, own);
                (apart, all, *cause)
            });
            let counts: Vec<_> = counts.filter(|it| it.0 >= SUSPECT_CRASHES).collect();
            let Some((QUARANTINE_CRASHES.., _, worst)) = counts.iter().max() else {
                break counts.iter().map(|it| it.2).collect();
            };
            let at_worst = processes(&self.blamed[worst]);
            let is_alike = |it: &mut CrashCause| {
                processes(&self.blamed[it]) == at_worst && is_answered(it) == is_answered(worst)
            };
            quarantined.push(left.extract_if(.., is_alike).collect());
            explained.extend(at_worst);
        };
        (self.quarantined, self.suspects) = (quarantined, suspects);
    }
}

/// Adds a crash that counts against a cause, or its witnesses if the crash is known. Returns
/// whether that is news.
fn add(
    all: &mut HashMap<CrashCause, Vec<Crash>>,
    cause: CrashCause,
    mut crash: Crash,
    now: Moment,
) -> bool {
    if now.since(crash.span.broke_at) >= CRASH_KEPT || crash.reporters.is_empty() {
        return false;
    }
    if let Some(known) = all.get_mut(&cause)
        && let Some(existing) = known.iter_mut().find(|it| it.server == crash.server)
    {
        return existing.merge(crash);
    }
    let is_alike = |it: &&CrashCause| it.is_request() == cause.is_request();
    let most = if cause.is_request() { BLAMED_REQUESTS_MAX } else { BLAMED_PARTS_MAX };
    if !all.contains_key(&cause) && all.keys().filter(is_alike).count() >= most {
        forget_least_blamed(all, cause.is_request());
    }
    crash.limit_witnesses();
    let known = all.entry(cause).or_default();
    let has_room = known.len() < CRASHES_PER_CAUSE_MAX;
    if has_room {
        known.push(crash);
    }
    has_room
}

/// Forgets the request or the part that the fewest crashes count against, the one blamed longest ago
/// among equals.
fn forget_least_blamed(all: &mut HashMap<CrashCause, Vec<Crash>>, are_requests: bool) {
    let last_at = |it: &[Crash]| it.iter().map(|it| it.span.broke_at).max();
    let of_kind = all.iter().filter(|(cause, _)| cause.is_request() == are_requests);
    let least = of_kind.min_by_key(|(cause, it)| (it.len(), last_at(it), **cause));
    if let Some(cause) = least.map(|(cause, _)| *cause) {
        all.remove(&cause);
    }
}
