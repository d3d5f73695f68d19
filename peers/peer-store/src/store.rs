//! The store's interface, and helpers for JSON values.

use std::fmt::Debug;
use std::time::Duration;

use mangocross_types::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CasOutcome;
use crate::Entry;
use crate::StoreError;
use crate::StoreErrorKind;

/// The platform's store: keys with values and revisions, written by compare-and-swap.
pub trait Store: Debug + Send + Sync {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or refuses the call, or if its answer is lost or
    /// unreadable.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads all values whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or refuses the call, or if its answer is lost or
    /// unreadable.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError>;

    /// Writes a value if the key still has the expected revision; zero means that the key must be
    /// absent.
    ///
    /// # Errors
    ///
    /// [`StoreErrorKind::Unavailable`] means no effect;
    /// [`StoreErrorKind::AnswerLost`] means that the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<CasOutcome, StoreError>;

    /// Waits up to `timeout` until the key has a revision above `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or refuses the call, or if its answer is lost or
    /// unreadable.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<Entry>, StoreError>;
}

/// Reads a JSON value with its revision, which is zero if the key is absent.
///
/// # Errors
///
/// As [`Store::get`]; also fails if the value is not JSON of the expected form.
pub fn read_json<T: DeserializeOwned>(
    store: &dyn Store,
    key: &str,
) -> Result<(Option<T>, Revision), StoreError> {
    match store.get(key)? {
        None => Ok((None, Revision(0))),
        Some(entry) => Ok((Some(parse(&entry)?), entry.revision)),
    }
}

/// Writes a JSON value by compare-and-swap; if the answer is lost, reads the value back to find
/// out whether the write took effect.
///
/// Returns the new revision, or `None` if the key has another value.
///
/// # Errors
///
/// [`StoreErrorKind::AnswerLost`] only if the value could not be read back either.
///
/// # Panics
///
/// Panics if the value has no JSON form.
pub fn swap_json<T: Serialize>(
    store: &dyn Store,
    key: &str,
    expected: Revision,
    value: &T,
) -> Result<Option<Revision>, StoreError> {
    let text = serde_json::to_string(value).expect("the value has a JSON form");
    match store.compare_and_swap(key, expected, &text) {
        Ok(CasOutcome::Swapped(revision)) => Ok(Some(revision)),
        Ok(CasOutcome::Conflict(current)) => Ok(own_write_revision(current, expected, &text)),
        Err(error) if error.kind == StoreErrorKind::AnswerLost => match store.get(key) {
            Ok(current) => Ok(own_write_revision(current, expected, &text)),
            Err(_) => Err(error),
        },
        Err(error) => Err(error),
    }
}

/// Returns the current revision if the current value is the one written.
///
/// A conflict with the caller's own value occurs when the transport delivered an earlier write
/// that was considered lost.
fn own_write_revision(current: Option<Entry>, expected: Revision, text: &str) -> Option<Revision> {
    let entry = current?;
    (entry.value == text && entry.revision > expected).then_some(entry.revision)
}

fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<T, StoreError> {
    serde_json::from_str(&entry.value).map_err(|it| StoreError {
        kind: StoreErrorKind::Malformed,
        key: entry.key.clone(),
        message: it.to_string(),
    })
}
