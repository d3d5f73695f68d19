//! Applies operations to a shard of claims by compare-and-swap.

use mangocross_types::AttemptId;
use mangocross_types::Revision;

use crate::ClaimDecision;
use crate::ClaimDigest;
use crate::ClaimRequest;
use crate::ClaimShard;
use crate::ClaimState;

/// Maximum number of writes in one commit.
const SWAPS_MAX: u8 = 8;
/// Maximum number of reads in one commit.
const READS_MAX: u8 = 4;

/// An operation on one claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOperation {
    /// Claims a key.
    Begin(ClaimRequest),
    /// Records how the holder's attempt ended.
    Finish {
        /// Digest of the key.
        key: ClaimDigest,
        /// Attempt that holds the claim.
        holder: AttemptId,
        /// State to record.
        state: ClaimState,
    },
    /// Drops the claim of an attempt that has not sent the request and never will.
    Release {
        /// Digest of the key.
        key: ClaimDigest,
        /// Attempt that holds the claim.
        holder: AttemptId,
        /// If the reply to a write of this claim was lost: the newest revision that such a write
        /// was to replace. While the store still has that revision, the write may take effect.
        lost_write_revision: Option<Revision>,
    },
}

/// The next step of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CommitStep {
    /// Read the shard.
    Read,
    /// Write the shard if its revision is the expected one.
    Swap(ShardSwap),
    /// The commit has ended.
    End(CommitEnd),
}

/// A write of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardSwap {
    /// The expected revision; zero means absent.
    pub expected: Revision,
    /// The shard to write.
    pub shard: ClaimShard,
    decisions: Vec<Option<ClaimDecision>>,
}

/// How a commit ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CommitEnd {
    /// The store holds the effect of all operations.
    ///
    /// There is one entry for each operation; only those of [`ClaimOperation::Begin`] are `Some`.
    Committed(Vec<Option<ClaimDecision>>),
    /// The commit failed; if the reply to a write was lost, the operations may have taken effect.
    Failed {
        /// Whether the store failed, as opposed to contention on this shard.
        store_failed: bool,
        /// If the reply to a write was lost: the newest revision that such a write was to replace.
        /// While the store still has that revision, the write may take effect.
        ///
        /// `None` means that no reply was lost, so no operation took effect.
        lost_write_revision: Option<Revision>,
    },
}

/// The result of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreReply {
    /// The current shard, after a read or a conflicting write.
    Current(ShardCopy),
    /// The write took effect at this revision.
    Swapped(Revision),
    /// A read failed, or a write certainly had no effect.
    NoEffect,
    /// The reply to a write was lost: the write took effect, may still take effect, or never will.
    AnswerLost,
}

/// A copy of a shard with its revision; an absent shard is empty at revision zero.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ShardCopy {
    /// Revision of the shard in the store; zero if it is absent.
    pub revision: Revision,
    /// Claims of the shard at that revision.
    pub shard: ClaimShard,
}

/// A batch of operations on one shard that is being committed to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardCommit {
    operations: Vec<ClaimOperation>,
    copy: Option<ShardCopy>,
    lost_write_revision: Option<Revision>,
    swaps_left: u8,
    reads_left: u8,
    end: Option<CommitEnd>,
}

impl ShardCommit {
    /// Returns a commit that starts with a read.
    pub fn new(operations: Vec<ClaimOperation>) -> Self {
        Self {
            operations,
            copy: None,
            lost_write_revision: None,
            swaps_left: SWAPS_MAX,
            reads_left: READS_MAX,
            end: None,
        }
    }

