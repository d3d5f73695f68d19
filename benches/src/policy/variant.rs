//! Options of a simulation: policy variant, cache event feed and user.

use mangocross_types::PolicyParameters;

/// The policy that makes the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyVariant {
    /// First fit, first idle VM, immediate repair or wait, round robin, immediate retry.
    Naive,
    /// The project's policy.
    Project,
}

/// Which cache events the gateways receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheFeedMode {
    /// None: a gateway predicts cached prefixes from its own requests only.
    None,
    /// All groups' events, delayed and with some batches lost.
    Events,
}

/// The user whose policy weights apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Weights group downtime higher.
    Mwakalinga,
    /// Weights stranded accelerators higher.
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

    /// Returns the user's policy parameters.
    pub fn policy(self) -> PolicyParameters {
        let (group_downtime, stranded_accelerator) = match self {
            Self::Mwakalinga => (10.0, 1.0),
            Self::Cakaren => (1.0, 2.0),
        };
        PolicyParameters { group_downtime, stranded_accelerator, ..PolicyParameters::default() }
    }
}
