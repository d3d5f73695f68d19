//! Engines that lose the store, the planner or each other, and engines that crash.

use std::time::Duration;

use mangocross_types::VmId;

use super::Connectivity;
use super::Engine;
use super::Simulation;

/// Time without a renewal after which the platform removes an entry: three heartbeats.
pub(crate) const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

impl Simulation {
    /// Changes some of the engines.
    pub(crate) fn update(&mut self, vms: &[VmId], change: impl Fn(&mut Engine)) {
        for vm in vms {
            change(self.engines.get_mut(vm).expect("an engine"));
        }
    }

    /// Changes how engines respond to the planner.
    pub(crate) fn connect(&mut self, vms: &[VmId], connectivity: Connectivity) {
        self.update(vms, |it| it.connectivity = connectivity);
    }

    /// Cuts engines off the store: their entries stay as they are and expire.
    pub(crate) fn cut_from_store(&mut self, vms: &[VmId]) {
        let now = self.now;
        self.update(vms, |it| {
            it.last_entry.get_or_insert_with(|| (it.server.clone(), now));
        });
    }

    /// Reconnects engines to the store: those that run write their entries again.
    pub(crate) fn reconnect_to_store(&mut self, vms: &[VmId]) {
        self.update(vms, |it| {
            if it.is_running() {
                it.last_entry = None;
                it.is_listed = true;
            }
        });
    }

    /// Ends the processes of engines; their entries expire.
    pub(crate) fn crash(&mut self, vms: &[VmId]) {
        self.cut_from_store(vms);
        self.connect(vms, Connectivity::NoProcess);
    }

    /// Starts engines again under their ids.
    pub(crate) fn start_again(&mut self, vms: &[VmId]) {
        vms.iter().for_each(|it| self.restart(it));
        self.reconnect_to_store(vms);
    }

    /// Lets time pass without a decision of the planner.
    pub(crate) fn pause_planner(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Returns the engines of a head's group, the head first.
    pub(crate) fn members_of(&self, head: &VmId) -> Vec<VmId> {
        self.engines[head].members.clone()
    }

    pub(super) fn expire_entries(&mut self) {
        let now = self.now;
        let is_expired =
            |it: &Engine| it.last_entry.as_ref().is_some_and(|it| now.since(it.1) > ENTRY_EXPIRY);
        self.engines.values_mut().filter(|it| is_expired(it)).for_each(|it| it.is_listed = false);
    }
}
