//! Pure decisions that keep the promises: state and time in, decisions out.
//!
//! Nothing here does I/O, reads a clock or starts a thread.

mod assignment;
mod completeness;
mod engine_vm;
mod freshness;
mod group_life;
mod held_assignment;
mod leaving;
mod orders;
mod ownership;
mod placing;
mod proof_table;
mod reconcile;
mod takeover_backoff;

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
pub use engine_vm::EngineVm;
pub use freshness::Freshness;
pub use freshness::FreshnessBounds;
pub use freshness::Permit;
pub use group_life::stuck_groups;
pub use held_assignment::HeldAssignment;
pub use held_assignment::OrderAuthority;
pub use leaving::LeavingTable;
pub use ownership::preferred_owner;
pub use placing::DomainState;
pub use placing::plan_placements;
pub use proof_table::ProofTable;
pub use proof_table::ProvenGroup;
pub use reconcile::DomainInput;
pub use reconcile::Step;
pub use reconcile::reconcile;
pub use takeover_backoff::TakeoverBackoff;
