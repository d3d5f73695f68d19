//! Shared identifiers, outcomes, result codes and documents of mangocross.
//!
//! No I/O and no threads; only implementations of [`Clock`] read a clock. The
//! serialisable types are the interface between the system's processes, the
//! platform's store, backend servers and operators.

mod assignment;
mod clock;
mod configuration;
mod health_lease;
mod ids;
mod nearest;
mod numbers;
mod outcome;
mod placements;
mod prompt_part;
mod refusal;
mod report;
mod result_code;
mod vm;

pub use assignment::DomainAssignment;
pub use assignment::GroupAssignment;
pub use assignment::GroupPhase;
pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use configuration::Configuration;
pub use configuration::CustomerSpec;
pub use configuration::DesiredState;
pub use configuration::EntryVmSpec;
pub use configuration::FenceMode;
pub use configuration::GroupSpec;
pub use configuration::KindSpec;
pub use configuration::KindTarget;
pub use configuration::PolicyParameters;
pub use configuration::RecentCommand;
pub use configuration::ServiceSpec;
pub use health_lease::HealthLease;
pub use ids::AttemptId;
pub use ids::AvailabilityZone;
pub use ids::CommandId;
pub use ids::CustomerId;
pub use ids::FabricDomain;
pub use ids::GroupId;
pub use ids::IdError;
pub use ids::ModelId;
pub use ids::ModelVersion;
pub use ids::OperatorId;
pub use ids::RequestId;
pub use ids::RequestKind;
pub use ids::ServiceId;
pub use ids::VmId;
pub use nearest::closest_word;
pub use nearest::did_you_mean;
pub use numbers::FencingNumber;
pub use numbers::GroupSize;
pub use numbers::Incarnation;
pub use numbers::NumberError;
pub use numbers::Priority;
pub use numbers::Rank;
pub use numbers::RequestsPerSecond;
pub use numbers::Revision;
pub use numbers::TokenIndex;
pub use outcome::RunOutcome;
pub use placements::Placement;
pub use placements::Placements;
pub use prompt_part::PromptPartId;
pub use refusal::Refusal;
pub use report::BackendReport;
pub use report::EngineRole;
pub use report::EngineState;
pub use report::Order;
pub use report::OrderAnswer;
pub use report::OrderKind;
pub use result_code::ResultCode;
pub use vm::VmListEntry;
pub use vm::VmRole;
pub use vm::VmState;
