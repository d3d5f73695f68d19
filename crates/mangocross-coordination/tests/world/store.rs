//! Reads and writes of the store.

use mangocross_coordination::validate_assignment;
use mangocross_types::DomainAssignment;
use mangocross_types::Revision;

use super::Event;
use super::STORE_TIMEOUT;
use super::StoreValue;
use super::World;
use super::coordinator::ReadPurpose;

impl World {
    pub(super) fn send_read(&mut self, coordinator: usize, purpose: ReadPurpose) {
        let (to, sent_at, delay) = (self.process(coordinator), self.now, self.delay());
        if purpose != ReadPurpose::Refresh {
            self.coordinators[coordinator].busy_until = Some(self.now + STORE_TIMEOUT);
        }
        self.schedule(delay, Event::ReadAtStore { to, purpose, sent_at });
    }

    pub(super) fn send_write(
        &mut self,
        coordinator: usize,
        next: DomainAssignment,
        expected: Revision,
    ) {
        let (to, sent_at, delay) = (self.process(coordinator), self.now, self.late_delay());
        self.coordinators[coordinator].busy_until = Some(self.now + STORE_TIMEOUT);
        self.schedule(delay, Event::WriteAtStore { to, sent_at, next, expected });
    }

    /// Writes by compare-and-swap; every value stored is checked.
    pub(super) fn write(&mut self, next: DomainAssignment, expected: Revision) {
        if self.store.revision != expected {
            return;
        }
        let seed = self.seed;
        validate_assignment(&next).unwrap_or_else(|it| panic!("seed {seed}: {it}"));
        for group in &next.groups {
            let known = self.members_of.entry(group.incarnation).or_insert(group.members.clone());
            assert_eq!(*known, group.members, "seed {seed}: one incarnation, two memberships");
        }
        let revision = Revision(self.store.revision.0 + 1);
        self.store = StoreValue { assignment: Some(next), revision };
    }
}
