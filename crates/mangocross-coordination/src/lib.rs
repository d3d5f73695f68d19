//! Pure decisions that keep the promises: state and time in, decisions out.
//!
//! Nothing here does I/O, reads a clock or starts a thread.

mod answer_progress;
mod assignment;
mod completeness;
mod freshness;
mod ownership;
mod proof_table;
mod reconcile;

pub use answer_progress::AnswerProgress;
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
pub use ownership::preferred_owner;
pub use proof_table::ProofTable;
pub use proof_table::ProvenGroup;
pub use reconcile::DomainInput;
pub use reconcile::EngineVm;
pub use reconcile::Step;
pub use reconcile::reconcile;
