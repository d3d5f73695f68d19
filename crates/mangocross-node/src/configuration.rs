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
use mangocross_coordination::FreshnessLease;
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

/// Earlier texts that are remembered, to answer with differences.
const EARLIER_KEPT_MAX: usize = 16;

/// The configuration in force at a process of an entry VM, and how fresh it is.
///
/// One lock guards both, so that no order of locks has to be kept.
#[derive(Debug)]
pub struct NodeConfiguration {
    own: VmId,
    key: PeerKey,
    held: Mutex<Held>,
    fetching: AtomicBool,
}

#[derive(Debug)]
struct Held {
    configuration: Arc<Configuration>,
    text: Arc<str>,
    earlier: VecDeque<(Revision, Arc<str>)>,
    freshness: Freshness,
}

impl NodeConfiguration {
    /// Returns the state of a process on entry VM `own` that starts now, without a configuration.
    ///
    /// `vouch` is how long a vouch counts.
    pub fn open(own: VmId, key: PeerKey, lease_duration: Duration, now: Instant) -> Self {
        let held = Held {
            configuration: Arc::new(Configuration::default()),
            text: Arc::from(""),
            earlier: VecDeque::new(),
            freshness: Freshness::new(FreshnessBounds { lease_duration }, now),
        };
        Self { own, key, held: Mutex::new(held), fetching: AtomicBool::new(false) }
    }

    /// Returns the key of frames between entry VMs.
    pub fn key(&self) -> &PeerKey {
        &self.key
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        Arc::clone(&self.lock().configuration)
    }

    /// Returns the revision in force; zero without a configuration.
    pub fn in_force(&self) -> Revision {
        self.lock().freshness.in_force()
    }

    /// Returns the newest revision heard of.
    pub fn newest_known(&self) -> Revision {
        self.lock().freshness.newest_known()
    }

    /// Returns the configuration in force as it is stored.
    pub fn document(&self) -> ConfigurationDocument {
        let held = self.lock();
        let revision = held.freshness.in_force();
        ConfigurationDocument { revision, text: held.text.as_ref().to_owned() }
    }

    /// Returns the text of an earlier revision, if it is remembered.
    pub fn earlier(&self, revision: Revision) -> Option<Arc<str>> {
        let held = self.lock();
        let mut earlier = held.earlier.iter();
        earlier.find(|(it, _)| *it == revision).map(|(_, text)| Arc::clone(text))
    }

    /// Decides whether requests may be served now.
    pub fn permit(&self, now: Instant) -> Permit {
        let held = self.lock();
        held.freshness.permit(&held.configuration.entry_vms, &self.own, now)
    }

    /// Returns what this process says of the configuration.
    pub fn freshness_lease(&self, now: Instant) -> FreshnessLease {
        let held = self.lock();
        held.freshness.freshness_lease(&held.configuration.entry_vms, now)
    }

    /// Records that the store named `revision` as the newest, when asked at `asked_at`.
    pub fn record_store_revision(&self, revision: Revision, asked_at: Instant) {
        self.lock().freshness.record_store_revision(revision, asked_at);
    }

    /// Records what the reply of the coordinator at `from`, which was asked at `asked_at`, says of
    /// the configuration.
    pub fn record_peer(&self, from: SocketAddr, reply: &PollReply, asked_at: Instant) {
        let voucher = CoordinatorEndpoint { vm: reply.vm.clone(), address: from };
        self.lock().freshness.record_peer(&voucher, vouch_in(reply), asked_at);
    }

    /// Fetches the newer configuration that a reply of the coordinator at `from` names, if any.
    pub fn follow(self: &Arc<Self>, from: SocketAddr, reply: &PollReply) {
        if reply.revision > self.in_force() {
            self.fetch(from);
        }
    }

    /// Lets this coordinator vouch once a majority of entry VMs, itself not counted, vouched.
    pub fn establish(&self) {
        let mut held = self.lock();
        let entry_vms = Arc::clone(&held.configuration);
        held.freshness.establish(&entry_vms.entry_vms, &self.own);
    }

    /// Checks a configuration and puts it in force unless a newer one already is.
    ///
    /// # Errors
    ///
    /// Says why the text is no valid configuration; nothing changes then.
    pub fn take(&self, revision: Revision, text: &str) -> Result<(), String> {
        if revision <= self.in_force() {
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

    /// Fetches the configuration from a coordinator that holds a newer one, on a thread of its
    /// own; one fetch at a time.
    fn fetch(self: &Arc<Self>, from: SocketAddr) {
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let node = Arc::clone(self);
        thread::spawn(move || {
            if let Err(message) = node.fetch_now(from) {
                log::warn!("configuration was not taken from {from}: {message}");
            }
            node.fetching.store(false, Ordering::SeqCst);
        });
    }

    fn fetch_now(&self, from: SocketAddr) -> Result<(), String> {
        let held = self.document();
        let newer = fetch_configuration(from, &self.key, &held).map_err(|it| it.to_string())?;
        self.take(newer.revision, &newer.text)
    }

    /// Locks the state; it is whole after every statement that changes it.
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    /// Puts a configuration in force; returns false if one as new already is.
    fn replace(&mut self, revision: Revision, configuration: Configuration, text: &str) -> bool {
        let before = self.freshness.in_force();
        if revision <= before {
            return false;
        }
        let replaced = std::mem::replace(&mut self.text, Arc::from(text));
        if before > Revision(0) {
            self.earlier.push_back((before, replaced));
        }
        let surplus = self.earlier.len().saturating_sub(EARLIER_KEPT_MAX);
        self.earlier.drain(..surplus);
        self.configuration = Arc::new(configuration);
        self.freshness.record_applied(revision);
        true
    }
}

/// Returns what a reply says of the configuration.
fn vouch_in(reply: &PollReply) -> FreshnessLease {
    let milliseconds = |it: u32| Duration::from_millis(it.into());
    let majority = reply.majority_age_ms.map(milliseconds);
    FreshnessLease {
        newest_known: reply.newest_known,
        established: reply.established,
        store_age: reply.store_age_ms.map(milliseconds),
        majority: majority.map(|age| MajorityConfirmation { revision: reply.revision, age }),
        bound: milliseconds(reply.freshness_lease_ms),
    }
}
