//! The platform's list of VMs as it is held here, and the lists before it.

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

/// Lists that are remembered, to answer with differences: the one held and those before it.
const TEXTS_KEPT_MAX: usize = 3;
/// Largest text of a list, in bytes.
const TEXT_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The platform's list of VMs as it is held here, and the lists before it.
#[derive(Debug)]
pub(crate) struct HeldList {
    key: PeerKey,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    tracker: ListTracker,
    /// The newest comes first.
    texts: VecDeque<(ListHash, Arc<str>)>,
    vms: Arc<[VmListEntry]>,
}

impl HeldList {
    pub(crate) fn open(key: PeerKey) -> Self {
        Self { key, held: Mutex::new(Held::default()) }
    }

    /// Returns the list held.
    pub(crate) fn vms(&self) -> Arc<[VmListEntry]> {
        Arc::clone(&lock(&self.held).vms)
    }

    /// Takes a list that the platform gave when asked at `asked_at`.
    pub(crate) fn read(&self, vms: Vec<VmListEntry>, asked_at: Instant) {
        let text = serde_json::to_string(&vms).expect("a list has a JSON form");
        lock(&self.held).replace(&text, vms, asked_at);
    }

    /// Records which list a coordinator holds, in its reply to a poll sent at `asked_at`.
    pub(crate) fn heard(&self, from: SocketAddr, report: VmListVersion, asked_at: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        lock(&self.held).tracker.record_peer(from, ListHash(report.hash), age, asked_at);
    }

    /// Returns which list is held, for the other coordinators.
    pub(crate) fn report(&self, now: Instant) -> Option<VmListVersion> {
        let (list, age) = lock(&self.held).tracker.held(now)?;
        Some(VmListVersion { hash: list.0, age_ms: milliseconds_up(age) })
    }

    /// Decides what to do about the list.
    pub(crate) fn next(&self, is_reader: bool, limit: Duration, now: Instant) -> ListStep {
        lock(&self.held).tracker.next_step(is_reader, limit, now)
    }

    /// Returns how the list changed since another one, if that is remembered.
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

    /// Fetches from a coordinator, asked at `asked_at`, what changed since the list held.
    pub(crate) fn fetch(&self, from: SocketAddr, asked_at: Instant) -> Result<(), String> {
        let held = lock(&self.held).texts.front().cloned();
        let (list, text) = held.ok_or("no list is held")?;
        let change = fetch_list_change(from, &self.key, list.0).map_err(|it| it.to_string())?;
        let change = change.ok_or_else(|| format!("{from} does not remember the list held"))?;
        let age = Duration::from_millis(change.age_ms.into());
        let asked_at = asked_at.checked_sub(age).ok_or("the change is older than the clock")?;
        let text = change.delta.apply(&text, TEXT_BYTES_MAX).ok_or("the change does not fit")?;
        let vms = serde_json::from_str(&text).map_err(|it| it.to_string())?;
        lock(&self.held).replace(&text, vms, asked_at);
        Ok(())
    }
}

impl Held {
    /// Puts a list in the place of the one held, unless that is newer.
    fn replace(&mut self, text: &str, vms: Vec<VmListEntry>, asked_at: Instant) {
        let list = ListHash::of(text);
        let before = self.tracker.held(asked_at).map(|(list, _)| list);
        self.tracker.record_held(list, asked_at);
        let is_taken = self.tracker.held(asked_at).is_some_and(|(it, _)| it == list);
        if !is_taken || before == Some(list) {
            return;
        }
        self.texts.push_front((list, Arc::from(text)));
        self.texts.truncate(TEXTS_KEPT_MAX);
        self.vms = vms.into();
    }
}
