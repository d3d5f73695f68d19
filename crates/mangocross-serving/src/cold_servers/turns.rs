//! The times at which an entry VM may send to a cold server.

use std::time::Duration;

use crate::Moment;

/// Time for which a rare turn that nobody takes stays open. Turns that stayed open would add up over
/// all entry VMs.
const RARE_TURN_HOLD: Duration = Duration::from_millis(100);

/// How often an entry VM may send to a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pace {
    /// Once in this time. A turn stays open: those of all entry VMs together are the planned requests
    /// of a span.
    Regular(Duration),
    /// Once in this time, while a turn is open.
    Rare(Duration),
}

impl Pace {
    fn interval(self) -> Duration {
        match self {
            Self::Regular(it) | Self::Rare(it) => it,
        }
    }
}

/// The next turn of an entry VM at a cold server.
#[derive(Debug, Clone)]
pub(super) struct Turns {
    pace: Pace,
    next_at: Moment,
    sent_at: Option<Moment>,
}

impl Turns {
    /// Starts at a random point of the first interval, so that the entry VMs do not send together.
    pub(super) fn new(pace: Pace, now: Moment, draw: f64) -> Self {
        Self { pace, next_at: now + pace.interval().mul_f64(draw), sent_at: None }
    }

    /// Changes the pace; the interval since the last request is kept in any case.
    pub(super) fn set_pace(&mut self, pace: Pace, now: Moment, draw: f64) {
        if self.pace != pace {
            let earliest = self.sent_at.map_or(now, |it| it + pace.interval());
            *self = Self { sent_at: self.sent_at, ..Self::new(pace, now, draw) };
            self.next_at = self.next_at.max(earliest);
        }
    }

    pub(super) fn is_open(&self, now: Moment) -> bool {
        let is_held = match self.pace {
            Pace::Regular(_) => true,
            Pace::Rare(_) => now.since(self.next_at) < RARE_TURN_HOLD,
        };
        self.next_at <= now && is_held
    }

    pub(super) fn was_taken_since(&self, moment: Moment) -> bool {
        self.sent_at.is_some_and(|it| it >= moment)
    }

    pub(super) fn take(&mut self, now: Moment) {
        self.sent_at = Some(now);
        self.next_at = now + self.pace.interval();
    }

    /// Closes a rare turn that nobody took.
    pub(super) fn drop_missed(&mut self, now: Moment) {
        if self.next_at <= now && !self.is_open(now) {
            self.next_at = self.next_at + self.pace.interval();
        }
    }
}
