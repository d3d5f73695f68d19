//! What shows that the head of a group's incarnation has stopped.

use std::fmt;

/// What shows that the head of an incarnation of a group accepts no requests and never will again.
///
/// Until one of these is there, no member of the incarnation may join another group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopProof {
    /// The head has accepted an order to leave.
    Left,
    /// The head reports no group or another incarnation.
    Elsewhere,
    /// The head reports that it is broken.
    Broken,
    /// The head's server process has started again.
    Restarted,
    /// A member has been out of the incarnation for longer than the head can do without it.
    Stalled,
    /// The head is not listed and refuses connections.
    UnlistedAndRefusing,
    /// For longer than the head can do without a member, none has been listed or has responded.
    NoMemberKnown,
}

impl fmt::Display for StopProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Left => "the head has left",
            Self::Elsewhere => "the head is in no group or another one",
            Self::Broken => "the head is broken",
            Self::Restarted => "the head was restarted",
            Self::Stalled => "the head has lacked a member for too long",
            Self::UnlistedAndRefusing => "the head is not listed and refuses connections",
            Self::NoMemberKnown => "no other member was listed or responded",
        })
    }
}
