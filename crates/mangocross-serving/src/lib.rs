//! Decision logic of a front: routes, configuration freshness, admission, routing,
//! retries and the lifecycle of model groups.
//!
//! The crate is pure: it does no I/O, reads no clock and starts no thread.

mod admission;
mod backend_server;
mod event_splitter;
mod first_attempts;
mod freshness;
mod load_table;
mod missing_servers;
mod moment;
mod planner;
mod progress;
mod retry_budget;
mod server_choice;
mod traffic;

pub use admission::Admission;
pub use admission::Candidates;
pub use admission::GroupTimes;
pub use admission::HeadLoad;
pub use admission::StreamDemand;
pub use admission::admit;
pub use backend_server::BackendServer;
pub use backend_server::EngineOrder;
pub use backend_server::EngineReport;
pub use backend_server::EngineStatus;
pub use backend_server::MemberPhase;
pub use backend_server::Membership;
pub use backend_server::OrderOutcome;
pub use event_splitter::EventSplitter;
pub use event_splitter::EventTooLong;
pub use first_attempts::LongestDeadlines;
pub use freshness::ConfigurationFreshness;
pub use load_table::Load;
pub use load_table::LoadTable;
pub use missing_servers::MissingServers;
pub use missing_servers::Removal;
pub use moment::BootClock;
pub use moment::Moment;
pub use planner::DomainPlan;
pub use planner::FormerHead;
pub use planner::GroupPlanner;
pub use planner::PlannedGroup;
pub use planner::PlannedMember;
pub use planner::PlannerAction;
pub use planner::Probe;
pub use progress::ProgressTable;
pub use retry_budget::RetryBounds;
pub use retry_budget::RetryBudget;
pub use server_choice::FailureTable;
pub use server_choice::ServerLoad;
pub use traffic::BackendService;
pub use traffic::CallerLimits;
pub use traffic::EngineSpec;
pub use traffic::KeyHolder;
pub use traffic::ModelSpec;
pub use traffic::RetryPolicy;
pub use traffic::RouteRule;
pub use traffic::RouteTarget;
pub use traffic::TrafficConfiguration;
