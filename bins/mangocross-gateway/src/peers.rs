//! The gateway's polls to coordinators and the handling of their replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::EntryVmSpec;
use peer_entry::Poll;
use peer_entry::PollReply;
use peer_entry::PollerHandler;
use peer_entry::ProcessRole;

use crate::poll_targets::PollTargets;
use crate::state::GatewayState;
use crate::state::lock;

/// Time after which an expired health lease is removed.
const EXPIRED_LEASE_RETENTION: Duration = Duration::from_secs(60);

/// The gateway's polls to coordinators and the handling of their replies.
pub(crate) struct GatewayPeers {
    state: Arc<GatewayState>,
    targets: Mutex<PollTargets>,
}

impl GatewayPeers {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        let interval = Duration::from_millis(state.settings.poll_interval_ms);
        Self { state, targets: Mutex::new(PollTargets::new(interval)) }
    }

    fn is_own_coordinator(&self, address: SocketAddr) -> bool {
        let configuration = self.state.configuration();
        let own = |it: &&EntryVmSpec| it.vm == self.state.settings.vm;
        configuration.entry_vms.iter().find(own).is_some_and(|it| it.coordinator == address)
    }
}

impl PollerHandler for GatewayPeers {
    fn targets(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        let configuration = self.state.configuration();
        let now = self.state.clock.now();
        lock(&self.targets).next_round(
            &configuration.entry_vms,
            &settings.vm,
            &settings.coordinators,
            now,
        )
    }

    fn poll(&self, to: SocketAddr) -> Poll {
        let configuration = self.state.configuration();
        let (scope, is_report_target) = lock(&self.targets).poll_options(to);
        let usage = if is_report_target {
            self.state.admission.usage(&configuration, self.state.clock.now())
        } else {
            Vec::new()
        };
        // Read first, so that no lock of the node's configuration is held while the fields below
        // lock others.
        let revision = self.state.node_configuration.in_force_revision();
        Poll {
            nonce: 0,
            vm: self.state.settings.vm.clone(),
            role: ProcessRole::Gateway,
            process_id: self.state.process_id,
            revision,
            serving: !self.state.stopping.load(Ordering::SeqCst),
            scope,
            reports: is_report_target,
            usage,
            failures: if self.is_own_coordinator(to) {
                self.state.failures.drain_newest()
            } else {
                Vec::new()
            },
            echo: None,
        }
    }

    fn on_reply(&self, from: SocketAddr, sent_at: Instant, reply: PollReply) {
        lock(&self.targets).record_reply(from, &reply.owners, sent_at);
        self.state.node_configuration.record_peer_lease(from, &reply, sent_at);
        self.state.node_configuration.fetch_if_newer(from, &reply);
        if let Some(usage) = reply.usage {
            self.state.admission.record_usage(usage, sent_at);
        }
        self.state.routing.apply_cache_events(&reply.caches, sent_at);
        let mut health_leases = lock(&self.state.health_leases);
        for health_lease in &reply.health_leases {
            health_leases.record(health_lease, sent_at);
        }
        health_leases.remove_expired(self.state.clock.now(), EXPIRED_LEASE_RETENTION);
        drop(health_leases);
        let mut leaving = lock(&self.state.leaving);
        for it in &reply.leaving {
            leaving.record_peer(&it.vm, Duration::from_millis(it.age_ms.into()), sent_at);
        }
        leaving.remove_expired(self.state.clock.now());
        drop(leaving);
        let mut servers = lock(&self.state.service_servers);
        for it in reply.service_servers {
            servers.record_listed(it.vm, it.service, it.address, sent_at);
        }
        servers.remove_expired(self.state.clock.now());
    }
}
