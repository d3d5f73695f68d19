//! Fabric domains in evacuated zones.

use std::collections::HashSet;

use mangocross_types::AvailabilityZone;
use mangocross_types::FabricDomain;

use super::GroupPlanner;

impl GroupPlanner {
    /// Replaces the evacuated zones.
    ///
    /// Domains with servers there are left as they are until they are taken back: they get no orders and
    /// their plans do not change. Their groups do not count as supply of their models, so that others
    /// are formed elsewhere.
    pub fn set_evacuated_zones(&mut self, zones: HashSet<AvailabilityZone>) {
        self.evacuated_zones = zones;
    }

    /// Returns whether a domain has servers in an evacuated zone.
    pub(super) fn is_evacuated(&self, domain: &FabricDomain) -> bool {
        !self.evacuated_zones.is_empty()
            && self.in_domain(domain).any(|(_, it)| self.evacuated_zones.contains(&it.server.zone))
    }
}
