//! Splits an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum number of bytes buffered for an incomplete event.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// The end of an event was not found within 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Forwards only complete events and tracks the id of the last one.
///
/// If a server stops in the middle of an event, another one resumes after the last
/// complete event, so that a partial event never reaches the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, or for a new stream
    /// if it is `None`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event, before another server resumes the stream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends data and returns the events that it completes.
    ///
    /// Events with an id up to the last one are skipped.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than 1 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = id.or(self.last_id);
            complete.extend_from_slice(&event);
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(EventTooLong);
        }
        Ok(complete.freeze())
    }
}

/// Returns the length of the first event, including its blank line.
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
