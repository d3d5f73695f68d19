//! One crash of a backend server, and what is known of it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Crashes closer to each other than this may have one cause, such as the loss of a rack, unless the
/// request was sent after the earlier one.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of reporters, and of confirmers, kept for a crash.
const WITNESSES_MAX: usize = 3;
/// Number of entry VMs whose word suffices where a VM knows nothing itself.
const WITNESSES_NEEDED: usize = 2;

/// A process of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerProcess {
    /// VM of the server.
    pub vm: VmId,
    /// Start time of the process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
}

/// What an entry VM knows itself of a process that others report as crashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProcessState {
    /// Nothing.
    #[default]
    Unknown,
    /// Its entry is there, and its address is not a later process's.
    Listed,
    /// It has ended.
    Ended,
}

/// The time from sending a request to a server until the answer broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSpan {
    /// When the request was sent.
    pub sent_at: Moment,
    /// When its answer broke.
    pub broke_at: Moment,
}

impl AttemptSpan {
    fn duration(self) -> Duration {
        self.broke_at.since(self.sent_at)
    }
}

/// A crash that counts against one cause.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    /// Process that crashed.
    pub(crate) server: ServerProcess,
    /// Attempt whose answer it broke.
    pub(crate) span: AttemptSpan,
    /// Names of entry VMs that observed it.
    pub(crate) reporters: Vec<Arc<str>>,
    /// Names of other entry VMs that know that the process has ended.
    pub(crate) confirmers: Vec<Arc<str>>,
    /// What this VM knows itself of the process.
    pub(crate) state: ProcessState,
    /// When it was last checked whether the process has ended.
    pub(crate) checked_at: Option<Moment>,
}

impl Crash {
    pub(crate) fn new(server: ServerProcess, span: AttemptSpan) -> Self {
        let (reporters, confirmers) = (Vec::new(), Vec::new());
        Self { server, span, reporters, confirmers, state: ProcessState::Unknown, checked_at: None }
    }

    /// Forgets the witnesses above the maximum number.
    pub(crate) fn limit_witnesses(&mut self) {
        self.reporters.truncate(WITNESSES_MAX);
        self.confirmers.truncate(WITNESSES_MAX);
    }

    /// Records that an entry VM which did not observe the crash knows that the process has ended.
    pub(crate) fn confirm(&mut self, name: &Arc<str>) {
        if !self.reporters.contains(name) {
            add_names(&mut self.confirmers, vec![Arc::clone(name)]);
        }
    }

    /// Returns whether the crash counts; `has_witnesses` tells whether this VM or several others
    /// observed a crash that counts against the same cause.
    fn counts(&self, has_witnesses: bool) -> bool {
        let witnesses: BTreeSet<_> = self.reporters.iter().chain(&self.confirmers).collect();
        match self.state {
            ProcessState::Ended => true,
            ProcessState::Listed => false,
            ProcessState::Unknown => has_witnesses || witnesses.len() >= WITNESSES_NEEDED,
        }
    }

    /// Adds what else is known of the same crash. Returns whether there is a new witness.
    pub(crate) fn merge(&mut self, other: Self) -> bool {
        // A report that was delayed makes all of it seem later than it was.
        let duration = self.span.duration().min(other.span.duration());
        let broke_at = self.span.broke_at.min(other.span.broke_at);
        self.span = AttemptSpan { sent_at: broke_at.before(duration), broke_at };
        let has_ended = other.state == ProcessState::Ended && self.state != other.state;
        if has_ended {
            self.state = ProcessState::Ended;
        }
        let has_reporter = add_names(&mut self.reporters, other.reporters);
        add_names(&mut self.confirmers, other.confirmers) || has_reporter || has_ended
    }
}

/// Returns the processes that crashed.
pub(crate) fn processes(crashes: &[Crash]) -> BTreeSet<&ServerProcess> {
    crashes.iter().map(|it| &it.server).collect()
}

/// Counts the crashes that are not explained, first those that no common cause explains, then all.
pub(crate) fn count_crashes(
    crashes: &[Crash],
    explained: &BTreeSet<&ServerProcess>,
    own: &Arc<str>,
) -> (usize, usize) {
    let open = || crashes.iter().filter(|it| !explained.contains(&it.server));
    let reporters: BTreeSet<&Arc<str>> = open().flat_map(|it| &it.reporters).collect();
    let has_witnesses = reporters.len() >= WITNESSES_NEEDED || reporters.contains(own);
    let mut open: Vec<&Crash> = open().filter(|it| it.counts(has_witnesses)).collect();
    open.sort_by_key(|it| it.span.broke_at);
    let mut apart = 0;
    let mut last_at = None;
    for crash in &open {
        let AttemptSpan { sent_at, broke_at } = crash.span;
        let is_apart = |it: Moment| broke_at.since(it) >= COMMON_CAUSE_TIME || sent_at > it;
        if last_at.is_none_or(is_apart) {
            apart += 1;
            last_at = Some(broke_at);
        }
    }
    (apart, open.len())
}

/// Adds names up to the maximum number. Returns whether there is a new one.
fn add_names(names: &mut Vec<Arc<str>>, others: Vec<Arc<str>>) -> bool {
    let before = names.len();
    for name in others {
        if names.len() < WITNESSES_MAX && !names.contains(&name) {
            names.push(name);
        }
    }
    names.len() > before
}
