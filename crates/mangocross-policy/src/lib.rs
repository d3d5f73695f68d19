//! Pure decision functions: placement, repair, load order, routing, limits and
//! retries.
//!
//! Nothing here does I/O, reads a clock or starts a thread. The caller provides
//! the seed of random choices. Own requests are those that the calling process sent.

mod admission;
mod backoff;
mod cache_feed;
mod concurrency;
mod fair_share;
mod first_token;
mod load_estimate;
mod load_order;
mod members;
mod pace;
mod placement;
mod prefix_table;
mod preload;
mod repair;
mod repair_cost;
mod retry_budget;
mod retry_schedule;
mod routing;
mod share;

pub use admission::AdmissionDecision;
pub use admission::AdmissionLimiter;
pub use admission::AdmissionRequest;
pub use admission::AdmissionView;
pub use admission::OtherUsage;
pub use backoff::full_jitter;
pub use backoff::spread_retry_after;
pub use cache_feed::CacheFeed;
pub use cache_feed::PublishedEvent;
pub use concurrency::ConcurrencyLimit;
pub use fair_share::fair_level;
pub use first_token::FirstTokenTimes;
pub use load_estimate::LoadEstimate;
pub use load_order::PendingLoad;
pub use load_order::RunningLoad;
pub use load_order::choose_loads;
pub use members::MemberCandidate;
pub use members::choose_members;
pub use pace::PaceLimits;
pub use pace::PaceStatus;
pub use pace::TokenTimes;
pub use placement::DomainCapacity;
pub use placement::choose_domain;
pub use prefix_table::CacheEvent;
pub use prefix_table::CacheSequence;
pub use prefix_table::PrefixHash;
pub use prefix_table::PrefixResidency;
pub use prefix_table::PrefixTable;
pub use preload::Preload;
pub use preload::PreloadNeed;
pub use preload::PreloadSpare;
pub use preload::choose_preloads;
pub use preload::preload_slots;
pub use repair::BrokenGroup;
pub use repair::Donor;
pub use repair::MemberCondition;
pub use repair::RepairDecision;
pub use repair::RepairPlan;
pub use repair::RepairTimes;
pub use repair::UnhealthyMember;
pub use repair::decide_repair;
pub use repair_cost::RepairCost;
pub use retry_budget::RetryBudget;
pub use routing::Candidate;
pub use routing::choose_group;
pub use share::gateway_share;
