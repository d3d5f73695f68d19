//! Finds groups whose streams all are stalled.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Silence of many streams after which a group is suspect.
///
/// Engines write an event every few token steps, and a pause for long prompts
/// takes under 250 ms.
const MANY_STREAMS_SILENCE_MAX: Duration = Duration::from_millis(350);
/// Silence of few streams after which their group is suspect.
const FEW_STREAMS_SILENCE_MAX: Duration = Duration::from_millis(600);
/// Silence after which a group is suspect though none of its streams has begun.
const FIRST_EVENT_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Age after which progress tells nothing more.
const PROGRESS_AGE_MAX: Duration = Duration::from_secs(1);
/// Streams that count as many.
const MANY_STREAMS: u32 = 3;

#[derive(Debug)]
struct Progress {
    /// Streams that have not ended.
    streams: u32,
    /// Those of them whose first event came.
    begun: u32,
    /// Start of the first stream, or the last progress where that was later.
    silent_since: Moment,
}

/// When each group last showed a progress.
///
/// Signs that other entry VMs saw count as well, so that a group that goes on
/// with their streams is not suspect.
#[derive(Debug, Default)]
pub struct ProgressTable {
    groups: HashMap<VmId, Progress>,
    /// Last progress of all heads, those without own streams included.
    latest: HashMap<VmId, Moment>,
}

impl ProgressTable {
    /// Records a stream that was sent to a head.
    pub fn record_start(&mut self, head: &VmId, now: Moment) {
        let first = Progress { streams: 0, begun: 0, silent_since: now };
        let group = self.groups.entry(head.clone()).or_insert(first);
        group.streams += 1;
    }

    /// Records the first event of a stream.
    pub fn record_first_event(&mut self, head: &VmId) {
        if let Some(group) = self.groups.get_mut(head) {
            group.begun += 1;
        }
    }

    /// Records bytes from a head.
    pub fn record_progress(&mut self, head: &VmId, at: Moment) {
        let latest = self.latest.entry(head.clone()).or_insert(at);
        *latest = at.max(*latest);
        if let Some(group) = self.groups.get_mut(head) {
            group.silent_since = group.silent_since.max(at);
        }
    }

    /// Records the end of a stream.
    pub fn record_end(&mut self, head: &VmId, has_begun: bool) {
        if let Some(group) = self.groups.get_mut(head) {
            group.streams = group.streams.saturating_sub(1);
            group.begun = group.begun.saturating_sub(u32::from(has_begun));
            if group.streams == 0 {
                self.groups.remove(head);
            }
        }
    }

    /// Returns the heads that progressed lately, and the time since.
    pub fn latest(&self, now: Moment) -> impl Iterator<Item = (&VmId, Duration)> {
        self.latest.iter().map(move |(vm, at)| (vm, now.since(*at)))
    }

    /// Forgets old progress.
    pub fn expire(&mut self, now: Moment) {
        self.latest.retain(|_, at| now.since(*at) < PROGRESS_AGE_MAX);
    }

    /// Returns the heads whose streams all have been silent for too long.
    pub fn suspects(&self, now: Moment) -> impl Iterator<Item = &VmId> {
        let is_suspect = move |it: &Progress| {
            let bound = match it.begun {
                0 => FIRST_EVENT_SILENCE_MAX,
                begun if begun < MANY_STREAMS => FEW_STREAMS_SILENCE_MAX,
                _ => MANY_STREAMS_SILENCE_MAX,
            };
            it.streams > 0 && now.since(it.silent_since) > bound
        };
        self.groups.iter().filter(move |(_, it)| is_suspect(it)).map(|(vm, _)| vm)
    }
}
