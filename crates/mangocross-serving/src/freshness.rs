//! Freshness of the configuration that is in use.

use std::time::Duration;

use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::missing_servers::REAPPEARANCE_TIME;

/// Subtracted from the time within which a revoked API key must be refused.
const KEY_REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// The era of a store that has never come back from an older copy.
const FIRST_ERA: StoreEra = StoreEra(1);

/// Tracks when the configuration in use was last confirmed to be the newest.
///
/// A linearizable read or a watch confirms it as of the time of the request,
/// never as of the time of the response.
///
/// A store that came back from an older copy may lack the newest version. Its answers confirm
/// nothing until operators have had the time to write it again, nor while it shows a version older
/// than one that any entry VM saw in an earlier era.
///
/// A process that starts after such a return does not know when it was, nor what was seen before. The
/// store's answers confirm nothing to it until another entry VM says that the store shows the newest
/// version that was seen before, or the time to write again has passed since the process's first answer:
/// no VM may have lived through the return.
///
/// A version that this VM cannot read is a newer version all the same. Until a later one can be read,
/// nothing confirms the configuration in use, and the VM knows that it lacks the newest one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationFreshness {
    requested_at: Option<Moment>,
    /// Era of the store that gave the latest confirmation.
    confirmed_era: StoreEra,
    /// Requests before this moment confirm nothing.
    settled_at: Option<Moment>,
    /// Whether this process started after the return with which the present era began.
    has_missed_return: bool,
    /// Era of the store that the view of this VM is from.
    era: StoreEra,
    /// Newest version that the store has shown in this era.
    shown_version: Option<u64>,
    /// Newest version that any entry VM saw in an earlier era.
    former_version: Option<u64>,
    /// Latest revision at which the store showed a version that this VM can read.
    readable_at: Option<StoreRevision>,
    /// The newest version, if this VM cannot read it.
    unreadable: Option<UnreadableVersion>,
}

/// A version of the configuration that this VM cannot read.
#[derive(Debug, Clone, Copy)]
struct UnreadableVersion {
    /// Revision at which the store showed it.
    revision: StoreRevision,
    /// Its number, or the least that it can have.
    version_min: u64,
    /// Era in which that number became known.
    known_in: StoreEra,
}

/// What an entry VM tells the others of the versions of the configuration that exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationNotice {
    /// Era of the store that the VM's view is from.
    pub era: StoreEra,
    /// Newest version that the store has shown to the VM in this era.
    pub shown_version: Option<u64>,
    /// Newest version that any entry VM saw in an earlier era, as far as this one knows.
    pub former_version: Option<u64>,
}

impl ConfigurationFreshness {
    /// Records that the store confirmed the configuration in response to a request sent at
    /// `requested_at`.
    pub fn confirm(&mut self, requested_at: Moment) {
        let is_settled = self.settled_at.is_none_or(|it| requested_at >= it);
        if !is_settled || self.lacks_newest() || self.shown_version < self.former_version {
            return;
        }
        self.requested_at = self.requested_at.max(Some(requested_at));
        self.confirmed_era = self.era;
    }

    /// Records a confirmation that another entry VM passed on in answer to a question asked at
    /// `requested_at`.
    ///
    /// That VM measures both times on its own boot clock: `held` from the arrival of the question,
    /// and `age` from its own request to the store, until it answered. The question arrived after
    /// `requested_at`, so the moment counted here is never later than that request. This holds for
    /// an answer that is late or arrives twice as well.
    pub fn confirm_relayed(&mut self, requested_at: Moment, held: Duration, age: Duration) {
        if let Some(confirmed_at) = (requested_at + held).checked_before(age) {
            self.confirm(confirmed_at);
        }
    }

    /// Records a version that the store showed in its present era.
    pub fn record_shown(&mut self, version: u64) {
        self.shown_version = self.shown_version.max(Some(version));
    }

