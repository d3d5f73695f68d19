//! The configuration in force at a process of an entry VM, and how fresh it is.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::Freshness;
use mangocross_coordination::FreshnessBounds;
use mangocross_coordination::FreshnessReply;
use mangocross_coordination::MajorityConfirmation;
use mangocross_coordination::Permit;
use mangocross_operator::check_configuration;
use mangocross_types::Configuration;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_entry::ConfigurationDocument;
use peer_entry::PeerKey;
use peer_entry::PollReply;
use peer_entry::fetch_configuration;

/// Maximum number of texts of earlier revisions that are kept, so that a process that has one of
/// them can be sent only the difference.
const EARLIER_TEXTS_MAX: usize = 16;

/// The configuration in force at a process of an entry VM, and how fresh it is.
///
/// One lock guards both, so that there is no lock order to maintain.
#[derive(Debug)]
pub struct NodeConfiguration {
    own: VmId,
    key: PeerKey,
    state: Mutex<ConfigurationState>,
    fetching: AtomicBool,
}

#[derive(Debug)]
struct ConfigurationState {
    configuration: Arc<Configuration>,
    text: Arc<str>,
    earlier_texts: VecDeque<(Revision, Arc<str>)>,
    freshness: Freshness,
}

impl NodeConfiguration {
    /// Returns the state of a process on entry VM `own` that starts now, without a configuration.
    ///
    /// `lease_duration` is how long a freshness lease is valid.
    pub fn open(own: VmId, key: PeerKey, lease_duration: Duration, now: Instant) -> Self {
        let state = ConfigurationState {
            configuration: Arc::new(Configuration::default()),
            text: Arc::from(""),
            earlier_texts: VecDeque::new(),
            freshness: Freshness::new(FreshnessBounds { lease_duration }, now),
        };
        Self { own, key, state: Mutex::new(state), fetching: AtomicBool::new(false) }
    }

    /// Returns the key that authenticates frames between entry VMs.
    pub fn key(&self) -> &PeerKey {
        &self.key
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.lock().configuration)
    }

    /// Returns the revision in force; zero without a configuration.
    pub fn in_force_revision(&self) -> Revision {
        self.lock().freshness.in_force()
    }

    /// Returns the newest known revision.
    pub fn newest_known(&self) -> Revision {
        self.lock().freshness.newest_known()
    }

    /// Returns the configuration in force as the stored text.
    pub fn document(&self) -> ConfigurationDocument {
        let state = self.lock();
        let revision = state.freshness.in_force();
        ConfigurationDocument { revision, text: state.text.as_ref().to_owned() }
    }

    /// Returns the text of an earlier revision, if it is still kept.
    pub fn earlier_text(&self, revision: Revision) -> Option<Arc<str>> {
        let state = self.lock();
        let mut earlier = state.earlier_texts.iter();
        earlier.find(|(it, _)| *it == revision).map(|(_, text)| Arc::clone(text))
    }

    /// Returns whether requests may be served now.
    pub fn permit(&self, now: Instant) -> Permit {
        let state = self.lock();
        state.freshness.permit(&state.configuration.entry_vms, &self.own, now)
    }

    /// Returns this process's freshness lease of the configuration.
    pub fn freshness_lease(&self, now: Instant) -> FreshnessReply {
        let state = self.lock();
        state.freshness.freshness_reply(&state.configuration.entry_vms, now)
    }

    /// Records that a store read sent at `sent_at` returned `revision` as the newest.
    pub fn record_store_revision(&self, revision: Revision, sent_at: Instant) {
        self.lock().freshness.record_store_revision(revision, sent_at);
    }

    /// Records the freshness lease in the reply of the coordinator at `from` to a poll sent at
    /// `sent_at`.
    pub fn record_peer_lease(&self, from: SocketAddr, reply: &PollReply, sent_at: Instant) {
        let endpoint = CoordinatorEndpoint { vm: reply.vm.clone(), address: from };
        self.lock().freshness.record_peer(&endpoint, lease_in(reply), sent_at);
    }

    /// Fetches the configuration from the coordinator at `from` if its reply has a newer revision.
    pub fn fetch_if_newer(self: &Arc<Self>, from: SocketAddr, reply: &PollReply) {
        if reply.revision > self.in_force_revision() {
            self.spawn_fetch(from);
        }
    }

    /// Marks this coordinator as established once a majority of entry VMs, not counting itself,
    /// have granted it freshness leases; from then on it grants its own.
    pub fn establish(&self) {
        let mut state = self.lock();
        let configuration = Arc::clone(&state.configuration);
        state.freshness.establish(&configuration.entry_vms, &self.own);
    }

    /// Validates a configuration and puts it in force, unless it or a newer one already is.
    ///
    /// # Errors
    ///
    /// Returns why the text is not a valid configuration; nothing changes then.
    pub fn apply(&self, revision: Revision, text: &str) -> Result<(), String> {
        if revision <= self.in_force_revision() {
            return Ok(());
        }
        let configuration: Configuration =
            serde_json::from_str(text).map_err(|it| it.to_string())?;
        check_configuration(&configuration).map_err(|it| it.to_string())?;
        if self.lock().replace(revision, configuration, text) {
            log::info!("configuration revision {revision} is in force");
        }
        Ok(())
    }

    /// Fetches the configuration from a coordinator that holds a newer one, on a separate thread;
    /// one fetch at a time.
    fn spawn_fetch(self: &Arc<Self>, from: SocketAddr) {
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let node = Arc::clone(self);
        thread::spawn(move || {
            if let Err(message) = node.fetch(from) {
                log::warn!("configuration could not be fetched from {from}: {message}");
            }
            node.fetching.store(false, Ordering::SeqCst);
        });
    }

    fn fetch(&self, from: SocketAddr) -> Result<(), String> {
        let current = self.document();
        let newer = fetch_configuration(from, &self.key, &current).map_err(|it| it.to_string())?;
        self.apply(newer.revision, &newer.text)
    }

    /// Locks the state and ignores poisoning: it is consistent after every statement that changes
    /// it.
    fn lock(&self) -> MutexGuard<'_, ConfigurationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConfigurationState {
    /// Puts a configuration in force; returns false if the same or a newer one already is.
    fn replace(&mut self, revision: Revision, configuration: Configuration, text: &str) -> bool {
        let before = self.freshness.in_force();
        if revision <= before {
            return false;
        }
        let replaced = std::mem::replace(&mut self.text, Arc::from(text));
        if before > Revision(0) {
            self.earlier_texts.push_back((before, replaced));
        }
        let surplus = self.earlier_texts.len().saturating_sub(EARLIER_TEXTS_MAX);
        self.earlier_texts.drain(..surplus);
        self.configuration = Arc::new(configuration);
        self.freshness.record_applied(revision);
        true
    }
}

/// Returns the freshness lease in a reply.
fn lease_in(reply: &PollReply) -> FreshnessReply {
    let milliseconds = |it: u32| Duration::from_millis(it.into());
    let majority = reply.majority_age_ms.map(milliseconds);
    FreshnessReply {
        newest_known: reply.newest_known,
        established: reply.established,
        store_age: reply.store_age_ms.map(milliseconds),
        majority: majority.map(|age| MajorityConfirmation { revision: reply.revision, age }),
        duration_max: milliseconds(reply.freshness_lease_ms),
    }
}
