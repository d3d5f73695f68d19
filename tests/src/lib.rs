//! Harness for tests with real processes: embedded stand-ins, gateways and
//! coordinators that can be killed and frozen, and a relay whose connections
//! can be cut or silenced.

mod caller;
mod cluster;
mod process;
mod raw;
mod relay;
pub mod soak;

pub use caller::Answer;
pub use caller::Caller;
pub use caller::Outgoing;
pub use caller::new_key;
pub use cluster::Cluster;
pub use cluster::ClusterBuilder;
pub use process::Process;
pub use raw::RawAnswer;
pub use raw::RawConnection;
pub use relay::Relay;
pub use relay::RelayMode;