    /// Returns the store call to make next, or how the commit ended.
    ///
    /// `now_s` is the wall-clock time in seconds since the Unix epoch. It is used only to decide
    /// whether an overdue claim is frozen.
    pub fn next_step(&self, now_s: u64) -> CommitStep {
        if let Some(end) = &self.end {
            return CommitStep::End(end.clone());
        }
        let Some(copy) = &self.copy else { return self.read_step() };
        let (shard, decisions) = self.apply_all(&copy.shard, now_s);
        if shard != copy.shard || self.may_be_overwritten(copy.revision) {
            return match self.swaps_left {
                0 => CommitStep::End(self.failure(self.lost_write_revision.is_some())),
                _ => CommitStep::Swap(ShardSwap { expected: copy.revision, shard, decisions }),
            };
        }
        CommitStep::End(CommitEnd::Committed(decisions))
    }

    /// Records the reply to the store call of a step.
    pub fn record_reply(&mut self, step: CommitStep, reply: StoreReply) {
        match (step, reply) {
            (CommitStep::End(_), _) => {}
            (CommitStep::Swap(swap), StoreReply::Swapped(_)) => {
                self.end = Some(CommitEnd::Committed(swap.decisions));
            }
            (CommitStep::Swap(_), StoreReply::Current(copy)) => {
                self.swaps_left -= 1;
                self.copy = Some(copy);
            }
            (CommitStep::Swap(swap), StoreReply::AnswerLost) => {
                self.swaps_left -= 1;
                self.lost_write_revision = self.lost_write_revision.max(Some(swap.expected));
                self.copy = None;
            }
            (CommitStep::Read, StoreReply::Current(copy)) => {
                self.reads_left -= 1;
                self.copy = Some(copy);
            }
            (CommitStep::Read | CommitStep::Swap(_), _) => self.end = Some(self.failure(true)),
        }
    }

    fn read_step(&self) -> CommitStep {
        match self.reads_left {
            0 => CommitStep::End(self.failure(true)),
            _ => CommitStep::Read,
        }
    }

    fn failure(&self, store_failed: bool) -> CommitEnd {
        CommitEnd::Failed { store_failed, lost_write_revision: self.lost_write_revision }
    }

    /// Returns whether a write whose reply was lost may still replace this revision.
    ///
    /// Any further write, even one that leaves the shard unchanged, rules that out.
    fn may_be_overwritten(&self, revision: Revision) -> bool {
        let released = self.operations.iter().filter_map(|it| match it {
            ClaimOperation::Release { lost_write_revision, .. } => *lost_write_revision,
            _ => None,
        });
        released.chain(self.lost_write_revision).any(|it| it >= revision)
    }

    fn apply_all(
        &self,
        shard: &ClaimShard,
        now_s: u64,
    ) -> (ClaimShard, Vec<Option<ClaimDecision>>) {
        let mut shard = shard.clone();
        let decisions: Vec<_> =
            self.operations.iter().map(|it| apply(&mut shard, it, now_s)).collect();
        let pairs = self.operations.iter().zip(decisions);
        let decisions =
            pairs.map(|(it, decision)| withdraw_dropped_grant(&shard, it, decision)).collect();
        (shard, decisions)
    }
}

fn apply(shard: &mut ClaimShard, operation: &ClaimOperation, now_s: u64) -> Option<ClaimDecision> {
    match operation {
        ClaimOperation::Begin(request) => return Some(shard.begin(request, now_s)),
        ClaimOperation::Finish { key, holder, state } => shard.finish(key, holder, state),
        ClaimOperation::Release { key, holder, .. } => shard.release(key, holder),
    }
    None
}

/// Replaces the decision `Granted` if a later operation of the same batch dropped the claim.
fn withdraw_dropped_grant(
    shard: &ClaimShard,
    operation: &ClaimOperation,
    decision: Option<ClaimDecision>,
) -> Option<ClaimDecision> {
    let (ClaimOperation::Begin(request), Some(ClaimDecision::Granted)) = (operation, &decision)
    else {
        return decision;
    };
    let stands = shard.claim(&request.key).is_some_and(|it| it.holder == request.claim.holder);
    Some(if stands { ClaimDecision::Granted } else { ClaimDecision::Expired })
}
