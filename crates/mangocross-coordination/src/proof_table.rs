//! The proofs of completeness that a gateway holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::GroupProof;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::ModelVersion;

/// A group with an unexpired proof of completeness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProvenGroup {
    /// The group.
    pub group: GroupId,
    /// The proven incarnation.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// The version of the weights.
    pub model_version: ModelVersion,
    /// Address of rank zero.
    pub address: SocketAddr,
    /// When the proof expires.
    pub until: Instant,
    /// Whether new work may be sent.
    pub accepts_new: bool,
    /// Requests running and waiting, as last reported.
    pub load: u32,
    /// When `load` was measured, at the latest.
    pub load_measured_at: Instant,
    fencing_number: FencingNumber,
    asked_at: Instant,
}

/// The newest proof of each group.
#[derive(Debug, Clone, Default)]
pub struct ProofTable {
    by_group: HashMap<GroupId, ProvenGroup>,
}

impl ProofTable {
    /// Takes a proof from the reply to a poll that was sent at `asked_at`.
    ///
    /// A proof of an older fencing number or incarnation than the one held is
    /// ignored; so is an older word on the same incarnation. A proof without time
    /// left withdraws the group.
    pub fn record(&mut self, proof: &GroupProof, asked_at: Instant) {
        let rank = |it: &ProvenGroup| (it.fencing_number, it.incarnation, it.asked_at);
        let new = ProvenGroup {
            group: proof.group.clone(),
            incarnation: proof.incarnation,
            model: proof.model.clone(),
            model_version: proof.model_version.clone(),
            address: proof.address,
            until: asked_at + Duration::from_millis(proof.remaining_ms.into()),
            accepts_new: proof.accepts_new,
            load: proof.load,
            load_measured_at: asked_at,
            fencing_number: proof.fencing_number,
            asked_at,
        };
        match self.by_group.get(&proof.group) {
            Some(held) if rank(held) > rank(&new) => {}
            _ => {
                self.by_group.insert(proof.group.clone(), new);
            }
        }
    }

    /// Returns the groups that are proven complete at `now`.
    pub fn proven(&self, now: Instant) -> impl Iterator<Item = &ProvenGroup> {
        self.by_group.values().filter(move |it| now < it.until)
    }

    /// Returns a group's proof if it is unexpired at `now`.
    pub fn get(&self, group: &GroupId, now: Instant) -> Option<&ProvenGroup> {
        self.by_group.get(group).filter(|it| now < it.until)
    }

    /// Forgets proofs that expired more than `age` ago.
    pub fn forget_expired(&mut self, now: Instant, age: Duration) {
        self.by_group.retain(|_, it| now < it.until + age);
    }
}
