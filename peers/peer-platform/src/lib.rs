//! Client of the platform: its list of VMs and its weight store.

mod client;

pub use client::PlatformClient;
pub use client::VmList;
pub use client::WeightStoreUsage;
