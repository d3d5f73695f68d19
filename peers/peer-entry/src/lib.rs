//! Messages between the processes of entry VMs: UDP polls and TCP fetches.

mod delta;
mod drops;
mod fetch;
mod frame;
mod messages;
mod poller;
mod responder;
mod timed_stream;

pub use delta::Delta;
pub use drops::DropReason;
pub use fetch::ConfigurationDocument;
pub use fetch::FetchError;
pub use fetch::FetchServer;
pub use fetch::FetchSource;
pub use fetch::fetch_configuration;
pub use fetch::fetch_failure;
pub use frame::FrameError;
pub use frame::PeerKey;
pub use messages::CacheChange;
pub use messages::CustomerUsage;
pub use messages::DomainSummary;
pub use messages::GroupCacheEvents;
pub use messages::LeavingVm;
pub use messages::PassedCacheEvent;
pub use messages::Poll;
pub use messages::PollReply;
pub use messages::ProcessRole;
pub use messages::ReplyStamp;
pub use messages::RequestFailure;
pub use messages::ServiceServer;
pub use poller::PollTiming;
pub use poller::Poller;
pub use poller::PollerHandler;
pub use responder::PollResponder;
