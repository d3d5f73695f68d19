//! Servers that say that they are cold, and servers of other zones.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use super::super::Store;
use super::super::lock;
use super::Server;
use super::State;

/// How a server says that it is cold.
#[derive(Debug, Default)]
pub(super) struct Coldness {
    until: Option<Instant>,
    is_in_entry: bool,
    is_in_answers: bool,
    /// Start time in the entry, instead of the usual one.
    born_unix_ms: Option<u64>,
}

impl Coldness {
    fn left_ms(&self) -> Option<u128> {
        let left = self.until?.checked_duration_since(Instant::now())?;
        Some(left.as_millis())
    }

    /// Adds what the entry says to the rest of it.
    pub(super) fn add_to(&self, status: &mut Value) {
        if let Some(left_ms) = self.left_ms().filter(|_| self.is_in_entry) {
            status["cold_remaining_ms"] = json!(left_ms as u64);
        }
        if let Some(born_unix_ms) = self.born_unix_ms {
            status["born"] = json!(born_unix_ms);
        }
    }

    /// Returns the header of answers.
    pub(super) fn header(&self) -> Option<String> {
        let left_ms = self.left_ms().filter(|_| self.is_in_answers)?;
        Some(format!("Cold-Ms: {left_ms}\r\n"))
    }
}

impl Server {
    /// Starts a server that is cold for a while, which its first entry says.
    pub(crate) fn spawn_cold(store: &Store, id: &str, service: &str, time: Duration) -> Self {
        let mut state = State::default();
        (state.cold.until, state.cold.is_in_entry) = (Some(Instant::now() + time), true);
        Self::spawn_in_state(store, id, service, |it| it, state)
    }

    /// Makes the server cold for a while, which its entry says.
    pub(crate) fn set_cold_in_entry(&self, time: Duration) {
        let mut state = lock(&self.state);
        (state.cold.until, state.cold.is_in_entry) = (Some(Instant::now() + time), true);
        self.publish_state(&state);
    }

    /// Makes the server cold for a while, which only its answers say.
    pub(crate) fn set_cold_in_answers(&self, time: Duration) {
        let mut state = lock(&self.state);
        (state.cold.until, state.cold.is_in_answers) = (Some(Instant::now() + time), true);
    }

    /// Makes a new process of the server start now, which does not say that it is cold.
    pub(crate) fn start_now(&self) {
        let mut state = lock(&self.state);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        state.cold.born_unix_ms = Some(unix_time.as_millis() as u64);
        self.publish_state(&state);
    }
    /// Moves the server to another zone.
    pub(crate) fn set_zone(&self, zone: &str) {
        let mut state = lock(&self.state);
        zone.clone_into(&mut state.zone);
        self.publish_state(&state);
    }
}
