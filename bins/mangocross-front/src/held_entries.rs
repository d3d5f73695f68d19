//! Entries of servers in an older copy of the store that say less than is known.

use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::Moment;
use mangocross_serving::ServerProcess;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use crate::state::ClusterView;

/// Time for which a server is remembered whose entry was removed; copies are some seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// A server whose entry was removed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DepartedServer {
    removed_at: Moment,
    born_unix_ms: u64,
}

impl ClusterView {
    /// Records that a server's entry was removed and the server is used no longer.
    pub(crate) fn record_departure(&mut self, vm: &VmId, now: Moment) {
        self.held_entries.remove(vm);
        if let Some(server) = self.servers.remove(vm) {
            let born_unix_ms = server.engine.born_unix_ms;
            self.departed.insert(vm.clone(), DepartedServer { removed_at: now, born_unix_ms });
        }
    }

    /// Holds the first entry of a server process in a new era, unless it tells that the server is
    /// leaving: it may be older than what is known. Returns whether it is held.
    ///
    /// It counts if it is not written again in the time that servers have for it.
    pub(crate) fn hold_entry(
        &mut self,
        known: StoreRevision,
        revision: StoreRevision,
        server: &BackendServer,
        now: Moment,
    ) -> bool {
        let is_first = known.era < revision.era;
        if !is_first || server.is_leaving || self.missing.reappear_until(now).is_none() {
            return false;
        }
        let known_birth = match self.servers.get(&server.vm) {
            Some(it) => Some(it.engine.born_unix_ms),
            None => self.departed.get(&server.vm).map(|it| it.born_unix_ms),
        };
        let is_known = known_birth.is_some_and(|it| it >= server.engine.born_unix_ms);
        if is_known {
            self.held_entries.insert(server.vm.clone(), (revision, server.clone()));
        }
        is_known
    }

    /// Applies the entries that were held and have not been written again, once all changes up to
    /// `known_until` are known and servers have had their time by then.
    pub(crate) fn apply_held_entries(&mut self, known_until: Moment) {
        let is_over = self.missing.reappear_until(known_until).is_none();
        if self.held_entries.is_empty() || !is_over {
            return;
        }
        for (vm, (revision, mut server)) in std::mem::take(&mut self.held_entries) {
            if self.server_revisions.get(&vm) != Some(&revision) {
                continue;
            }
            if let Some(known) = self.servers.get(&vm) {
                // A process that leaves never stays after all.
                server.is_leaving |=
                    known.is_leaving && known.engine.born_unix_ms == server.engine.born_unix_ms;
            }
            self.servers.insert(vm, server);
        }
    }

    /// Returns whether the entry of a process was removed lately.
    pub(crate) fn has_departed(&self, process: &ServerProcess) -> bool {
        let departed = self.departed.get(&process.vm);
        departed.is_some_and(|it| it.born_unix_ms >= process.born_unix_ms)
    }

    /// Forgets servers that departed long ago.
    pub(crate) fn expire_departed(&mut self, now: Moment) {
        self.departed.retain(|_, it| now.since(it.removed_at) < DEPARTED_RETENTION);
    }
}
