//! What operators write to the store.

use serde_json::Value;
use serde_json::json;

use super::Store;

/// Returns the store key that evacuates a zone.
pub(crate) fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// Restricts a route or a customer of the configuration to regions.
pub(crate) fn restrict_to(entry: &mut Value, regions: &[&str]) {
    entry["allowed_regions"] = json!(regions);
}

impl Store {
    /// Writes any bytes as the operators' configuration.
    pub(crate) fn configure_bytes(&self, value: Vec<u8>) {
        self.put_bytes("op/config", value);
    }
}
