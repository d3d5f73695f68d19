//! Counters of dropped frames by reason.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::FrameError;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Shorter than a frame's header.
    Short,
    /// Written in a version other than this process's.
    Version,
    /// Damaged, or authenticated with another key.
    Tag,
    /// Body that is not the expected message.
    Body,
    /// Not a reply to a poll of this process, or from another address than the one polled.
    Unsolicited,
    /// Reply to a poll that is older than the age limit of replies.
    TooOld,
}

impl DropReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [Self; 6] =
        [Self::Short, Self::Version, Self::Tag, Self::Body, Self::Unsolicited, Self::TooOld];

    /// Returns the metric label of the reason.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Version => "version",
            Self::Tag => "tag",
            Self::Body => "body",
            Self::Unsolicited => "unasked",
            Self::TooOld => "too_old",
        }
    }
}

impl From<FrameError> for DropReason {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Short => Self::Short,
            FrameError::Version { .. } => Self::Version,
            FrameError::Tag => Self::Tag,
            FrameError::Body => Self::Body,
        }
    }
}

/// Dropped frames by reason.
#[derive(Debug, Default)]
pub(crate) struct DropCounters([AtomicU64; DropReason::ALL.len()]);

impl DropCounters {
    pub(crate) fn count(&self, reason: DropReason) {
        self.0[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self, reason: DropReason) -> u64 {
        self.0[reason as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn total(&self) -> u64 {
        DropReason::ALL.into_iter().map(|it| self.get(it)).sum()
    }
}
