//! The health leases that a gateway holds.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::FabricDomain;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::HealthLease;
use mangocross_types::Incarnation;
use mangocross_types::ModelId;
use mangocross_types::ModelVersion;

/// A group with a health lease, which confirms that every member of the group is ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasedGroup {
    /// The group's id.
    pub group: GroupId,
    /// The fabric domain to which the group is assigned.
    pub domain: FabricDomain,
    /// The incarnation for which the lease was granted.
    pub incarnation: Incarnation,
    /// The model that it serves.
    pub model: ModelId,
    /// The version of the weights.
    pub model_version: ModelVersion,
    /// Address of rank zero.
    pub address: SocketAddr,
    /// When the lease expires.
    pub until: Instant,
    /// Whether the group accepts new requests.
    pub accepts_new: bool,
    /// Requests running and waiting, as last reported.
    pub load: u32,
    /// When the poll that returned `load` was sent.
    pub load_polled_at: Instant,
    fencing_number: FencingNumber,
    sent_at: Instant,
}

/// A group in one fabric domain.
///
/// A group that moves is in two domains, whose fencing numbers cannot be compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupPlacement {
    group: GroupId,
    domain: FabricDomain,
}

/// The newest health lease of each group in each fabric domain.
#[derive(Debug, Clone, Default)]
pub struct HealthLeaseTable {
    by_placement: HashMap<GroupPlacement, LeasedGroup>,
}

impl HealthLeaseTable {
    /// Records a health lease from the reply to a poll that was sent at `sent_at`.
    ///
    /// It is ignored if the table has a lease of the same fabric domain with a newer fencing number
    /// or incarnation, or a newer lease of the same incarnation. Of two replies to the same poll,
    /// which the network may deliver twice, the more restrictive one is kept. A lease with no time
    /// left withdraws the group.
    pub fn record(&mut self, lease: &HealthLease, sent_at: Instant) {
        let precedence = |it: &LeasedGroup| {
            let restriction = (!it.accepts_new, Reverse(it.until));
            (it.fencing_number, it.incarnation, it.sent_at, restriction)
        };
        let new = LeasedGroup {
            group: lease.group.clone(),
            domain: lease.domain.clone(),
            incarnation: lease.incarnation,
            model: lease.model.clone(),
            model_version: lease.model_version.clone(),
            address: lease.address,
            until: sent_at + Duration::from_millis(lease.remaining_ms.into()),
            accepts_new: lease.accepts_new,
            load: lease.load,
            load_polled_at: sent_at,
            fencing_number: lease.fencing_number,
            sent_at,
        };
        let placement = GroupPlacement { group: lease.group.clone(), domain: lease.domain.clone() };
        match self.by_placement.get(&placement) {
            Some(held) if precedence(held) > precedence(&new) => {}
            _ => {
                self.by_placement.insert(placement, new);
            }
        }
    }

    /// Returns the groups whose health leases are valid at `now`.
    pub fn valid(&self, now: Instant) -> impl Iterator<Item = &LeasedGroup> {
        self.by_placement.values().filter(move |it| now < it.until)
    }

    /// Returns a group's health lease if it is valid at `now`.
    ///
    /// For a group that moves, the lease that accepts new requests takes precedence.
    pub fn get(&self, group: &GroupId, now: Instant) -> Option<&LeasedGroup> {
        let valid = self.valid(now).filter(|it| it.group == *group);
        valid.max_by_key(|it| (it.accepts_new, it.until))
    }

    /// Removes leases that expired more than `age` ago.
    pub fn remove_expired(&mut self, now: Instant, age: Duration) {
        self.by_placement.retain(|_, it| now < it.until + age);
    }
}
