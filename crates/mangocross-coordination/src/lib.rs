//! Pure decisions that keep the promises: state and time in, decisions out.
//!
//! Nothing here does I/O, reads a clock or starts a thread.

mod acceptance;
mod assignment;
mod completeness;
mod freshness;
mod membership;
mod ownership;
mod proof_table;
mod quorum;
mod reconcile;

pub use acceptance::Acceptance;
pub use acceptance::AcceptanceCandidate;
pub use acceptance::AcceptanceTracker;
pub use acceptance::Lacking;
pub use acceptance::LackingProcess;
pub use acceptance::Sighting;
pub use assignment::AssignmentError;
pub use assignment::form_group;
pub use assignment::remove_group;
pub use assignment::set_phase;
pub use assignment::take_over;
pub use assignment::validate;
pub use completeness::Completeness;
pub use completeness::MissingMember;
pub use completeness::MissingReason;
pub use completeness::ProbeTable;
pub use freshness::Freshness;
pub use freshness::FreshnessBounds;
pub use freshness::Permit;
pub use freshness::Vouch;
pub use membership::MembershipError;
pub use membership::check_membership;
pub use ownership::preferred_owner;
pub use proof_table::ProofTable;
pub use proof_table::ProvenGroup;
pub use quorum::Voucher;
pub use reconcile::DomainInput;
pub use reconcile::EngineVm;
pub use reconcile::Step;
pub use reconcile::reconcile;
