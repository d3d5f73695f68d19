//! What proves that the head of a group's incarnation has stopped.
//!
//! A member may join another group only after that. A missing entry, silence, a refused connection and
//! the passing of time prove nothing: the process may run on behind a partition, with its group whole.

use std::fmt;
use std::time::Duration;

use mangocross_types::GroupId;
use mangocross_types::Incarnation;

use crate::MemberPhase;
use crate::Membership;
use crate::Moment;

/// Added to the time after which a head that lacks a member is broken.
const STALL_MARGIN: Duration = Duration::from_millis(500);

/// What proves that the head of an incarnation of a group accepts no requests and never will again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopProof {
    /// The head has accepted an order to leave.
    Left,
    /// The head is in no group or another incarnation.
    Elsewhere,
    /// The head is broken.
    Broken,
    /// The head's server process has started again.
    Restarted,
    /// A member has been out of the incarnation for longer than the head can do without it.
    Stalled,
}

impl fmt::Display for StopProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Left => "the head has left",
            Self::Elsewhere => "the head is in no group or another one",
            Self::Broken => "the head is broken",
            Self::Restarted => "the head was restarted",
            Self::Stalled => "the head has lacked a member for too long",
        })
    }
}

/// What a server process says of itself, in its entry or in an answer.
#[derive(Debug, Clone, Copy)]
pub struct ProcessReport<'a> {
    /// Start time of the process, in milliseconds of Unix time.
    pub born_unix_ms: u64,
    /// The group that the process is a member of.
    pub membership: Option<&'a Membership>,
}

/// The reports of a server that decide where it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerReports<'a> {
    /// The entry that the platform lists, or the last one that it listed. It may be older than the
    /// answer.
    pub entry: Option<ProcessReport<'a>>,
    /// The last answer to a probe, with the accepted orders since.
    pub answer: Option<ProcessReport<'a>>,
}

/// Where a member of an incarnation of a group is, as far as its reports show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attendance {
    /// In the incarnation, in this phase.
    Present(MemberPhase),
    /// In no group or another incarnation.
    Elsewhere,
    /// Its process has been replaced by a later one, which knows nothing of the group.
    Restarted,
    /// The reports show neither.
    Unknown,
}

impl ServerReports<'_> {
    /// Returns where the process that started at `born_unix_ms` is, as seen from an incarnation that it
    /// is a member of.
    ///
    /// Incarnations of a domain increase, and a process refuses to join an earlier one than it has
    /// joined, so a report of a later incarnation is final. An entry with an earlier one, or without a
    /// group, may only be old.
    pub fn attendance(
        &self,
        born_unix_ms: u64,
        group: &GroupId,
        incarnation: Incarnation,
    ) -> Attendance {
        let reports = || [self.entry, self.answer].into_iter().flatten();
        if reports().any(|it| it.born_unix_ms > born_unix_ms) {
            return Attendance::Restarted;
        }
        let of_process = || reports().filter(|it| it.born_unix_ms == born_unix_ms);
        let is_in = |it: &Membership| it.group == *group && it.incarnation == incarnation;
        let memberships = || of_process().filter_map(|it| it.membership);
        if memberships().any(|it| it.incarnation >= incarnation && !is_in(it)) {
            return Attendance::Elsewhere;
        }
        let phases = || memberships().filter(|it| is_in(it)).map(|it| it.phase);
        if phases().any(|it| it == MemberPhase::Broken) {
            return Attendance::Present(MemberPhase::Broken);
        }
        if let Some(phase) = phases().next() {
            return Attendance::Present(phase);
        }
        match self.answer {
            Some(it) if it.born_unix_ms == born_unix_ms => Attendance::Elsewhere,
            _ => Attendance::Unknown,
        }
    }
}

/// Returns what proves that a head has stopped, if anything does.
///
/// `absent_since` is when a member was first seen to be out of the incarnation. `stall_timeout` is the
/// time after which a head that lacks a member is broken.
pub fn stop_proof(
    head: Attendance,
    absent_since: Option<Moment>,
    stall_timeout: Duration,
    now: Moment,
) -> Option<StopProof> {
    match head {
        Attendance::Restarted => return Some(StopProof::Restarted),
        Attendance::Elsewhere => return Some(StopProof::Elsewhere),
        Attendance::Present(MemberPhase::Broken) => return Some(StopProof::Broken),
        Attendance::Present(_) | Attendance::Unknown => {}
    }
    let is_broken = absent_since.is_some_and(|it| now.since(it) > stall_timeout + STALL_MARGIN);
    is_broken.then_some(StopProof::Stalled)
}
