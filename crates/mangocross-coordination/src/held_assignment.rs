//! A fabric domain's assignment as last read or written, and what it permits.

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

/// Which orders the holder of an assignment may give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAuthority {
    /// None: it is not the owner, or orders of the owner before may still be under way.
    None,
    /// Its ownership was not confirmed lately: only loads of engines that are in no group.
    IdleOnly,
    /// Any order that expires by this time.
    Full {
        /// When every order given under this confirmation has expired.
        deadline: Instant,
    },
}

/// A fabric domain's assignment as last read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAssignment {
    /// The assignment.
    pub assignment: DomainAssignment,
    /// Its revision in the store.
    pub revision: Revision,
    /// When the store was asked the last time that it named this revision as the newest.
    confirmed_at: Instant,
    /// When this fencing number was first seen in the store.
    owner_seen_at: Instant,
    /// When each group was first seen in its phase under this fencing number.
    phases_seen_at: HashMap<Incarnation, PhaseSeen>,
    /// When each VM was first seen registered under this fencing number.
    registered_at: HashMap<VmId, Instant>,
}

/// A phase with the time at which it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PhaseSeen {
    phase: GroupPhase,
    at: Instant,
}

impl HeldAssignment {
    /// Returns an assignment that the store named as the newest.
    ///
    /// The read or write was sent at `asked_at` and answered at `answered_at`.
    pub fn new(
        assignment: DomainAssignment,
        revision: Revision,
        asked_at: Instant,
        answered_at: Instant,
    ) -> Self {
        let seen = assignment
            .groups
            .iter()
            .map(|it| (it.incarnation, PhaseSeen { phase: it.phase, at: answered_at }));
        let phases_seen_at = seen.collect();
        let registered = assignment.registered.iter();
        let registered_at = registered.map(|vm| (vm.clone(), answered_at)).collect();
        Self {
            assignment,
            revision,
            confirmed_at: asked_at,
            owner_seen_at: answered_at,
            phases_seen_at,
            registered_at,
        }
    }

    /// Returns by when a VM was registered without a gap since.
    ///
    /// Under one fencing number only one process writes, and it reads a write
    /// back whose answer was lost, so it sees each gap.
    pub fn registered_at(&self, vm: &VmId) -> Option<Instant> {
        self.registered_at.get(vm).copied()
    }

    /// Returns by when all registered VMs were.
    pub fn all_registered_at(&self) -> Option<Instant> {
        self.registered_at.values().max().copied()
    }

    /// Returns when a group was first seen in its phase, by this owner.
    ///
    /// A new owner starts anew: it cannot know what was ordered meanwhile.
    pub fn phase_seen_at(&self, group: &GroupAssignment) -> Option<Instant> {
        self.phases_seen_at.get(&group.incarnation).map(|it| it.at)
    }

    /// Takes what the store named later, or in an answer that another one overtook.
    ///
    /// An older revision is ignored; the same one confirms what is held.
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
            for (vm, at) in &mut read.registered_at {
                *at = self.registered_at.get(vm).copied().unwrap_or(*at);
            }
        }
        if read.revision == self.revision {
            read.confirmed_at = read.confirmed_at.max(self.confirmed_at);
        }
        *self = read;
    }

    /// Returns whether a process is the recorded owner.
    ///
    /// A process that was started anew on the owner's VM is not.
    pub fn is_owned_by(&self, vm: &VmId, process_id: u64) -> bool {
        self.assignment.owner.as_ref() == Some(vm) && self.assignment.owner_process == process_id
    }

    /// Returns which orders a process may give at `now`.
    ///
    /// Every order but a load of an idle engine expires `lifetime` after the
    /// store last confirmed the owner. So once `lifetime` has passed since a
    /// takeover was seen in the store, no order of the owner before is under way, and a new owner of
    /// engines that ignore fencing numbers waits that long.
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

    /// Returns whether the store should be asked again before orders are given.
    pub fn needs_confirmation(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) >= lifetime / 2
    }
}
