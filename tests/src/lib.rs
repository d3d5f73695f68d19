//! Harness for tests with real processes: embedded stand-ins, gateways and
//! coordinators that can be killed and frozen, and relays that cut and
//! silence connections and drop, delay, repeat and reorder datagrams.

mod caller;
mod cluster;
mod cluster_builder;
pub mod groups;
mod process;
mod raw;
mod relay;
pub mod soak;
mod udp_relay;

pub use caller::Answer;
pub use caller::Caller;
pub use caller::CallerRequest;
pub use caller::new_key;
pub use cluster::Cluster;
pub use cluster::PeerProcess;
pub use cluster_builder::ClusterBuilder;
pub use process::Process;
pub use raw::RawAnswer;
pub use raw::RawConnection;
pub use relay::Relay;
pub use relay::RelayMode;
pub use udp_relay::LinkMode;
pub use udp_relay::UdpRelay;
