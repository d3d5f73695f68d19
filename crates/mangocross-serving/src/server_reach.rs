//! Whether this entry VM reaches the backend servers at all.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Servers to which connections have to fail, with none that succeeds, before the fault is sought on
/// this side. A single server that is gone is no sign of it.
const FAILED_SERVERS_MIN: usize = 3;
/// Lower bound of that number where few servers are listed.
const FEW_SERVERS_MIN: usize = 2;
/// Time after which a failed connection says nothing any more.
const FAILURE_AGE_MAX: Duration = Duration::from_secs(3);
/// Servers to which connections have to succeed in a row before the VM counts as connected again.
const REACHED_SERVERS_MIN: usize = 2;
/// Time for which another entry VM counts as cut off after it has said so.
const PEER_NOTICE_AGE_MAX: Duration = Duration::from_millis(1500);

/// News of the connection to the servers, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing has changed.
    None,
    /// Connections to several servers have failed; it is to be verified whether others can be reached.
    Suspected,
    /// This entry VM reaches no server any more.
    Lost,
    /// This entry VM reaches servers again.
    Regained,
}

/// What an entry VM says of its connection to the servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachNotice {
    /// The entry VM that says so.
    pub entry_vm: Arc<str>,
    /// Whether it reaches no servers.
    pub is_cut_off: bool,
    /// Time since it said so, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct PeerReach {
    said_at: Moment,
    is_cut_off: bool,
}

impl PeerReach {
    fn is_recent(self, now: Moment) -> bool {
        now.since(self.said_at) < PEER_NOTICE_AGE_MAX
    }
}

/// Judges from new connections to servers whether this entry VM is cut off from them.
///
/// Only new connections count: those that were opened before a cut may live on. Several servers may
/// have gone while nothing was sent to the others, so a suspicion is verified at some of these.
#[derive(Debug, Default)]
pub struct ServerReach {
    /// Servers to which the last connection failed, since one to any server has succeeded.
    failed: HashMap<SocketAddr, Moment>,
    /// Whether it is being verified that no server can be reached.
    is_suspected: bool,
    cut_since: Option<Moment>,
    /// Servers that were reached since the last failure of a VM that is cut off.
    reached: HashSet<SocketAddr>,
    /// What other entry VMs last said, and when.
    peers: HashMap<Arc<str>, PeerReach>,
}

impl ServerReach {
    /// Records a new connection to a server, of which `listed` are known.
    pub fn record_connected(
        &mut self,
        server: SocketAddr,
        listed: usize,
        now: Moment,
    ) -> ReachChange {
        self.failed.clear();
        self.is_suspected = false;
        if self.cut_since.is_none() {
            return ReachChange::None;
        }
        self.reached.insert(server);
        if self.reached.len() < REACHED_SERVERS_MIN.min(listed) {
            return ReachChange::None;
        }
        *self = Self { peers: std::mem::take(&mut self.peers), ..Self::default() };
        self.expire(now);
        ReachChange::Regained
    }

    /// Records that a connection to a server failed, of which `listed` are known.
    pub fn record_failure(
        &mut self,
        server: SocketAddr,
        listed: usize,
        now: Moment,
    ) -> ReachChange {
        self.reached.clear();
        self.failed.insert(server, now);
        self.failed.retain(|_, it| now.since(*it) < FAILURE_AGE_MAX);
        let needed = FAILED_SERVERS_MIN.min(listed).max(FEW_SERVERS_MIN);
        if self.is_doubtful() || self.failed.len() < needed {
            return ReachChange::None;
        }
        self.is_suspected = true;
        ReachChange::Suspected
    }

    /// Returns whether the last connection to a server failed.
    pub fn has_failed(&self, server: &SocketAddr) -> bool {
        self.failed.contains_key(server)
    }

    /// Records that connections to servers that had not failed before have been tried, too.
    pub fn record_verified(&mut self, now: Moment) -> ReachChange {
        if !std::mem::take(&mut self.is_suspected) || self.is_cut_off() {
            return ReachChange::None;
        }
        self.cut_since = Some(now);
        ReachChange::Lost
    }

    /// Returns whether this entry VM reaches no servers.
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns since when this entry VM reaches no servers.
    pub fn cut_since(&self) -> Option<Moment> {
        self.cut_since
    }

    /// Returns whether failed connections may be due to this entry VM, so that they say nothing of the
    /// servers.
    pub fn is_doubtful(&self) -> bool {
        self.is_cut_off() || self.is_suspected
    }

    /// Records what another entry VM said, as it told itself or as a third one tells.
    pub fn record_peer(&mut self, notice: &ReachNotice, now: Moment) {
        let said_at = now.before(Duration::from_millis(u64::from(notice.age_ms)));
        let said = PeerReach { said_at, is_cut_off: notice.is_cut_off };
        let known = self.peers.entry(Arc::clone(&notice.entry_vm)).or_insert(said);
        if known.said_at < said_at {
            *known = said;
        }
    }

    /// Returns whether another entry VM has lately said that it is cut off.
    pub fn is_peer_cut_off(&self, peer: &str, now: Moment) -> bool {
        self.peers.get(peer).is_some_and(|it| it.is_cut_off && it.is_recent(now))
    }

    /// Returns what the entry VM `own` tells the others: its own state, and what it has heard lately.
    ///
    /// Where many are cut off, each reaches only some of the others with its own message.
    pub fn notices(&self, own: &Arc<str>, now: Moment) -> Vec<ReachNotice> {
        let own =
            ReachNotice { entry_vm: Arc::clone(own), is_cut_off: self.is_cut_off(), age_ms: 0 };
        let heard = self.peers.iter().filter(|(_, it)| it.is_recent(now));
        let heard = heard.map(|(peer, it)| ReachNotice {
            entry_vm: Arc::clone(peer),
            is_cut_off: it.is_cut_off,
            age_ms: now.since(it.said_at).as_millis() as u32,
        });
        [own].into_iter().chain(heard).collect()
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.failed.retain(|_, it| now.since(*it) < FAILURE_AGE_MAX);
        self.peers.retain(|_, it| it.is_recent(now));
    }
}
