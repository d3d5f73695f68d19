//! The list of entry VMs.

use std::sync::Arc;

use mangocross_serving::ListedEntryVm;
use mangocross_serving::Moment;
use mangocross_serving::RelayPlan;

use crate::peers::FULL_MESH_PEERS_MAX;
use crate::state::ClusterView;

impl ClusterView {
    /// Returns which entry VMs follow the store for the others.
    pub(crate) fn relay_plan(&self) -> RelayPlan {
        RelayPlan::new(self.entry_vms.iter())
    }

    /// Replaces or adds a listed entry VM.
    pub(crate) fn list_entry_vm(&mut self, name: Arc<str>, vm: ListedEntryVm, now: Moment) {
        self.missing_entry_vms.remove(&name);
        if self.entry_vms.insert(name, vm.clone()).as_ref() != Some(&vm) {
            self.entry_vms_changed_at = now;
        }
    }

    /// Removes an entry VM from the list, or keeps it for as long as its address may reappear after
    /// an outage of the store.
    pub(crate) fn unlist_entry_vm(&mut self, name: &str, now: Moment) {
        match self.missing.reappear_until(now).filter(|_| self.entry_vms.contains_key(name)) {
            Some(until) => {
                self.missing_entry_vms.entry(name.into()).or_insert(until);
            }
            None => self.remove_entry_vm(name, now),
        }
    }

    fn remove_entry_vm(&mut self, name: &str, now: Moment) {
        self.missing_entry_vms.remove(name);
        if self.entry_vms.remove(name).is_some() {
            self.entry_vms_changed_at = now;
        }
    }

    /// Removes the entry VMs whose addresses have not reappeared in time.
    pub(crate) fn unlist_gone_entry_vms(&mut self, now: Moment) {
        let is_gone = |(_, until): &(&Arc<str>, &Moment)| now >= **until;
        let gone: Vec<Arc<str>> =
            self.missing_entry_vms.iter().filter(is_gone).map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|it| self.remove_entry_vm(it, now));
    }

    /// Returns whether entry VMs exchange their counts through the planner.
    pub(crate) fn gets_counts_via_planner(&self, own_name: &str) -> bool {
        let others = self.entry_vms.keys().filter(|it| ***it != *own_name);
        others.count() > FULL_MESH_PEERS_MAX
    }

    pub(crate) fn entry_vm_count(&self) -> usize {
        self.entry_vms.len().max(self.loads.peer_count() + 1)
    }
}
