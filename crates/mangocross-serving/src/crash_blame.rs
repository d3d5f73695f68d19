//! Finds parts of prompts that crash backend servers.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::PromptPartId;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Number of crashes, apart in time, after which a part is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes after which a broken request with the part is not sent to another server.
const SUSPECT_CRASHES: usize = 2;
/// Crashes closer to each other than this may have one cause, such as the loss of a rack.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(150);
/// Time for which a crash counts against a part.
const CRASH_KEPT: Duration = Duration::from_secs(30 * 60);
/// Time for which a part is sound after an answer to a prompt with it got past its start.
const SOUND_KEPT: Duration = Duration::from_secs(120);
/// Maximum number of parts that crashes count against.
const BLAMED_PARTS_MAX: usize = 64;
/// Maximum number of crashes kept for a part.
const CRASHES_PER_PART_MAX: usize = 12;
/// Maximum number of reporters kept for a crash.
const REPORTERS_MAX: usize = 3;
/// Maximum number of parts known as sound.
const SOUND_PARTS_MAX: usize = 4096;
/// Maximum number of crashes, and of sound parts, in a report.
const REPORTED_MAX: usize = 40;

/// A process of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerProcess {
    /// VM of the server.
    pub vm: VmId,
    /// Start time of the process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
}

/// A crash in a report to another entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Part that an answer had hardly begun with.
    pub part: PromptPartId,
    /// Process that crashed.
    pub server: ServerProcess,
    /// Time since the crash.
    pub age_ms: u32,
    /// Names of entry VMs that observed it.
    pub reporters: Vec<Arc<str>>,
}

/// What an entry VM tells the others about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes and the parts that they count against.
    pub crashes: Vec<ReportedCrash>,
    /// Parts that others blame and that are sound, and the milliseconds since they proved so.
    pub sound: Vec<(PromptPartId, u32)>,
}

impl CrashReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }
}

/// What crashes say of a request with certain parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may be sent, and repeated if it breaks.
    Sound,
    /// The request may be sent once.
    Suspect(PromptPartId),
    /// The request must not be sent.
    Quarantined(PromptPartId),
}

#[derive(Debug, Clone)]
struct Crash {
    server: ServerProcess,
    at: Moment,
    reporters: Vec<Arc<str>>,
}

/// Crashes of servers and the parts of prompts that may have caused them.
///
/// When a server crashes, the shared parts of all requests whose answers had hardly begun
/// there are candidates. A part is quarantined if it was a candidate at several crashes of
/// different processes, apart in time, and no answer with it got past its start. A crash at
/// which a quarantined part was a candidate is explained by that part and counts against no other.
/// Of parts that were candidates at the same crashes any may be the cause: requests with all of them
/// are refused, and one with some of them shows which it is.
///
/// A single entry VM cannot make others quarantine a part: its crashes must have been observed
/// here or by two entry VMs.
#[derive(Debug, Default)]
pub struct CrashBlame {
    blamed: HashMap<PromptPartId, Vec<Crash>>,
    sound: HashMap<PromptPartId, Moment>,
    /// Sound parts that another entry VM still blames.
    to_clear: BTreeSet<PromptPartId>,
    /// Sets of parts with the same crashes; usually of one part.
    quarantined: Vec<BTreeSet<PromptPartId>>,
    suspects: BTreeSet<PromptPartId>,
}

impl CrashBlame {
    /// Returns what the crashes say of a request with these shared parts.
    pub fn verdict(&self, parts: &[PromptPartId]) -> CrashVerdict {
        let is_refused = |it: &&BTreeSet<_>| it.iter().all(|it| parts.contains(it));
        let refused = self.quarantined.iter().find(is_refused).and_then(|it| it.first());
        if let Some(part) = refused {
            return CrashVerdict::Quarantined(*part);
        }
        let is_suspect = |it: &&PromptPartId| {
            self.suspects.contains(it) || self.quarantined.iter().any(|set| set.contains(it))
        };
        parts.iter().find(is_suspect).map_or(CrashVerdict::Sound, |it| CrashVerdict::Suspect(*it))
    }

