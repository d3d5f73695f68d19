//! What backend servers say of themselves in their answers to this entry VM.

use std::collections::HashMap;
use std::time::Duration;

use mangocross_types::VmId;

use crate::BackendServer;
use crate::Moment;

/// Time for which a notice is kept after its server is no longer listed, since an older entry may
/// come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Longest pause that is kept.
const PAUSE_MAX: Duration = Duration::from_secs(86_400);

/// What one answer says of the server that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this entry VM.
    pub pause: Option<Duration>,
}

/// News in a notice, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeChange {
    /// The notice tells nothing that is not known.
    None,
    /// The server is paused for longer than before.
    Paused,
    /// The server is leaving.
    Leaving,
}

/// What is known of one life of a server.
#[derive(Debug, Clone, Copy)]
struct KnownNotice {
    born_unix_ms: u64,
    is_leaving: bool,
    paused_until: Moment,
    updated_at: Moment,
}

/// Decides which servers get no requests because of what their answers said.
///
/// A notice holds for one life of a server, which its start time identifies. Entries of the same
/// life, or of an earlier one, do not undo it, however new they are.
#[derive(Debug, Default)]
pub struct ServerNotices {
    servers: HashMap<VmId, KnownNotice>,
}

impl ServerNotices {
    /// Records the notice in an answer of a server.
    ///
    /// `born_unix_ms` is the start time that was known when the request was sent.
    pub fn record(
        &mut self,
        vm: &VmId,
        born_unix_ms: u64,
        notice: ServerNotice,
        now: Moment,
    ) -> NoticeChange {
        let pause = notice.pause.unwrap_or_default().min(PAUSE_MAX);
        if !notice.is_leaving && pause.is_zero() {
            return NoticeChange::None;
        }
        let new =
            KnownNotice { born_unix_ms, is_leaving: false, paused_until: now, updated_at: now };
        let known = self.servers.entry(vm.clone()).or_insert(new);
        if known.born_unix_ms > born_unix_ms {
            return NoticeChange::None;
        }
        if known.born_unix_ms < born_unix_ms {
            *known = new;
        }
        let was_leaving = known.is_leaving;
        let was_paused_until = known.paused_until;
        known.is_leaving |= notice.is_leaving;
        if !pause.is_zero() {
            known.paused_until = known.paused_until.max(now + pause);
        }
        known.updated_at = now;
        if known.is_leaving && !was_leaving {
            NoticeChange::Leaving
        } else if known.paused_until > was_paused_until {
            NoticeChange::Paused
        } else {
            NoticeChange::None
        }
    }

    /// Returns the notices that concern a server as it is listed.
    fn of(&self, server: &BackendServer) -> Option<&KnownNotice> {
        let known = self.servers.get(&server.vm)?;
        (server.engine.born_unix_ms <= known.born_unix_ms).then_some(known)
    }

    /// Returns whether a server said that it is leaving.
    pub fn is_leaving(&self, server: &BackendServer) -> bool {
        self.of(server).is_some_and(|it| it.is_leaving)
    }

    /// Returns the rest of the time for which a server wants no requests, if it is not over.
    pub fn pause_left(&self, server: &BackendServer, now: Moment) -> Option<Duration> {
        let left = self.of(server)?.paused_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a server may get requests from this entry VM.
    pub fn allows_requests(&self, server: &BackendServer, now: Moment) -> bool {
        !self.is_leaving(server) && self.pause_left(server, now).is_none()
    }

    /// Returns how long it takes until the first of several servers wants requests again.
    ///
    /// `None` if one of them does already, or if there are none; leaving servers do not count.
    pub fn first_return<'a>(
        &self,
        servers: impl Iterator<Item = &'a BackendServer>,
        now: Moment,
    ) -> Option<Duration> {
        let staying = servers.filter(|it| !self.is_leaving(it));
        let pauses = staying.map(|it| self.pause_left(it, now).unwrap_or_default());
        pauses.min().filter(|it| !it.is_zero())
    }

    /// Removes notices that no longer matter: those of servers that are not listed and have said
    /// nothing for long, and pauses that are over.
    pub fn expire(&mut self, now: Moment, is_listed: impl Fn(&VmId) -> bool) {
        self.servers.retain(|vm, it| {
            let is_kept = is_listed(vm) || now.since(it.updated_at) < UNLISTED_RETENTION;
            now < it.paused_until || (it.is_leaving && is_kept)
        });
    }
}
