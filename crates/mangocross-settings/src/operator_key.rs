//! Authentication keys of the operators.

use std::collections::HashSet;

use mangocross_types::OperatorId;
use serde::Deserialize;

use crate::range::check_secret;

/// The key that authenticates an operator at a coordinator.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// The operator.
    pub operator: OperatorId,
    /// The secret key.
    pub key: String,
}

/// Checks that keys are long enough, consist of visible ASCII and are unique.
///
/// An operator may have several keys, so that a key can be replaced while it is in use.
pub(crate) fn check_operator_keys(keys: &[OperatorKey]) -> Result<(), String> {
    let mut seen = HashSet::new();
    for OperatorKey { operator, key } in keys {
        check_secret("operator_keys", key)?;
        let is_visible = |it: char| it.is_ascii_graphic();
        if !key.chars().all(is_visible) {
            return Err(format!(
                "the key of operator {operator} holds a space or a character that is not ASCII; use visible ASCII"
            ));
        }
        if !seen.insert(key) {
            return Err(format!(
                "operator {operator} has a key that stands twice; give each its own"
            ));
        }
    }
    Ok(())
}
