//! Detects groups whose streams have all stalled.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Maximum silence of a group with at least [`MANY_STREAMS`] begun streams before it is suspect.
///
/// Engines write an event every few token steps, and a pause for long prompts
/// takes less than 250 ms.
const MANY_STREAMS_SILENCE_MAX: Duration = Duration::from_millis(350);
/// Maximum silence of a group with fewer begun streams before it is suspect.
const FEW_STREAMS_SILENCE_MAX: Duration = Duration::from_millis(600);
/// Maximum silence of a group before it is suspect if none of its streams has begun.
const FIRST_EVENT_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Age after which progress records are removed.
const PROGRESS_AGE_MAX: Duration = Duration::from_secs(1);
/// Number of begun streams from which the shorter bound applies.
const MANY_STREAMS: u32 = 3;

#[derive(Debug)]
struct Progress {
    /// Streams of this entry VM in progress, with or without a first event.
    streams: u32,
    /// Streams in progress whose first event has arrived.
    begun: u32,
    /// Start of the first stream, or the last progress if that is later.
    silent_since: Moment,
}

/// Tracks when the streams of each group last progressed.
///
/// Progress observed by other entry VMs counts as well, so that a group that
/// serves their streams is not suspect.
#[derive(Debug, Default)]
pub struct ProgressTable {
    groups: HashMap<VmId, Progress>,
    /// Last progress of each head, including heads without streams of this entry VM.
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

    /// Records that data arrived from a head.
    pub fn record_progress(&mut self, head: &VmId, at: Moment) {
        let latest = self.latest.entry(head.clone()).or_insert(at);
        *latest = at.max(*latest);
        if let Some(group) = self.groups.get_mut(head) {
            group.silent_since = group.silent_since.max(at);
        }
    }

    /// Records the end of a stream; `has_begun` tells whether its first event arrived.
    pub fn record_end(&mut self, head: &VmId, has_begun: bool) {
        if let Some(group) = self.groups.get_mut(head) {
            group.streams = group.streams.saturating_sub(1);
            group.begun = group.begun.saturating_sub(u32::from(has_begun));
            if group.streams == 0 {
                self.groups.remove(head);
            }
        }
    }

    /// Returns the heads with recorded progress, and the time since then.
    pub fn latest(&self, now: Moment) -> impl Iterator<Item = (&VmId, Duration)> {
        self.latest.iter().map(move |(vm, at)| (vm, now.since(*at)))
    }

    /// Returns whether streams of a head progressed too recently for its group to be stalled.
    pub fn is_progressing(&self, head: &VmId, now: Moment) -> bool {
        self.latest.get(head).is_some_and(|at| now.since(*at) < MANY_STREAMS_SILENCE_MAX)
    }

    /// Removes progress records that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.latest.retain(|_, at| now.since(*at) < PROGRESS_AGE_MAX);
    }

    /// Returns the heads whose streams have all been silent for too long.
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
