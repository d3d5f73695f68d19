//! Which version of the decisions runs, and at whose weights.

use mangocross_types::PolicyWeights;

/// The version of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyVariant {
    /// First fit, first idle VM, repair at once or wait, round robin, retry at once.
    Naive,
    /// The project's policy.
    Project,
}

/// Which cache events reach the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheFeedMode {
    /// None: a gateway knows of its own requests only.
    None,
    /// All, late and with gaps.
    Events,
}

/// Whose weights are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Group downtime weighs more.
    Mwakalinga,
    /// Stranded accelerators weigh more.
    Cakaren,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Mwakalinga, Self::Cakaren];

    /// Returns the user's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Mwakalinga => "mwakalinga",
            Self::Cakaren => "cakaren",
        }
    }

    /// Returns the user's weights.
    pub fn weights(self) -> PolicyWeights {
        let (group_downtime, stranded_accelerator) = match self {
            Self::Mwakalinga => (10.0, 1.0),
            Self::Cakaren => (1.0, 2.0),
        };
        PolicyWeights { group_downtime, stranded_accelerator, ..PolicyWeights::default() }
    }
}
