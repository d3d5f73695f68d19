//! The expected saving of a move.

use std::fmt;

use mangocross_types::PolicyWeights;

/// Group downtime and stranded accelerator time that a move is expected to save
/// compared with doing nothing; negative for a cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gain {
    /// Saved seconds of group downtime.
    pub group_downtime_s: f64,
    /// Saved accelerator-seconds.
    pub stranded_accelerator_s: f64,
}

impl Gain {
    /// Returns the gain as a sum weighted by the operators' weights.
    pub fn weighted(self, weights: &PolicyWeights) -> f64 {
        self.group_downtime_s * weights.group_downtime
            + self.stranded_accelerator_s * weights.stranded_accelerator
    }
}

impl fmt::Display for Gain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "saves {:.1} s of group downtime and {:.1} accelerator-seconds",
            self.group_downtime_s, self.stranded_accelerator_s
        )
    }
}
