//! Why a claim could not be made.

/// Why a claim could not be made; the attempt must not send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// The store does not answer, or reports that the call had no effect.
    StoreUnavailable,
    /// The store's answer was lost and could not be read back.
    AnswerLost,
    /// Too many entry VMs write the same shard.
    Contended,
    /// Too many operations are open in this process.
    Overloaded,
    /// The claim was not made in time.
    TimedOut,
}
