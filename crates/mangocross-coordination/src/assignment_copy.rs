//! A fabric domain's assignment as last read or written, and the orders that it permits.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::DomainAssignment;
use mangocross_types::FenceMode;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::Incarnation;
use mangocross_types::Revision;
use mangocross_types::VmId;

/// Which orders a process may give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAuthority {
    /// None: it is not the owner, or orders of the previous owner may still be in flight.
    None,
    /// Only loads of engines that are in no group, since its ownership was not confirmed recently.
    IdleOnly,
    /// Any order that expires by this time.
    Full {
        /// When every order given under this confirmation has expired.
        deadline: Instant,
    },
}

/// A fabric domain's assignment as last read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignmentCopy {
    /// Assignment as stored at `revision`.
    pub assignment: DomainAssignment,
    /// Its revision in the store.
    pub revision: Revision,
    /// When the last store call that returned this revision as the newest was sent.
    confirmed_at: Instant,
    /// When this fencing number was first seen in the store.
    owner_seen_at: Instant,
    /// When each group was first seen in its phase under this fencing number.
    phases_seen_at: HashMap<Incarnation, PhaseSeen>,
    /// Since when each VM has been registered or in a group without interruption, as seen under
    /// this fencing number.
    vms_held_since: HashMap<VmId, Instant>,
}

/// A phase with the time at which it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PhaseSeen {
    phase: GroupPhase,
    at: Instant,
}

impl AssignmentCopy {
    /// Returns an assignment that the store returned as the newest.
    ///
    /// The read or write was sent at `sent_at` and answered at `answered_at`.
    pub fn new(
        assignment: DomainAssignment,
        revision: Revision,
        sent_at: Instant,
        answered_at: Instant,
    ) -> Self {
        let seen = assignment
            .groups
            .iter()
            .map(|it| (it.incarnation, PhaseSeen { phase: it.phase, at: answered_at }));
        let phases_seen_at = seen.collect();
        let held_vms = assignment.held_vms();
        let vms_held_since = held_vms.map(|vm| (vm.clone(), answered_at)).collect();
        Self {
            assignment,
            revision,
            confirmed_at: sent_at,
            owner_seen_at: answered_at,
            phases_seen_at,
            vms_held_since,
        }
    }

    /// Returns since when a VM has been registered or in a group without interruption, as seen
    /// under this fencing number; `None` if it is neither.
    ///
    /// Under one fencing number only one process writes, and it reads the value again after a write
    /// whose reply was lost, so it notices every interruption.
    pub fn vm_held_since(&self, vm: &VmId) -> Option<Instant> {
        self.vms_held_since.get(vm).copied()
    }

    /// Returns since when all registered VMs have been registered or in a group without
    /// interruption, as seen under this fencing number; `None` if none is registered.
    pub fn all_registered_since(&self) -> Option<Instant> {
        self.assignment.registered.iter().filter_map(|it| self.vm_held_since(it)).max()
    }

    /// Returns when this owner first saw a group in its phase.
    ///
    /// The times count from the first read under a new fencing number, since a new owner cannot
    /// know which orders were given before.
    pub fn phase_seen_at(&self, group: &GroupAssignment) -> Option<Instant> {
        self.phases_seen_at.get(&group.incarnation).map(|it| it.at)
    }

    /// Replaces the assignment with one from another store reply; replies may arrive out of order.
    ///
    /// An older revision is ignored; the same revision renews the confirmation.
    pub fn update(&mut self, mut read: Self) {
        if read.revision < self.revision {
            return;
        }
        if read.assignment.fencing_number == self.assignment.fencing_number {
            read.owner_seen_at = self.owner_seen_at;
            for (incarnation, seen) in &mut read.phases_seen_at {
                let before = self.phases_seen_at.get(incarnation);
                *seen = *before.filter(|it| it.phase == seen.phase).unwrap_or(seen);
            }
            for (vm, at) in &mut read.vms_held_since {
                *at = self.vms_held_since.get(vm).copied().unwrap_or(*at);
            }
        }
        if read.revision == self.revision {
            read.confirmed_at = read.confirmed_at.max(self.confirmed_at);
        }
        *self = read;
    }

    /// Returns whether a process is the recorded owner.
    ///
    /// A process that was restarted on the owner's VM is not.
    pub fn is_owned_by(&self, vm: &VmId, process_id: u64) -> bool {
        self.assignment.owner.as_ref() == Some(vm) && self.assignment.owner_process == process_id
    }

    /// Returns which orders a process may give at `now`.
    ///
    /// Every order except a load of an idle engine expires `lifetime` after the store last
    /// confirmed the owner. Once `lifetime` has passed since a takeover was seen in the store, no
    /// order of the previous owner is in flight, so a new owner of engines that ignore fencing
    /// numbers waits that long.
    pub fn authority(
        &self,
        vm: &VmId,
        process_id: u64,
        fence_mode: FenceMode,
        lifetime: Duration,
        now: Instant,
    ) -> OrderAuthority {
        let waits = fence_mode == FenceMode::Ignored && now < self.owner_seen_at + lifetime;
        if !self.is_owned_by(vm, process_id) || waits {
            return OrderAuthority::None;
        }
        if self.needs_confirmation(lifetime, now) {
            return OrderAuthority::IdleOnly;
        }
        OrderAuthority::Full { deadline: self.confirmed_at + lifetime }
    }

    /// Returns whether the assignment should be read from the store again before orders are given.
    pub fn needs_confirmation(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) >= lifetime / 2
    }
}
