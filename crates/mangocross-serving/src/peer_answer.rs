//! What the answer of another entry VM, to which a request was passed on, may become for the caller.

use std::fmt;
use std::str::FromStr;

use crate::AnswerFacts;
use crate::AnswerVerdict;
use crate::UnusableAnswer;

/// Beginning of the names of headers that only entry VMs send, to each other.
pub const ENTRY_VM_HEADER_PREFIX: &str = "mangocross-";

/// Whose an answer is that one entry VM gives to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAuthor {
    /// A backend server's, which the entry VM has judged.
    Server,
    /// The entry VM's own; no server has run the request.
    OwnNotRun,
    /// The entry VM's own; it reaches no servers, and none has run the request.
    OwnCutOff,
    /// The entry VM's own; a server may have run the request.
    OwnUnknown,
}

impl fmt::Display for AnswerAuthor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Server => "server",
            Self::OwnNotRun => "not-run",
            Self::OwnCutOff => "cut-off",
            Self::OwnUnknown => "unknown",
        })
    }
}

/// The text names no author.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownAuthor;

impl FromStr for AnswerAuthor {
    type Err = UnknownAuthor;

    fn from_str(text: &str) -> Result<Self, UnknownAuthor> {
        let all = [Self::Server, Self::OwnNotRun, Self::OwnCutOff, Self::OwnUnknown];
        all.into_iter().find(|it| it.to_string() == text).ok_or(UnknownAuthor)
    }
}

/// What comes of passing a request on to another entry VM that has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerVerdict {
    /// Its answer is the caller's.
    Answer,
    /// It reaches no servers either: another one is asked.
    CutOff,
    /// It knows another configuration than the VM that passed the request on: another one is asked.
    OtherConfiguration,
    /// The request may have run, and nothing of the answer is passed on.
    Unusable(UnusableAnswer),
}

impl AnswerFacts {
    /// Judges the answer of another entry VM; `author` is what its mark says, if it has one.
    ///
    /// Only the mark tells that the request has not run: a server may answer with any status and any
    /// header. An earlier build sets none, so what it says of itself cannot be told from a server's
    /// failure.
    pub fn peer_verdict(&self, author: Option<AnswerAuthor>) -> PeerVerdict {
        match (author, self.status) {
            (Some(AnswerAuthor::OwnCutOff), _) => PeerVerdict::CutOff,
            // The VM that passed the request on has found its route and its key.
            (Some(AnswerAuthor::OwnNotRun), 401 | 404) => PeerVerdict::OtherConfiguration,
            (Some(AnswerAuthor::OwnNotRun), 300..600) => PeerVerdict::Answer,
            (None, 401 | 403 | 404) if !self.is_signed => {
                PeerVerdict::Unusable(UnusableAnswer::Unmarked)
            }
            _ => match self.verdict() {
                AnswerVerdict::Success | AnswerVerdict::Failure => PeerVerdict::Answer,
                AnswerVerdict::NotRun => PeerVerdict::Unusable(UnusableAnswer::NotRunNotStated),
                AnswerVerdict::Unusable(it) => PeerVerdict::Unusable(it),
            },
        }
    }
}
