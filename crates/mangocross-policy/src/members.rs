//! Chooses the VMs that form a group.

use mangocross_types::GroupSize;
use mangocross_types::VmId;

/// Number of recent failures from which a VM is chosen only if too few others are left.
const LAST_RESORT_FAILURES: u32 = 2;

/// A VM that may become a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberCandidate {
    /// VM of the candidate.
    pub vm: VmId,
    /// Whether the weights are on the VM.
    pub has_weights: bool,
    /// Whether the VM is leaving; such a VM is never chosen.
    pub leaving: bool,
    /// Whether the VM is slow now; such a VM is never chosen.
    pub straggling: bool,
    /// Recent unannounced outages and slow phases; announced restarts don't
    /// count.
    pub recent_failures: u32,
}

impl MemberCandidate {
    /// Returns an idle VM without weights and without known problems.
    pub fn new(vm: VmId) -> Self {
        Self { vm, has_weights: false, leaving: false, straggling: false, recent_failures: 0 }
    }

    pub(crate) fn is_eligible(&self) -> bool {
        !self.leaving && !self.straggling
    }
}

/// Chooses members, or `None` when there are too few.
///
/// VMs that hold the weights come first, VMs that fail repeatedly last.
pub fn choose_members(size: GroupSize, candidates: &[MemberCandidate]) -> Option<Vec<VmId>> {
    let mut eligible: Vec<&MemberCandidate> =
        candidates.iter().filter(|it| it.is_eligible()).collect();
    eligible.sort_by_key(|it| {
        (
            it.recent_failures >= LAST_RESORT_FAILURES,
            !it.has_weights,
            it.recent_failures,
            it.vm.clone(),
        )
    });
    eligible.dedup_by(|a, b| a.vm == b.vm);
    let size = usize::from(size.0);
    (size > 0 && eligible.len() >= size)
        .then(|| eligible.into_iter().take(size).map(|it| it.vm.clone()).collect())
}