    /// Returns the quarantined parts.
    pub fn quarantined(&self) -> impl Iterator<Item = PromptPartId> + '_ {
        self.quarantined.iter().flatten().copied()
    }

    /// Returns whether any of the parts is not known as sound.
    pub fn may_blame(&self, parts: &[PromptPartId]) -> bool {
        parts.iter().any(|it| !self.sound.contains_key(it))
    }

    /// Returns whether `reporter` has recorded the crash of a process.
    pub fn has_crash(&self, server: &ServerProcess, reporter: &str) -> bool {
        let mut crashes = self.blamed.values().flatten();
        crashes.any(|it| it.server == *server && it.reporters.iter().any(|it| &**it == reporter))
    }

    /// Records that a process crashed while an answer to a prompt with these parts had hardly
    /// begun there. Returns whether that is news.
    pub fn record_crash(
        &mut self,
        parts: &[PromptPartId],
        server: &ServerProcess,
        own: &Arc<str>,
        now: Moment,
    ) -> bool {
        let mut is_news = false;
        for part in parts.iter().filter(|it| !self.sound.contains_key(it)) {
            let reporters = vec![Arc::clone(own)];
            let crash = Crash { server: server.clone(), at: now, reporters };
            is_news |= add(&mut self.blamed, *part, crash, now);
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Records that an answer to a prompt with these parts got past its start. Returns whether
    /// crashes counted against any of them.
    pub fn record_sound(&mut self, parts: &[PromptPartId], own: &Arc<str>, now: Moment) -> bool {
        let mut is_news = false;
        for part in parts {
            if self.sound.len() >= SOUND_PARTS_MAX && !self.sound.contains_key(part) {
                forget_oldest_half(&mut self.sound);
            }
            self.sound.insert(*part, now);
            if self.blamed.remove(part).is_some() {
                self.to_clear.insert(*part);
                is_news = true;
            }
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Applies the report of another entry VM. Returns whether there is something new to tell.
    pub fn apply(&mut self, report: CrashReport, own: &Arc<str>, now: Moment) -> bool {
        let mut is_news = false;
        let at = |age_ms: u32| now.before(Duration::from_millis(u64::from(age_ms)));
        for (part, age_ms) in report.sound.into_iter().take(REPORTED_MAX) {
            let is_recent = Duration::from_millis(u64::from(age_ms)) < SOUND_KEPT;
            if is_recent && self.blamed.contains_key(&part) {
                is_news |= self.record_sound(&[part], own, at(age_ms));
            }
        }
        for reported in report.crashes.into_iter().take(REPORTED_MAX) {
            let ReportedCrash { part, server, age_ms, reporters } = reported;
            if self.sound.contains_key(&part) {
                is_news |= self.to_clear.insert(part);
                continue;
            }
            let crash = Crash { server, at: at(age_ms), reporters };
            is_news |= add(&mut self.blamed, part, crash, now);
        }
        if is_news {
            self.decide(own);
        }
        is_news
    }

    /// Returns what to tell the other entry VMs: the parts that most crashes count against first.
    pub fn take_report(&mut self, now: Moment) -> CrashReport {
        let age_ms = |at: Moment| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let mut parts: Vec<_> = self.blamed.iter().collect();
        parts.sort_by_key(|(part, it)| (Reverse(it.len()), **part));
        let crashes = parts.into_iter().flat_map(|(part, crashes)| {
            crashes.iter().map(|it| ReportedCrash {
                part: *part,
                server: it.server.clone(),
                age_ms: age_ms(it.at),
                reporters: it.reporters.clone(),
            })
        });
        let crashes = crashes.take(REPORTED_MAX).collect();
        let to_clear = std::mem::take(&mut self.to_clear);
        let sound = to_clear.into_iter().filter_map(|it| Some((it, age_ms(*self.sound.get(&it)?))));
        CrashReport { crashes, sound: sound.take(REPORTED_MAX).collect() }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, own: &Arc<str>, now: Moment) {
        self.sound.retain(|_, at| now.since(*at) < SOUND_KEPT);
        let mut is_changed = false;
        self.blamed.retain(|_, crashes| {
            let before = crashes.len();
            crashes.retain(|it| now.since(it.at) < CRASH_KEPT);
            is_changed |= crashes.len() != before;
            !crashes.is_empty()
        });
        if is_changed {
            self.decide(own);
        }
    }

    /// Decides which parts are suspect or quarantined: those with the most crashes first, so that
    /// they explain those at which others were candidates too. Parts with the same crashes are
    /// quarantined together.
    fn decide(&mut self, own: &Arc<str>) {
        self.quarantined.clear();
        self.suspects.clear();
        let mut explained: BTreeSet<&ServerProcess> = BTreeSet::new();
        let mut left: Vec<PromptPartId> = self.blamed.keys().copied().collect();
        loop {
            let counts = left.iter().map(|part| {
                let (apart, all) = count_crashes(&self.blamed[part], &explained, own);
                (apart, all, *part)
            });
            let Some((apart, _, part)) = counts.max() else { return };
            if apart < SUSPECT_CRASHES {
                return;
            }
            let processes = processes(&self.blamed[&part]);
            let alike =
                left.extract_if(.., |it| self::processes(&self.blamed[it]) == processes).collect();
            if apart < QUARANTINE_CRASHES {
                self.suspects.extend::<BTreeSet<_>>(alike);
                continue;
            }
            self.quarantined.push(alike);
            explained.extend(processes);
        }
    }
}

fn processes(crashes: &[Crash]) -> BTreeSet<&ServerProcess> {
    crashes.iter().map(|it| &it.server).collect()
}

/// Counts the crashes that are not explained, first those apart in time, then all; none if only one
/// other entry VM reports them.
fn count_crashes(
    crashes: &[Crash],
    explained: &BTreeSet<&ServerProcess>,
    own: &Arc<str>,
) -> (usize, usize) {
    let is_open = |it: &&Crash| !explained.contains(&it.server);
    let mut open: Vec<&Crash> = crashes.iter().filter(is_open).collect();
    let reporters: BTreeSet<&Arc<str>> = open.iter().flat_map(|it| &it.reporters).collect();
    if reporters.len() < 2 && !reporters.contains(own) {
        return (0, 0);
    }
    open.sort_by_key(|it| it.at);
    let mut apart = 0;
    let mut last_at = None;
    for crash in &open {
        if last_at.is_none_or(|it| crash.at.since(it) >= COMMON_CAUSE_TIME) {
            apart += 1;
            last_at = Some(crash.at);
        }
    }
    (apart, open.len())
}

/// Adds a crash that counts against a part, or its reporters if the crash is known. Returns whether
/// that is news.
fn add(
    all: &mut HashMap<PromptPartId, Vec<Crash>>,
    part: PromptPartId,
    crash: Crash,
    now: Moment,
) -> bool {
    if now.since(crash.at) >= CRASH_KEPT || crash.reporters.is_empty() {
        return false;
    }
    if !all.contains_key(&part) && all.len() >= BLAMED_PARTS_MAX {
        forget_least_blamed(all);
    }
    let known = all.entry(part).or_default();
    let Some(existing) = known.iter_mut().find(|it| it.server == crash.server) else {
        let has_room = known.len() < CRASHES_PER_PART_MAX;
        if has_room {
            let reporters = crash.reporters.into_iter().take(REPORTERS_MAX).collect();
            known.push(Crash { reporters, ..crash });
        }
        return has_room;
    };
    // A report that was delayed makes the crash seem later than it was.
    existing.at = existing.at.min(crash.at);
    let before = existing.reporters.len();
    for reporter in crash.reporters {
        if existing.reporters.len() < REPORTERS_MAX && !existing.reporters.contains(&reporter) {
            existing.reporters.push(reporter);
        }
    }
    existing.reporters.len() > before
}

/// Forgets the part that the fewest crashes count against, the one blamed longest ago among equals.
fn forget_least_blamed(all: &mut HashMap<PromptPartId, Vec<Crash>>) {
    let last_at = |it: &[Crash]| it.iter().map(|it| it.at).max();
    let least = all.iter().min_by_key(|(part, it)| (it.len(), last_at(it), **part));
    if let Some(part) = least.map(|(part, _)| *part) {
        all.remove(&part);
    }
}

fn forget_oldest_half(sound: &mut HashMap<PromptPartId, Moment>) {
    let mut times: Vec<Moment> = sound.values().copied().collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let median = *median;
    sound.retain(|_, at| *at > median);
}
