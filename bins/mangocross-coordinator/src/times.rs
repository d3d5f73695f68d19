//! Times from the settings, as the decisions take them.

use std::time::Duration;

use mangocross_policy::RepairTimes;
use mangocross_types::PolicyWeights;

use crate::state::CoordinatorState;

/// Expected time to load weights that are on the VM already.
const WARM_LOAD: Duration = Duration::from_secs(1);

impl CoordinatorState {
    /// How long an answer to a probe counts.
    pub(crate) fn probe_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.health_lease_ms)
    }

    /// How long an engine may fail all probes before it is replaced.
    pub(crate) fn lost_after(&self) -> Duration {
        Duration::from_millis(self.settings.lost_ms)
    }

    /// The same where an idle VM that holds the weights can take its place.
    pub(crate) fn lost_after_with_spare(&self) -> Duration {
        Duration::from_millis(self.settings.lost_with_spare_ms)
    }

    /// Longest time that an order can be under way.
    pub(crate) fn order_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.order_deadline_ms)
    }

    /// Times that the choice between repair and waiting rests on.
    pub(crate) fn repair_times(&self, weights: &PolicyWeights) -> RepairTimes {
        RepairTimes {
            load: Duration::from_millis(self.settings.expected_load_ms),
            concurrent_loads: weights.concurrent_loads,
            loads_before: 0,
            warm_load: WARM_LOAD,
            restart: Duration::from_millis(self.settings.expected_restart_ms),
        }
    }

    /// How long a member with work may make no progress.
    pub(crate) fn stall_limit(&self) -> Duration {
        Duration::from_millis(self.settings.stall_ms)
    }
}
