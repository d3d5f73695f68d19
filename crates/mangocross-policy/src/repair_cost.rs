//! The cost of a repair, or the saving by it.

use std::fmt;

use mangocross_types::PolicyParameters;

/// Group downtime and stranded accelerator time that a repair or waiting is expected
/// to cost, or the difference of two such costs.
///
/// As a gain it is what a repair saves compared with waiting; negative if it costs more.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RepairCost {
    /// Seconds of lost group service; a slow group loses a share of each second.
    pub group_downtime_s: f64,
    /// Accelerator-seconds of healthy VMs without a serving group.
    pub stranded_accelerator_s: f64,
}

impl RepairCost {
    /// Returns the sum of both, weighted as the operators configured.
    pub fn weighted(self, policy: &PolicyParameters) -> f64 {
        self.group_downtime_s * policy.group_downtime
            + self.stranded_accelerator_s * policy.stranded_accelerator
    }
}

impl fmt::Display for RepairCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.1} s of group downtime and {:.1} accelerator-seconds",
            self.group_downtime_s, self.stranded_accelerator_s
        )
    }
}
