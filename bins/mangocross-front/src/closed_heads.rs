//! Heads that no longer serve, as told by the planner.

use std::collections::BTreeSet;
use std::time::Duration;

use mangocross_serving::Moment;
use mangocross_types::VmId;

/// Time after which the planner's word expires; it is repeated with the counts.
const AGE_MAX: Duration = Duration::from_millis(1000);

/// Open heads to which nothing should be sent.
#[derive(Debug, Default)]
pub(crate) struct ClosedHeads {
    heads: BTreeSet<VmId>,
    told_at: Moment,
}

impl ClosedHeads {
    /// Replaces the heads; returns whether they differ from those before.
    pub(crate) fn replace(&mut self, heads: Vec<VmId>, now: Moment) -> bool {
        let heads: BTreeSet<VmId> = heads.into_iter().collect();
        let is_changed = heads != self.heads;
        self.heads = heads;
        self.told_at = now;
        is_changed
    }

    pub(crate) fn contains(&self, vm: &VmId, now: Moment) -> bool {
        self.heads.contains(vm) && now.since(self.told_at) < AGE_MAX
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.heads.iter()
    }
}
