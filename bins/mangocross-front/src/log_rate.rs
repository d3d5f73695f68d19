//! Limits the rate of log lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use mangocross_serving::Moment;

/// Maximum number of log lines of a kind per second; enough to log each request of an entry VM
/// under light load.
const LINES_PER_SECOND_MAX: u32 = 25;

#[derive(Debug)]
struct Window {
    began_at: Moment,
    lines: u32,
    left_out: u64,
}

/// Counts log lines by kind.
#[derive(Debug, Default)]
pub(crate) struct LogRate {
    kinds: RefCell<HashMap<&'static str, Window>>,
}

impl LogRate {
    /// Returns the number of lines suppressed before this one, or `None` if it exceeds the limit.
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
