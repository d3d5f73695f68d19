//! Cuts an event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Most bytes of one event that are kept while it is incomplete.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// An event could not be delimited within [`EVENT_BYTES_MAX`] bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Passes on whole events only and remembers the id of the last one.
///
/// A server may stop in the middle of an event. Another one then goes on after
/// the last whole event, so a part of an event never reaches the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Returns a splitter for a stream that goes on after an event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream stands in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event, before another server goes on.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes and returns the whole events that they complete.
    ///
    /// Events that do not follow the last one are left out.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than 1 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = id.or(self.last_id);
            whole.extend_from_slice(&event);
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(EventTooLong);
        }
        Ok(whole.freeze())
    }
}

/// Returns the length of the first event with its blank line.
fn event_end(data: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in data.iter().enumerate() {
        if *byte == b'\n' {
            let line = &data[line_start..at];
            if (line.is_empty() || line == b"\r") && line_start > 0 {
                return Some(at + 1);
            }
            line_start = at + 1;
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
