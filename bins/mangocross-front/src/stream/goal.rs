//! What a server is searched for: the start of a stream or its continuation.

use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerSearch;
use mangocross_types::VmId;

use super::attempt::StartedStream;
use super::start::StreamStart;
use super::successor::Continuation;

/// What a server is searched for.
#[derive(Clone, Copy)]
pub(super) enum Goal<'a> {
    /// The start of a stream.
    Start(&'a StreamStart<'a>),
    /// The continuation of a stream.
    Continuation(&'a Continuation<'a>),
}

impl Goal<'_> {
    /// Returns the time that the search has.
    pub(super) fn window(self) -> SearchWindow {
        match self {
            Self::Start(it) => it.window(),
            Self::Continuation(it) => it.window(),
        }
    }

    /// Chooses a server.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(super) fn choose(self, search: &ServerSearch, now: Moment) -> Result<VmId, Obstacle> {
        match self {
            Self::Start(it) => it.choose(search, now),
            Self::Continuation(it) => it.choose(search, now),
        }
    }

    /// Returns the last event that the caller has received, and the priority of an attempt.
    pub(super) fn resumption(self) -> (Option<u64>, u8) {
        match self {
            Self::Start(it) => it.resumption(),
            Self::Continuation(it) => it.resumption(),
        }
    }

    /// Returns whether an answer may follow what the caller has received: one of another type than
    /// the stream is an error, whatever its status.
    pub(super) fn accepts(self, started: &StartedStream) -> bool {
        match self {
            Self::Start(_) => true,
            Self::Continuation(it) => it.accepts(started),
        }
    }

    /// Records that the stream was sent, and the number of attempts that may have run.
    pub(super) fn record_sent(self, vm: &VmId, runs: u32) {
        match self {
            Self::Start(it) => it.record_sent(vm),
            Self::Continuation(it) => it.record_sent(vm, runs),
        }
    }

    /// Records the number of attempts that may have run.
    pub(super) fn record_runs(self, runs: u32) {
        match self {
            Self::Start(_) => {}
            Self::Continuation(it) => it.record_runs(runs),
        }
    }

    /// Records that a server has sent the head of its answer.
    pub(super) fn record_head(self) {
        match self {
            Self::Start(it) => it.record_head(),
            Self::Continuation(_) => {}
        }
    }

    /// Records that a server is silent.
    pub(super) fn record_silence(self, vm: &VmId) {
        match self {
            Self::Start(it) => it.record_silence(vm),
            Self::Continuation(it) => it.record_silence(vm),
        }
    }

    /// Waits until a server that was asked has been silent for too long.
    pub(super) async fn wait_until_silent(self, vm: &VmId) {
        match self {
            Self::Start(it) => it.wait_until_silent(vm).await,
            Self::Continuation(it) => it.wait_until_silent(vm).await,
        }
    }

    /// Waits until a server that has sent the head of its answer sends no event for too long.
    pub(super) async fn wait_until_stalled(self, vm: &VmId) {
        match self {
            Self::Start(it) => it.wait_until_stalled(vm).await,
            Self::Continuation(it) => it.wait_until_silent(vm).await,
        }
    }
}
