//! Broken answers whose servers have not been shown to have crashed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::AttemptSpan;
use crate::CrashCause;
use crate::Moment;
use crate::ServerProcess;

/// Times after a break at which to look again whether its server has crashed. The process that
/// listens may outlive the one that crashed, and ends when it notices.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::from_millis(40),
    Duration::from_millis(150),
    Duration::from_millis(400),
    Duration::from_millis(1000),
    Duration::from_millis(3000),
];
/// Maximum number of processes that are watched.
const PROCESSES_MAX: usize = 64;
/// Maximum number of breaks kept for a process.
const BREAKS_PER_PROCESS_MAX: usize = 32;

/// An answer that broke before it was whole, of a stream when it had hardly begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenStart {
    /// Id of the request.
    pub request: Arc<str>,
    /// Deliveries of events before the break.
    pub events: u32,
    /// What may have crashed the server.
    pub causes: Vec<CrashCause>,
    /// When it was sent and when it broke.
    pub span: AttemptSpan,
}

/// Answers that broke when they had hardly begun, by the process that sent them, for as long as
/// its crash may still be found out.
///
/// # Examples
///
/// ```
/// # use std::time::Duration;
/// # use mangocross_serving::{AttemptSpan, BrokenStart, CrashCause, Moment, ServerProcess, UnexplainedBreaks};
/// let process = ServerProcess { vm: "s1".parse()?, born_unix_ms: 7 };
/// let at = Moment::after_boot(Duration::from_secs(60));
/// let mut breaks = UnexplainedBreaks::default();
/// let broken = BrokenStart {
///     request: "r1".into(),
///     events: 0,
///     causes: vec![CrashCause::Part("a1".parse()?)],
///     span: AttemptSpan { sent_at: at, broke_at: at },
/// };
/// assert!(breaks.record(&process, broken));
/// assert!(breaks.next_check(&process, at).is_some_and(|it| it > at));
/// assert_eq!(breaks.take(&process, at).len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct UnexplainedBreaks {
    by_process: BTreeMap<ServerProcess, Vec<BrokenStart>>,
}

impl UnexplainedBreaks {
    /// Records a break. Returns whether the process is to be watched from now on.
    pub fn record(&mut self, process: &ServerProcess, broken: BrokenStart) -> bool {
        if let Some(known) = self.by_process.get_mut(process) {
            if known.len() >= BREAKS_PER_PROCESS_MAX {
                known.remove(0);
            }
            known.push(broken);
            return false;
        }
        let has_room = self.by_process.len() < PROCESSES_MAX;
        if has_room {
            self.by_process.insert(process.clone(), vec![broken]);
        }
        has_room
    }

    /// Returns when to look at a process next; `None` if there is no reason to any more.
    pub fn next_check(&self, process: &ServerProcess, now: Moment) -> Option<Moment> {
        let last_at = self.by_process.get(process)?.iter().map(|it| it.span.broke_at).max()?;
        CHECK_DELAYS.iter().map(|it| last_at + *it).find(|it| *it > now)
    }

    /// Forgets a process and returns those of its breaks that a crash found now explains.
    pub fn take(&mut self, process: &ServerProcess, now: Moment) -> Vec<BrokenStart> {
        let window = CHECK_DELAYS.last().copied().unwrap_or_default();
        let mut breaks = self.by_process.remove(process).unwrap_or_default();
        breaks.retain(|it| now.since(it.span.broke_at) <= window);
        breaks
    }
}