    /// Records that the store showed a version at `revision` that this VM can read.
    ///
    /// In a later era it ends the lack of a newer version only if it is as new: the store may have come
    /// back from a copy that is older than the version that cannot be read.
    pub fn record_readable(&mut self, version: u64, revision: StoreRevision) {
        self.record_shown(version);
        self.readable_at = self.readable_at.max(Some(revision));
        self.unreadable = self.unreadable.filter(|it| {
            let is_replaced = it.known_in == revision.era || version >= it.version_min;
            revision <= it.revision || !is_replaced
        });
    }

    /// Records that the store showed a version at `revision` that this VM cannot read, with its number
    /// if that can be read; `in_use` is the version that the VM uses. An answer that was overtaken
    /// changes nothing. Returns whether it is news.
    pub fn record_unreadable(
        &mut self,
        version: Option<u64>,
        revision: StoreRevision,
        in_use: Option<u64>,
    ) -> bool {
        let known = self.readable_at.max(self.unreadable.map(|it| it.revision));
        if known >= Some(revision) {
            return false;
        }
        // Versions increase.
        let version_min = version.unwrap_or_else(|| in_use.map_or(0, |it| it.saturating_add(1)));
        self.record_shown(version_min);
        let former = self.unreadable.filter(|it| it.version_min >= version_min);
        let known_in = former.map_or(revision.era, |it| it.known_in);
        let version_min = former.map_or(version_min, |it| it.version_min);
        self.unreadable = Some(UnreadableVersion { revision, version_min, known_in });
        true
    }

    /// Returns whether there is a newer version than the one in use, which this VM cannot read.
    pub fn lacks_newest(&self) -> bool {
        self.unreadable.is_some()
    }

    /// Records the era of the first answer of the store, which came at `now`; returns whether the store
    /// has come back from an older copy before.
    pub fn set_first_era(&mut self, era: StoreEra, now: Moment) -> bool {
        self.era = era;
        self.has_missed_return = era > FIRST_ERA;
        if self.has_missed_return {
            self.settled_at = Some(now + REAPPEARANCE_TIME);
        }
        self.has_missed_return
    }

    /// Lets the store's answers confirm again if this process only waited because it missed the
    /// return.
    fn end_wait_for_return(&mut self) {
        if std::mem::take(&mut self.has_missed_return) {
            self.settled_at = None;
        }
    }

    /// Records that the store came back from an older copy, as noticed at `now`.
    pub fn begin_era(&mut self, era: StoreEra, now: Moment) {
        self.era = era;
        self.has_missed_return = false;
        self.settled_at = Some(now + REAPPEARANCE_TIME);
        self.former_version = self.former_version.max(self.shown_version.take());
    }

    /// Returns what to tell the other entry VMs.
    pub fn notice(&self) -> ConfigurationNotice {
        let Self { era, shown_version, former_version, .. } = *self;
        ConfigurationNotice { era, shown_version, former_version }
    }

    /// Records what another entry VM tells; returns whether the newest version of an earlier era
    /// changed, so that the others need to know.
    ///
    /// If the store has shown an older version in this era, its confirmations were of a copy and are
    /// withdrawn. One of an earlier era was true when it was given.
    pub fn record_notice(&mut self, notice: ConfigurationNotice) -> bool {
        let known = self.former_version;
        self.former_version = known.max(notice.former_version);
        // Within an era each answer of the store is newer than all that was seen before.
        if notice.era < self.era {
            self.former_version = self.former_version.max(notice.shown_version);
        }
        let is_confirmed =
            notice.former_version.is_some() && notice.shown_version >= notice.former_version;
        if notice.era == self.era && is_confirmed {
            self.end_wait_for_return();
        }
        if self.confirmed_era == self.era && self.shown_version < self.former_version {
            self.requested_at = None;
        }
        self.former_version != known
    }

    /// Returns the time since the request of the latest confirmation, if there is one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.requested_at.map(|it| now.since(it))
    }

    /// Returns whether the configuration was confirmed recently enough to accept API keys in a
    /// request received at `received_at`.
    pub fn is_fresh_at(&self, received_at: Moment, revoke_within: Duration) -> bool {
        self.age(received_at).is_some_and(|it| it + KEY_REVOCATION_MARGIN < revoke_within)
    }
}
