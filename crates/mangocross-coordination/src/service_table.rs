//! Backend servers of plain services, as contained in the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::ServiceId;
use mangocross_types::VmId;

/// Backend servers of plain services by VM, with the time at which each was last listed.
#[derive(Debug, Clone)]
pub struct ServiceTable {
    retention: Duration,
    servers: BTreeMap<VmId, ListedServer>,
}

#[derive(Debug, Clone)]
struct ListedServer {
    service: ServiceId,
    address: SocketAddr,
    listed_at: Instant,
}

impl ServiceTable {
    /// Returns an empty table that keeps a server for `retention` after it was last listed.
    pub fn new(retention: Duration) -> Self {
        Self { retention, servers: BTreeMap::new() }
    }

    /// Records that a server was listed; an older record is ignored.
    pub fn record_listed(
        &mut self,
        vm: VmId,
        service: ServiceId,
        address: SocketAddr,
        at: Instant,
    ) {
        if self.servers.get(&vm).is_some_and(|it| it.listed_at > at) {
            return;
        }
        self.servers.insert(vm, ListedServer { service, address, listed_at: at });
    }

    /// Removes servers that were not listed recently.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.retention;
        self.servers.retain(|_, it| now.saturating_duration_since(it.listed_at) < retention);
    }

    /// Returns the servers of a service that accept new requests.
    ///
    /// These are the `specified` ones, or all listed ones if none are specified, except those on
    /// VMs that are leaving.
    pub fn available(
        &self,
        service: &ServiceId,
        specified: &[SocketAddr],
        is_leaving: impl Fn(&VmId) -> bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut servers = match specified {
            [] => self.listed_servers(service, now),
            _ => specified.to_vec(),
        };
        servers.retain(|it| !self.is_address_leaving(*it, &is_leaving));
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    fn listed_servers(&self, service: &ServiceId, now: Instant) -> Vec<SocketAddr> {
        let listed = self.servers.values().filter(|it| it.service == *service);
        let listed =
            listed.filter(|it| now.saturating_duration_since(it.listed_at) < self.retention);
        listed.map(|it| it.address).collect()
    }

    /// Returns whether the VM that was last listed with the address is leaving.
    ///
    /// If two VMs were listed with it at the same time, it is enough that one of them is leaving.
    fn is_address_leaving(&self, address: SocketAddr, is_leaving: impl Fn(&VmId) -> bool) -> bool {
        let holders = self.servers.iter().filter(|(_, it)| it.address == address);
        let newest = holders.map(|(vm, it)| (it.listed_at, is_leaving(vm))).max();
        newest.is_some_and(|(_, leaving)| leaving)
    }
}
