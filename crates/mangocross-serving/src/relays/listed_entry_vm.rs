//! An entry VM as listed in the store.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use mangocross_types::AvailabilityZone;

/// Fraction of a core from which more processor does not raise the capacity.
const FULL_CORE_SHARE: f64 = 0.25;
/// Link rate from which a faster link does not raise the capacity, in megabits per second.
const FULL_LINK_MBPS: f64 = 100.0;
/// Capacity of a VM with at least this core share and link rate.
const FULL_CAPACITY: f64 = 1000.0;

/// Address, availability zone and capacity of an entry VM.
///
/// The text form is `ADDRESS ZONE CAPACITY`. Older processes write the address only; such a
/// VM has no zone and is never a relay.
///
/// # Examples
///
/// ```
/// use mangocross_serving::ListedEntryVm;
///
/// let vm: ListedEntryVm = "10.1.0.40:7340 zone-a 1000".parse().unwrap();
/// assert_eq!(vm.capacity, 1000);
/// assert_eq!(vm.to_string(), "10.1.0.40:7340 zone-a 1000");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEntryVm {
    /// Address for messages between entry VMs, over UDP and TCP.
    pub address: SocketAddr,
    /// Availability zone; `None` if an older process wrote the entry.
    pub zone: Option<AvailabilityZone>,
    /// Capacity for work on behalf of other entry VMs, from 0 to 1000.
    pub capacity: u32,
}

impl ListedEntryVm {
    /// Creates the entry of a VM with this fraction of a core and this link rate.
    pub fn new(
        address: SocketAddr,
        zone: AvailabilityZone,
        core_share: f64,
        link_mbps: f64,
    ) -> Self {
        let core = (core_share / FULL_CORE_SHARE).clamp(0.0, 1.0);
        let link = (link_mbps / FULL_LINK_MBPS).clamp(0.0, 1.0);
        let capacity = (FULL_CAPACITY * core.min(link)) as u32;
        Self { address, zone: Some(zone), capacity }
    }

    /// Returns the capacity as a share of the largest one.
    pub fn capacity_share(&self) -> f64 {
        f64::from(self.capacity) / FULL_CAPACITY
    }
}

impl fmt::Display for ListedEntryVm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(f, "{} {zone} {}", self.address, self.capacity),
            None => write!(f, "{}", self.address),
        }
    }
}

impl FromStr for ListedEntryVm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = |what: &str| format!("`{text}` has no valid {what}");
        let mut words = text.split(' ');
        let address = words.next().and_then(|it| it.parse().ok());
        let address = address.ok_or_else(|| malformed("address"))?;
        let Some(zone) = words.next() else {
            return Ok(Self { address, zone: None, capacity: 0 });
        };
        let zone = zone.parse().map_err(|_| malformed("availability zone"))?;
        let capacity = words.next().and_then(|it| it.parse().ok());
        let capacity = capacity.ok_or_else(|| malformed("capacity"))?;
        Ok(Self { address, zone: Some(zone), capacity })
    }
}
