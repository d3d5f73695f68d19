//! Crashes of servers, also because of a part of prompts.

use std::thread;
use std::time::Duration;

use super::Server;
use crate::platform::Request;
use crate::platform::lock;

/// Time from a crash until the server is back.
const RESTART_TIME: Duration = Duration::from_millis(1000);

impl Server {
    /// Makes requests with this shared part of their prompts crash the server when it begins to
    /// write the answer.
    pub(crate) fn set_crashing_part(&self, part: &str) {
        lock(&self.state).crashing_part = Some(part.to_owned());
    }

    /// Sets for how long the server still accepts connections after a crash.
    pub(crate) fn set_listens_on(&self, duration: Duration) {
        self.machine.set_listens_on(duration);
    }

    /// Ends all connections, and starts the server as a new process after a while.
    pub(crate) fn crash(&self) {
        if !self.machine.crash() {
            return;
        }
        lock(&self.state).crashes += 1;
        self.store.note_down(&self.id, true);
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_TIME);
            server.restart();
            server.store.note_down(&server.id, false);
            server.machine.start();
        });
    }

    /// Returns how often the server crashed.
    pub(crate) fn crashes(&self) -> u32 {
        lock(&self.state).crashes
    }

    /// Returns the number of requests with the crashing part that reached the server.
    pub(crate) fn crashing_requests(&self) -> usize {
        lock(&self.state).crashing_requests
    }

    /// Returns whether the prompt of a request has the crashing part, except as its last.
    pub(super) fn has_crashing_part(&self, request: &Request) -> bool {
        let parts = request.header("Prompt-Prefix").unwrap_or_default();
        let shared = parts.rsplit_once(',').map_or("", |it| it.0);
        let state = lock(&self.state);
        let is_it = |it: &str| it.split(':').next() == state.crashing_part.as_deref();
        shared.split(',').any(is_it)
    }
}
