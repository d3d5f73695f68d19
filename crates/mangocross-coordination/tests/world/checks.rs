//! Invariants that hold at all times, and those that hold once the faults have ended.

use mangocross_types::GroupPhase;
use mangocross_types::Rank;

use super::PROBE_TTL;
use super::World;

impl World {
    /// Checks that all members of each group with a valid health lease were ready at some time in
    /// the last [`PROBE_TTL`].
    pub(super) fn check_health_leases(&self) {
        for health_lease in self.gateway.valid(self.now) {
            let members = &self.members_of[&health_lease.incarnation];
            for (rank, vm) in (0..).map(Rank).zip(members) {
                let engine = &self.engines[self.engine(vm)];
                let member = (&health_lease.group, health_lease.incarnation, rank);
                assert!(
                    engine.was_ready(member, self.now - PROBE_TTL, self.now),
                    "seed {}: {} has a valid health lease without {vm}",
                    self.seed,
                    health_lease.group
                );
            }
        }
    }

    /// Checks that every wanted group serves once the faults have ended, and that the gateway holds
    /// its health lease.
    pub(super) fn check_recovered(&self) {
        let assignment = self.store.assignment.as_ref().expect("an assignment was written");
        for spec in &self.configuration.1.groups {
            let group = assignment.groups.iter().find(|it| it.group == spec.id);
            let health_lease = self.gateway.get(&spec.id, self.now);
            let serves = group.is_some_and(|it| it.phase == GroupPhase::Serving)
                && health_lease.is_some_and(|it| it.accepts_new);
            assert!(serves, "seed {}: {} does not serve at the end: {group:?}", self.seed, spec.id);
        }
    }
}
