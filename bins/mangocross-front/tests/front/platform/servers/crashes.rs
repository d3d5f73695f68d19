//! Crashes of servers, also because of a part of prompts or a whole request.

use std::thread;
use std::time::Duration;

use super::Server;
use crate::platform::Request;
use crate::platform::lock;

/// Time from a crash until the server is back, unless a test sets another.
const RESTART_TIME: Duration = Duration::from_millis(1000);

impl Server {
    /// Makes requests with this shared part of their prompts crash the server when it begins to
    /// write the answer.
    pub(crate) fn set_crashing_part(&self, part: &str) {
        lock(&self.state).crashing_part = Some(part.to_owned());
    }

    /// Makes requests with this path and body crash the server when it runs them.
    pub(crate) fn set_crashing_request(&self, target: &str, body: &str) {
        lock(&self.state).crashing_request = Some((target.to_owned(), body.to_owned()));
    }

    /// Sets the time from a crash until the server is back.
    pub(crate) fn set_restart_time(&self, time: Duration) {
        lock(&self.state).restart_time = Some(time);
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
            let restart_time = lock(&server.state).restart_time;
            thread::sleep(restart_time.unwrap_or(RESTART_TIME));
            server.restart();
            server.store.note_down(&server.id, false);
            server.machine.start();
        });
    }

    /// Returns how often the server crashed.
    pub(crate) fn crashes(&self) -> u32 {
        lock(&self.state).crashes
    }

    /// Returns the number of requests that reached the server and crash it.
    pub(crate) fn crashing_requests(&self) -> usize {
        lock(&self.state).crashing_requests
    }

    /// Returns whether a request crashes the server, itself or by a part of its prompt.
    pub(super) fn is_crashed_by(&self, request: &Request) -> bool {
        let is_it = |it: &(String, String)| {
            it.0 == request.target && it.1.as_bytes() == request.body.as_slice()
        };
        let is_crashing = lock(&self.state).crashing_request.as_ref().is_some_and(is_it);
        is_crashing || self.has_crashing_part(request)
    }

    /// Returns whether the prompt of a request has the crashing part, except as its last.
    fn has_crashing_part(&self, request: &Request) -> bool {
        let parts = request.header("Prompt-Prefix").unwrap_or_default();
        let shared = parts.rsplit_once(',').map_or("", |it| it.0);
        let state = lock(&self.state);
        let is_it = |it: &str| it.split(':').next() == state.crashing_part.as_deref();
        shared.split(',').any(is_it)
    }
}
