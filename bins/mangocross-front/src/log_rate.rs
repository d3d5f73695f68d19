//! Bounds the log lines of one kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_serving::Moment;

/// Lines of one kind in a second; enough to follow a calm entry VM line by line.
const LINES_PER_S: u32 = 25;

#[derive(Debug)]
struct Second {
    began_at: Moment,
    lines: u32,
    left_out: u64,
}

/// Counts lines by kind.
#[derive(Debug, Default)]
pub(crate) struct LogRate {
    kinds: RefCell<HashMap<&'static str, Second>>,
}

impl LogRate {
    /// Returns whether a line may be written, and how many were left out before it.
    pub(crate) fn admit(&self, kind: &'static str, now: Moment) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let new = Second { began_at: now, lines: 0, left_out: 0 };
        let second = kinds.entry(kind).or_insert(new);
        if now.since(second.began_at) >= Duration::from_secs(1) {
            second.began_at = now;
            second.lines = 0;
        }
        if second.lines >= LINES_PER_S {
            second.left_out += 1;
            return None;
        }
        second.lines += 1;
        Some(std::mem::take(&mut second.left_out))
    }
}
