//! Servers that are silent for a while.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Server;
use super::Store;
use super::lock;
use super::machine::Machine;

impl Server {
    /// Starts a server to which no connection succeeds.
    pub(crate) fn spawn_deaf(store: &Store, id: &str, service: &str) -> Self {
        let deaf = Arc::new(Machine::default());
        let address = deaf.listen(|_, _| {});
        deaf.set_deaf(true);
        Self::spawn_behind(store, id, service, |_| address)
    }

    /// Sets whether attempts to connect to the server remain unanswered, as if it were cut off; open
    /// connections go on.
    pub(crate) fn set_deaf(&self, is_deaf: bool) {
        self.machine.set_deaf(is_deaf);
    }

    /// Sets the time before the head of a stream is sent; everything else is answered at once.
    pub(crate) fn set_head_pause(&self, pause: Duration) {
        lock(&self.state).head_pause = pause;
    }

    /// Makes the server silent for a while: it accepts connections, but nothing is answered and no
    /// stream goes on.
    pub(crate) fn fall_silent(&self, duration: Duration) {
        lock(&self.state).silent_until = Some(Instant::now() + duration);
    }

    /// Makes the server silent for a while once a stream of it has come to an event.
    pub(crate) fn fall_silent_after(&self, event: u64, duration: Duration) {
        lock(&self.state).silence_after = Some((event, duration));
    }

    /// Waits while the server is silent.
    pub(crate) fn wait_while_silent(&self) {
        loop {
            let until = lock(&self.state).silent_until;
            let rest = until.map(|it| it.saturating_duration_since(Instant::now()));
            match rest {
                Some(rest) if !rest.is_zero() => thread::sleep(rest),
                Some(_) | None => return,
            }
        }
    }
}
