//! Possible causes of crashes that answers proved innocent.

use std::collections::HashMap;
use std::time::Duration;

use crate::CrashCause;
use crate::Moment;
use crate::ServerProcess;

/// Time for which a cause is sound after an answer.
const SOUND_KEPT: Duration = Duration::from_secs(120);
/// Maximum number of causes.
const CAUSES_MAX: usize = 4096;
/// Maximum number of processes whose crashes an answer has explained, for each cause.
const CLEARED_MAX: usize = 24;

#[derive(Debug, Clone)]
struct Proof {
    at: Moment,
    /// When this VM last had an answer itself.
    own_at: Option<Moment>,
    /// Processes whose crashes no longer count, also if a late message tells of them.
    cleared: Vec<ServerProcess>,
}

/// Causes that answers proved sound lately.
#[derive(Debug, Default)]
pub(crate) struct SoundCauses {
    proofs: HashMap<CrashCause, Proof>,
}

impl SoundCauses {
    pub(crate) fn contains(&self, cause: &CrashCause) -> bool {
        self.proofs.contains_key(cause)
    }

    /// Returns when a cause was last proved sound.
    pub(crate) fn proved_at(&self, cause: &CrashCause) -> Option<Moment> {
        Some(self.proofs.get(cause)?.at)
    }

    /// Returns when an answer that this VM had itself last proved a cause sound.
    pub(crate) fn answered_at(&self, cause: &CrashCause) -> Option<Moment> {
        self.proofs.get(cause)?.own_at
    }

    /// Returns whether the crash of a process says nothing of a cause. A part is sound for a while; a
    /// whole request may be answered and crash servers later, so only earlier crashes are settled.
    pub(crate) fn settles(&self, cause: &CrashCause, server: &ServerProcess, at: Moment) -> bool {
        self.proofs
            .get(cause)
            .is_some_and(|it| !cause.is_request() || at <= it.at || it.cleared.contains(server))
    }

    /// Records that an answer proved a cause sound, and the processes whose crashes counted until
    /// then.
    pub(crate) fn record(
        &mut self,
        cause: CrashCause,
        cleared: impl Iterator<Item = ServerProcess>,
        at: Moment,
    ) {
        if self.proofs.len() >= CAUSES_MAX && !self.proofs.contains_key(&cause) {
            self.forget_oldest_half();
        }
        let proof =
            self.proofs.entry(cause).or_insert(Proof { at, own_at: None, cleared: Vec::new() });
        proof.at = proof.at.max(at);
        proof.cleared.extend(cleared);
        let surplus = proof.cleared.len().saturating_sub(CLEARED_MAX);
        proof.cleared.drain(..surplus);
    }

    /// Records that a proof is an answer that this VM had itself.
    pub(crate) fn record_own(&mut self, cause: &CrashCause, at: Moment) {
        if let Some(proof) = self.proofs.get_mut(cause) {
            proof.own_at = Some(at);
        }
    }

    /// Returns whether a proof of this age still counts.
    pub(crate) fn is_recent(age: Duration) -> bool {
        age < SOUND_KEPT
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.proofs.retain(|_, it| Self::is_recent(now.since(it.at)));
    }

    fn forget_oldest_half(&mut self) {
        let mut times: Vec<Moment> = self.proofs.values().map(|it| it.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.proofs.retain(|_, it| it.at > median);
    }
}
