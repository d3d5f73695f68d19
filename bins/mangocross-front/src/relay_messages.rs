//! Questions of entry VMs to relays, and their answers.

use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::RelayedChanges;
use mangocross_serving::RelayedOutage;
use mangocross_types::StoreRevision;
use serde::Deserialize;
use serde::Serialize;

/// Path of questions on the port for traffic between entry VMs, with the version of their form.
pub(crate) const CHANGES_PATH: &str = "/changes/3";
/// Maximum size of a question.
pub(crate) const QUESTION_BYTES_MAX: usize = 1 << 10;
/// Maximum size of an answer; a snapshot with a large configuration takes about 1 MB.
pub(crate) const ANSWER_BYTES_MAX: usize = 16 << 20;

/// A question for changes of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayQuestion {
    /// Name of the asking entry VM.
    pub(crate) from: Arc<str>,
    /// Changes after this revision are asked for.
    pub(crate) after: StoreRevision,
    /// Time to wait for changes.
    pub(crate) wait: Duration,
}

/// The answer to a [`RelayQuestion`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RelayAnswer {
    /// This VM does not follow the store, or has not read it yet.
    NotFollowing,
    /// This VM has lost the store, or reads it anew after a loss.
    StoreLost,
    /// Changes up to a revision.
    Changes {
        /// All changes up to this revision are known to the relay.
        revision: StoreRevision,
        changes: RelayedChanges,
        confirmation: Option<RelayedConfirmation>,
        /// Told while entries may reappear that expired while the relay was without the store.
        outage: Option<RelayedOutage>,
    },
}

/// A confirmation by the store that the configuration is the newest one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayedConfirmation {
    /// Time from the arrival of the question to the answer.
    pub(crate) held: Duration,
    /// Time from the relay's request to the store to this answer.
    pub(crate) age: Duration,
}
