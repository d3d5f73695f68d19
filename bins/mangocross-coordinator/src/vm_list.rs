//! The newest known VM list of the platform, and earlier ones for computing differences.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ListHash;
use mangocross_coordination::ListStep;
use mangocross_coordination::ListTracker;
use mangocross_types::VmListEntry;
use peer_entry::Delta;
use peer_entry::ListChange;
use peer_entry::PeerKey;
use peer_entry::VmListVersion;
use peer_entry::fetch_list_change;

use crate::peers::milliseconds_up;
use crate::state::lock;

/// Lists that are kept to answer with differences: the one held and earlier ones.
const TEXTS_KEPT_MAX: usize = 3;
/// Largest text of a list, in bytes.
const TEXT_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The newest known VM list of the platform, and earlier ones for computing differences.
#[derive(Debug)]
pub(crate) struct VmListHolder {
    key: PeerKey,
    held: Mutex<VmListState>,
}

#[derive(Debug, Default)]
struct VmListState {
    tracker: ListTracker,
    /// The newest comes first.
    texts: VecDeque<(ListHash, Arc<str>)>,
    vms: Arc<[VmListEntry]>,
}

impl VmListHolder {
    pub(crate) fn open(key: PeerKey) -> Self {
        Self { key, held: Mutex::new(VmListState::default()) }
    }

    pub(crate) fn vms(&self) -> Arc<[VmListEntry]> {
        Arc::clone(&lock(&self.held).vms)
    }

    /// Records a list that the platform returned to a request sent at `sent_at`.
    pub(crate) fn record_read(&self, vms: Vec<VmListEntry>, sent_at: Instant) {
        let text = serde_json::to_string(&vms).expect("a list has a JSON form");
        lock(&self.held).replace(&text, vms, sent_at);
    }

    /// Records which list a coordinator holds, from its reply to a poll sent at `sent_at`.
    pub(crate) fn record_peer(&self, from: SocketAddr, report: VmListVersion, sent_at: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        lock(&self.held).tracker.record_peer(from, ListHash(report.hash), age, sent_at);
    }

    /// Returns the hash and age of the list held, for the other coordinators.
    pub(crate) fn report(&self, now: Instant) -> Option<VmListVersion> {
        let (list, age) = lock(&self.held).tracker.held(now)?;
        Some(VmListVersion { hash: list.0, age_ms: milliseconds_up(age) })
    }

    /// Returns whether to keep the list, read it from the platform or fetch its changes.
    pub(crate) fn next_step(&self, is_reader: bool, limit: Duration, now: Instant) -> ListStep {
        lock(&self.held).tracker.next_step(is_reader, limit, now)
    }

    /// Returns the change since an earlier list, if that one is still kept.
    pub(crate) fn change(&self, since: ListHash, now: Instant) -> Option<ListChange> {
        let held = lock(&self.held);
        let (_, age) = held.tracker.held(now)?;
        let newest = held.texts.front().map(|(_, text)| Arc::clone(text))?;
        let older = held.texts.iter().find(|(list, _)| *list == since)?;
        let older = Arc::clone(&older.1);
        drop(held);
        let delta = Delta::between(&older, &newest);
        Some(ListChange { age_ms: milliseconds_up(age), delta })
    }

    /// Fetches the changes since the list held from a coordinator, asked at `sent_at`.
    pub(crate) fn fetch(&self, from: SocketAddr, sent_at: Instant) -> Result<(), String> {
        let held = lock(&self.held).texts.front().cloned();
        let (list, text) = held.ok_or("no list is held")?;
        let change = fetch_list_change(from, &self.key, list.0).map_err(|it| it.to_string())?;
        let change = change.ok_or_else(|| format!("{from} no longer has the list held"))?;
        let age = Duration::from_millis(change.age_ms.into());
        let sent_at = sent_at.checked_sub(age).ok_or("the change is older than the clock")?;
        let text = change
            .delta
            .apply(&text, TEXT_BYTES_MAX)
            .ok_or("the change does not apply to the list held")?;
        let vms = serde_json::from_str(&text).map_err(|it| it.to_string())?;
        lock(&self.held).replace(&text, vms, sent_at);
        Ok(())
    }
}

impl VmListState {
    /// Replaces the list held, unless that is newer.
    fn replace(&mut self, text: &str, vms: Vec<VmListEntry>, sent_at: Instant) {
        let list = ListHash::of(text);
        let before = self.tracker.held(sent_at).map(|(list, _)| list);
        self.tracker.record_held(list, sent_at);
        let is_held = self.tracker.held(sent_at).is_some_and(|(it, _)| it == list);
        if !is_held || before == Some(list) {
            return;
        }
        self.texts.push_front((list, Arc::from(text)));
        self.texts.truncate(TEXTS_KEPT_MAX);
        self.vms = vms.into();
    }
}
