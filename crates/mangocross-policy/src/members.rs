//! Which VMs form a group.

use mangocross_types::GroupSize;
use mangocross_types::VmId;

/// Recent failures after which a VM is taken only when no other is left.
const FAILURES_MAX: u32 = 2;

/// A VM that may become a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberCandidate {
    /// The VM.
    pub vm: VmId,
    /// Whether the weights are on the VM.
    pub has_weights: bool,
    /// Whether the VM is leaving; such a VM is never taken.
    pub leaving: bool,
    /// Whether the VM is slow now; such a VM is never taken.
    pub straggling: bool,
    /// Times the VM went missing unannounced or straggled lately; restarts that
    /// were announced don't count.
    pub recent_failures: u32,
}

impl MemberCandidate {
    /// Returns a VM of which nothing is known but that it is idle.
    pub fn new(vm: VmId) -> Self {
        Self { vm, has_weights: false, leaving: false, straggling: false, recent_failures: 0 }
    }

    pub(crate) fn is_fit(&self) -> bool {
        !self.leaving && !self.straggling
    }
}

/// Chooses members, or `None` when there are too few.
///
/// VMs that fail again and again come last, VMs that hold the weights first.
pub fn choose_members(size: GroupSize, candidates: &[MemberCandidate]) -> Option<Vec<VmId>> {
    let mut fit: Vec<&MemberCandidate> = candidates.iter().filter(|it| it.is_fit()).collect();
    fit.sort_by_key(|it| {
        (it.recent_failures >= FAILURES_MAX, !it.has_weights, it.recent_failures, it.vm.clone())
    });
    fit.dedup_by(|a, b| a.vm == b.vm);
    let size = usize::from(size.0);
    (size > 0 && fit.len() >= size)
        .then(|| fit.into_iter().take(size).map(|it| it.vm.clone()).collect())
}
