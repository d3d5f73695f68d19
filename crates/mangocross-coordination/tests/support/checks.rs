//! Acceptance of revisions, and the check that no gateway serves under an older one.

use mangocross_coordination::AcceptanceCandidate;
use mangocross_coordination::RevisionObservation;
use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;

use super::World;
use super::endpoint;

impl World {
    pub(super) fn check_acceptance(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.now;
            let own = endpoint(&self.nodes[index]);
            let members = self.members_at(index);
            let node = &mut self.nodes[index];
            if node.coordinator.frozen {
                continue;
            }
            let reply = node.coordinator.freshness.freshness_reply(&members, now);
            let observation = RevisionObservation {
                process_id: node.coordinator.id,
                revision: reply.newest_known,
                sent_at: now,
                received_at: now,
            };
            node.tracker.record_coordinator(own, reply.established, &observation);
            let written = std::mem::take(&mut node.written);
            let mut waiting = Vec::new();
            for it in written {
                match self.is_accepted(index, it.revision, it.base.as_deref()) {
                    true => self.accept(it.revision),
                    false => waiting.push(it),
                }
            }
            self.nodes[index].written = waiting;
            // A repeated command may reach another coordinator.
            let newest = self.newest();
            if self.rng.bool() && self.is_accepted(index, newest, None) {
                self.accept(newest);
            }
        }
    }

    pub(super) fn accept(&mut self, revision: Revision) {
        self.accepted_count += 1;
        self.accepted = self.accepted.max(revision);
    }

    pub(super) fn is_accepted(
        &mut self,
        node: usize,
        revision: Revision,
        base: Option<&[EntryVmSpec]>,
    ) -> bool {
        let candidate = AcceptanceCandidate {
            revision,
            entry_vms: &self.documents[&revision],
            previous_entry_vms: base,
        };
        self.nodes[node].tracker.update_acceptance(&candidate, self.now).is_accepted()
    }

    pub(super) fn check_serving_revision(&mut self) -> Result<(), String> {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.gateway.frozen || !self.serves(index) {
                continue;
            }
            self.served += 1;
            let in_force = node.gateway.freshness.in_force();
            if in_force < self.accepted {
                return Err(format!(
                    "step {}: {} serves under {in_force} though {} was accepted",
                    self.step, node.vm, self.accepted
                ));
            }
        }
        Ok(())
    }
}
