//! Splits an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum number of bytes buffered for an incomplete event.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// The end of an event was not found within 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Events that a piece of data completed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as the server sent them, without those that were already forwarded.
    pub data: Bytes,
    /// Whether an event among them has data. Comments and empty events are no progress of the
    /// answer.
    pub has_content: bool,
}

/// Forwards only complete events and tracks the id of the last one.
///
/// If a server stops in the middle of an event, another one resumes after the last
/// complete event, so that a partial event never reaches the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Start of the first line in `partial` that has no end yet.
    line_start: usize,
    /// Length of the part of `partial` that has been searched for the end of that line.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, or for a new stream
    /// if it is `None`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
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
        (self.line_start, self.searched) = (0, 0);
    }

    /// Appends data and returns the events that it completes.
    ///
    /// Events with an id up to the last one are skipped.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than 1 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<CompleteEvents, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        let mut has_content = false;
        while let Some(end) = self.find_event_end() {
            let event = self.partial.split_to(end);
            (self.line_start, self.searched) = (0, 0);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = id.or(self.last_id);
            has_content |= has_data(&event);
            complete.extend_from_slice(&event);
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(EventTooLong);
        }
        Ok(CompleteEvents { data: complete.freeze(), has_content })
    }

    /// Returns the length of the first event, including its blank line.
    ///
    /// The search goes on where the last one ended, so that each byte is searched once however
    /// small the pieces are.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(length) = self.partial[self.searched..].iter().position(|it| *it == b'\n') {
            let end = self.searched + length;
            let line = &self.partial[self.line_start..end];
            if (line.is_empty() || line == b"\r") && self.line_start > 0 {
                return Some(end + 1);
            }
            self.line_start = end + 1;
            self.searched = end + 1;
        }
        self.searched = self.partial.len();
        None
    }
}

fn has_data(event: &[u8]) -> bool {
    event.split(|it| *it == b'\n').any(|line| {
        let value = line.strip_prefix(b"data:").unwrap_or_default();
        value.iter().any(|it| !it.is_ascii_whitespace())
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
