//! Durations derived from the settings.

use std::time::Duration;

use mangocross_policy::RepairTimes;
use mangocross_types::PolicyParameters;

use crate::state::CoordinatorState;

/// Expected time to load weights that are already on the VM.
const LOCAL_LOAD_TIME: Duration = Duration::from_secs(1);

impl CoordinatorState {
    /// Returns how long an answer to a probe is valid.
    pub(crate) fn probe_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.health_lease_ms)
    }

    /// Returns how long an engine may fail all probes before it is replaced.
    pub(crate) fn lost_after(&self) -> Duration {
        Duration::from_millis(self.settings.lost_ms)
    }

    /// Returns how long an engine may fail all probes before an idle VM that holds the weights
    /// replaces it.
    pub(crate) fn lost_after_with_spare(&self) -> Duration {
        Duration::from_millis(self.settings.lost_with_spare_ms)
    }

    /// Returns the maximum time from sending an order to its deadline, after which engines drop it.
    pub(crate) fn order_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.order_deadline_ms)
    }

    /// Returns the times that decide between repairing a group and waiting for its member.
    pub(crate) fn repair_times(&self, policy: &PolicyParameters) -> RepairTimes {
        RepairTimes {
            load: Duration::from_millis(self.settings.expected_load_ms),
            concurrent_loads: policy.concurrent_loads,
            loads_before: 0,
            warm_load: LOCAL_LOAD_TIME,
            restart: Duration::from_millis(self.settings.expected_restart_ms),
        }
    }

    /// Returns how long a member with requests may make no progress.
    pub(crate) fn stall_limit(&self) -> Duration {
        Duration::from_millis(self.settings.stall_ms)
    }
}
