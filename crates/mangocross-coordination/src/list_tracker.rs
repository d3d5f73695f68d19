//! Which coordinators read the platform's list of VMs and which fetch its changes from peers.
//!
//! The list is long and rarely changes. A few coordinators of each availability zone read it. The
//! others learn from their peers which list is the newest, with its age, and fetch the changes from
//! a peer that holds it. A coordinator whose list has not been confirmed for a while reads it
//! itself.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::util::short_hash;

/// Hash of a list's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ListHash(pub u64);

impl ListHash {
    /// Returns the hash of a list's text.
    pub fn of(text: &str) -> Self {
        Self(short_hash(text))
    }
}

/// What a coordinator does next to obtain the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListStep {
    /// Keep the list held, which is the newest.
    Keep,
    /// Read the platform's list.
    Read,
    /// Fetch the changes from this coordinator.
    Fetch(SocketAddr),
}

/// Tracks which list is held here and which lists other coordinators hold.
#[derive(Debug, Clone, Default)]
pub struct ListTracker {
    held: Option<Confirmation>,
    /// The newest confirmation of another list than the one held.
    other: Option<(Confirmation, SocketAddr)>,
}

/// Confirmation that a list was the platform's at `confirmed_at`.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    list: ListHash,
    confirmed_at: Instant,
}

impl ListTracker {
    /// Records that a list is held here that was the platform's at `confirmed_at`.
    pub fn record_held(&mut self, list: ListHash, confirmed_at: Instant) {
        if self.held.is_none_or(|it| it.confirmed_at <= confirmed_at) {
            self.held = Some(Confirmation { list, confirmed_at });
        }
        self.other = self.other.filter(|(it, _)| it.list != list && it.confirmed_at > confirmed_at);
    }

    /// Records that a coordinator polled at `sent_at` held a list of age `age`.
    ///
    /// The age counts from the time of the poll, so that network latency never makes it younger.
    pub fn record_peer(
        &mut self,
        from: SocketAddr,
        list: ListHash,
        age: Duration,
        sent_at: Instant,
    ) {
        let Some(confirmed_at) = sent_at.checked_sub(age) else { return };
        match &mut self.held {
            Some(held) if held.list == list => {
                held.confirmed_at = held.confirmed_at.max(confirmed_at)
            }
            _ => {
                if self.other.is_none_or(|(it, _)| it.confirmed_at < confirmed_at) {
                    self.other = Some((Confirmation { list, confirmed_at }, from));
                }
            }
        }
    }

    /// Returns the list held and its age.
    pub fn held(&self, now: Instant) -> Option<(ListHash, Duration)> {
        self.held.map(|it| (it.list, now.saturating_duration_since(it.confirmed_at)))
    }

    /// Returns how to obtain the newest list; at the age `limit` any coordinator reads it again.
    pub fn next_step(&self, is_reader: bool, limit: Duration, now: Instant) -> ListStep {
        let Some(held) = self.held else { return ListStep::Read };
        let newer = self.other.filter(|(it, _)| it.confirmed_at > held.confirmed_at);
        match newer {
            _ if is_reader => ListStep::Read,
            Some((_, from)) => ListStep::Fetch(from),
            None if now.saturating_duration_since(held.confirmed_at) >= limit => ListStep::Read,
            None => ListStep::Keep,
        }
    }
}
