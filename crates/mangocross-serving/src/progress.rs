//! Finds groups whose streams all stand still.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Silence of two or more streams after which a group is suspect.
///
/// Engines write an event every few token steps, and a pause for a long prompt
/// takes under 120 ms.
const SILENCE_OF_MANY: Duration = Duration::from_millis(450);
/// Silence of a single stream after which its group is suspect.
const SILENCE_OF_ONE: Duration = Duration::from_millis(800);
/// Streams that count as many.
const MANY_STREAMS: u32 = 3;

#[derive(Debug)]
struct Progress {
    streams: u32,
    last_sign: Moment,
}

/// When each group last showed a sign of life to this entry VM.
#[derive(Debug, Default)]
pub struct ProgressTable {
    groups: HashMap<VmId, Progress>,
}

impl ProgressTable {
    /// Records a stream that was sent to a head.
    pub fn started(&mut self, head: &VmId, now: Moment) {
        let first = Progress { streams: 0, last_sign: now };
        let group = self.groups.entry(head.clone()).or_insert(first);
        if group.streams == 0 {
            group.last_sign = now;
        }
        group.streams += 1;
    }

    /// Records bytes from a head.
    pub fn sign(&mut self, head: &VmId, now: Moment) {
        if let Some(group) = self.groups.get_mut(head) {
            group.last_sign = now;
        }
    }

    /// Records the end of a stream.
    pub fn ended(&mut self, head: &VmId) {
        if let Some(group) = self.groups.get_mut(head) {
            group.streams = group.streams.saturating_sub(1);
            if group.streams == 0 {
                self.groups.remove(head);
            }
        }
    }

    /// Returns the heads whose streams all have been silent for too long.
    pub fn suspects(&self, now: Moment) -> impl Iterator<Item = &VmId> {
        let is_suspect = move |it: &Progress| {
            let bound = if it.streams >= MANY_STREAMS { SILENCE_OF_MANY } else { SILENCE_OF_ONE };
            it.streams > 0 && now.since(it.last_sign) > bound
        };
        self.groups.iter().filter(move |(_, it)| is_suspect(it)).map(|(vm, _)| vm)
    }
}
