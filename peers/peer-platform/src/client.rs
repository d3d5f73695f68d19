//! Client of the platform's HTTP interface.

use std::net::SocketAddr;

use mangocross_http::CallError;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::VmListEntry;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest answer, in bytes: more than four times a list of 7,000 VMs at about 250 bytes each.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The platform's list of VMs, which lags behind their state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs that the platform lists.
    pub vms: Vec<VmListEntry>,
    /// Age of the list in milliseconds, as reported by the platform.
    pub age_ms: u64,
}

/// How many weight loads the weight store is serving, and its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreUsage {
    /// Weight loads in progress.
    pub loads_running: u32,
    /// Maximum number of concurrent weight loads.
    pub loads_max: u32,
}

/// Client of the platform's HTTP interface: the list of VMs and the usage of the weight store.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    client: HttpClient,
}

impl PlatformClient {
    /// Returns a client of the platform at an address.
    pub fn open(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::open() }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub fn vm_list(&self) -> Result<VmList, CallError> {
        self.get("/v1/vms")
    }

    /// Reads how many weight loads the weight store is serving, and its limit.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub fn weight_store_usage(&self) -> Result<WeightStoreUsage, CallError> {
        self.get("/v1/weights")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let call = HttpCall::new(HttpMethod::Get, self.address, path);
        self.client.call(call.timeouts(HttpTimeouts::default()))?.read_json(ANSWER_BYTES_MAX)
    }
}
