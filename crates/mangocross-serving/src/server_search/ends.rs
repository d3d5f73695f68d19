//! Why a search sends nothing, and how it ends.

/// Why the request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// All servers have been asked.
    NoServer,
    /// None of the servers that are left can be used at the moment.
    NoUsableServer,
    /// All servers are full.
    NoRoom,
    /// Other requests need what the servers can take.
    NotAdmitted,
    /// The retry budget allows no attempt at the moment.
    NoRetryLeft,
    /// Too many servers did not run the request.
    Refused,
    /// All attempts have been used.
    AttemptsUsed,
    /// The request may crash another server.
    MayNotMove,
    /// The request is known to crash servers.
    Quarantined,
    /// Too many servers could not be reached.
    Unreachable,
}

impl Obstacle {
    /// Returns whether the obstacle stays as it was found.
    pub(super) fn is_lasting(self) -> bool {
        self == Self::Quarantined
    }
}

/// How a request without an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchEnd {
    /// No server has run the request.
    NotRun(Obstacle),
    /// The request may have run, and no other attempt is made.
    Failed(Obstacle),
    /// The deadline has passed.
    TimeOver {
        /// Whether the request may have run.
        may_have_run: bool,
    },
}
