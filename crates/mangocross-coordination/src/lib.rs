//! Pure decisions that keep the promises: state and time in, decisions out.
//!
//! Nothing here does I/O, reads a clock or starts a thread.

mod assignment;
mod claim;
mod claim_commit;
mod claim_grant;
mod claim_key;
mod claim_layout;
mod claim_shard;
mod completeness;
mod freshness;
mod ownership;
mod proof_table;
mod reconcile;

pub use assignment::AssignmentError;
pub use assignment::form_group;
pub use assignment::remove_group;
pub use assignment::set_phase;
pub use assignment::take_over;
pub use assignment::validate;
pub use claim::Claim;
pub use claim::ClaimState;
pub use claim::RecordedAnswer;
pub use claim::RecordedBody;
pub use claim_commit::ClaimOperation;
pub use claim_commit::CommitEnd;
pub use claim_commit::CommitStep;
pub use claim_commit::ShardCommit;
pub use claim_commit::ShardCopy;
pub use claim_commit::ShardSwap;
pub use claim_commit::StoreReply;
pub use claim_grant::ClaimGrant;
pub use claim_key::ClaimDigest;
pub use claim_key::ClaimKey;
pub use claim_key::ClaimKeyError;
pub use claim_layout::ClaimLayout;
pub use claim_shard::ClaimDecision;
pub use claim_shard::ClaimRequest;
pub use claim_shard::ClaimShard;
pub use completeness::Completeness;
pub use completeness::MissingMember;
pub use completeness::MissingReason;
pub use completeness::ProbeTable;
pub use freshness::Freshness;
pub use freshness::FreshnessBounds;
pub use freshness::Permit;
pub use ownership::preferred_owner;
pub use proof_table::ProofTable;
pub use proof_table::ProvenGroup;
pub use reconcile::DomainInput;
pub use reconcile::EngineVm;
pub use reconcile::Step;
pub use reconcile::reconcile;
