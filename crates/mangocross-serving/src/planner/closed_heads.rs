//! Heads that no longer serve although the platform still lists them as open.

use mangocross_types::Revision;
use mangocross_types::VmId;

use super::GroupPlanner;
use super::TrackedServer;
use crate::Membership;

impl GroupPlanner {
    /// Returns the listed open heads to which nothing should be sent: those that do not respond,
    /// and those of incarnations that the plan has replaced or dissolved.
    ///
    /// The platform removes the entry of a server that ended only after several heartbeats, and
    /// each entry VM that learns of the end by itself loses the time of a failed connection.
    ///
    /// To a VM that is isolated, silence shows nothing.
    pub fn closed_heads(&self) -> Vec<VmId> {
        let is_isolated = self.is_isolated();
        let is_closed = |vm: &VmId, it: &TrackedServer| {
            let is_ended = match is_isolated {
                true => it.health.refuses_connections(),
                false => it.health.is_unresponsive(),
            };
            (is_ended && !self.progressing.contains(vm)) || self.is_replaced(it)
        };
        let open = self
            .servers
            .iter()
            .filter(|(_, it)| it.unlisted_at.is_none() && it.server.accepts_requests());
        open.filter(|(vm, it)| is_closed(vm, it)).map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns whether the stored plan of its domain has replaced or dissolved the group that a
    /// server heads.
    fn is_replaced(&self, tracked: &TrackedServer) -> bool {
        let engine = &tracked.server.engine;
        let (Some(domain), Some(membership)) = (&engine.domain, &engine.membership) else {
            return false;
        };
        let Membership { group, incarnation, .. } = membership;
        let Some(stored) = self.plans.get(domain).filter(|it| it.revision.revision > Revision(0))
        else {
            return false;
        };
        // A plan that has not allocated the incarnation yet is older than the group.
        let is_known = incarnation.0 < stored.plan.next_incarnation;
        let is_current =
            stored.plan.groups.iter().any(|it| {
                it.group == *group && it.incarnation == *incarnation && !it.is_dissolving
            });
        is_known && !is_current
    }
}
