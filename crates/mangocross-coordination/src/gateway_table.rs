//! What a coordinator knows of the gateways: by themselves, or passed on by another coordinator.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Revision;
use mangocross_types::VmId;

/// News of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayNews<T> {
    /// Random number chosen at the process's start.
    pub process_id: u64,
    /// Revision of the configuration that it had in force.
    pub revision: Revision,
    /// A time after which the gateway said so, if one is known.
    pub said_after: Option<Instant>,
    /// When it is taken to have said so.
    pub heard_at: Instant,
    /// Whether it reported here, so that this coordinator passes the news on.
    pub is_direct: bool,
    /// What else it said.
    pub said: T,
}

/// The newest news of each gateway.
#[derive(Debug, Clone)]
pub struct GatewayTable<T> {
    kept: Duration,
    newest: HashMap<VmId, GatewayNews<T>>,
}

impl<T> GatewayTable<T> {
    /// Returns an empty table; what a gateway said counts for `kept`.
    pub fn new(kept: Duration) -> Self {
        Self { kept, newest: HashMap::new() }
    }

    /// Records news of the gateway on a VM, unless newer ones are there.
    pub fn heard(&mut self, vm: &VmId, news: GatewayNews<T>) {
        if self.newest.get(vm).is_none_or(|it| it.heard_at <= news.heard_at) {
            self.newest.insert(vm.clone(), news);
        }
    }

    /// Returns the newest news of each gateway, however old.
    pub fn all(&self) -> impl Iterator<Item = (&VmId, &GatewayNews<T>)> {
        self.newest.iter()
    }

    /// Returns the news that still count.
    pub fn current(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayNews<T>)> {
        let kept = self.kept;
        self.newest.iter().filter(move |(_, it)| now.saturating_duration_since(it.heard_at) < kept)
    }

    /// Returns the news that gateways reported here, to be passed on.
    pub fn direct(&self, now: Instant) -> impl Iterator<Item = (&VmId, &GatewayNews<T>)> {
        self.current(now).filter(|(_, it)| it.is_direct)
    }
}
