//! What a search may do.

use std::time::Duration;

use crate::Moment;

/// What kind of request a server is searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchPolicy {
    /// A resumable stream before its first event.
    StreamStart,
    /// A resumable stream whose server broke or is silent.
    StreamContinuation,
    /// A plain request that may run several times.
    Repeatable,
    /// A stream or a plain request that may run once only.
    Once,
}

/// The limits of a search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SearchLimits {
    /// Kind of the request.
    pub policy: SearchPolicy,
    /// Maximum number of attempts that may run.
    pub attempts_max: u32,
    /// Number of refusals after which no more attempts follow at once.
    pub refusals_max: u32,
    /// Maximum number of failed connections.
    pub connect_failures_max: u32,
    /// Time for which a server that refused the request is not asked again, at first.
    pub refusal_pause: Duration,
    /// Until when a request that has not been sent waits for room.
    pub admission_until: Moment,
    /// Delay until room is looked for again before `admission_until`.
    pub admission_delay: Duration,
    /// Delay until it is tried again to send the request.
    pub ask_again_delay: Duration,
}

/// The time that a search has, and whether the request may move to another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchWindow {
    /// When the request ends.
    pub deadline: Moment,
    /// When the last attempt may be sent.
    pub send_until: Moment,
    /// Whether the request may be sent to another server although one has broken or is silent.
    pub may_move: bool,
}
