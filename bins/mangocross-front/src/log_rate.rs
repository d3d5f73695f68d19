//! Bounds the log lines of one kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_serving::Moment;

/// Lines of one kind in a second; enough to follow a calm entry VM line by line.
const LINES_PER_SECOND_MAX: u32 = 25;

#[derive(Debug)]
struct Window {
    began_at: Moment,
    lines: u32,
    left_out: u64,
}

/// Counts lines by kind.
#[derive(Debug, Default)]
pub(crate) struct LogRate {
    kinds: RefCell<HashMap<&'static str, Window>>,
}

impl LogRate {
    /// Returns whether a line may be written, and how many were left out before it.
    pub(crate) fn allow(&self, kind: &'static str, now: Moment) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let new = Window { began_at: now, lines: 0, left_out: 0 };
        let window = kinds.entry(kind).or_insert(new);
        if now.since(window.began_at) >= Duration::from_secs(1) {
            window.began_at = now;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_SECOND_MAX {
            window.left_out += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}
