//! Messages between the processes of entry VMs: UDP polls and TCP fetches.

mod messages;

pub use messages::CustomerUsage;
pub use messages::Poll;
pub use messages::PollReply;
pub use messages::ProcessRole;
