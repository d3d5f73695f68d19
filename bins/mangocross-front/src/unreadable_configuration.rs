//! What this VM does while it cannot read the newest version of the configuration.

use std::time::Duration;

use log::kv::Value;
use mangocross_platform::DecodeError;
use mangocross_platform::configuration_version;
use mangocross_serving::TrafficConfiguration;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::StoreRevision;

use crate::state::AppState;

/// Retry-After while the newest version cannot be read; operators have to write another one.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Reason of refusals, and of not being ready, meanwhile.
pub(crate) const UNREADABLE_REASON: &str = "the newest configuration cannot be read";

/// Maximum number of unreadable parts of one version that are logged.
const LOGGED_PARTS_MAX: usize = 8;

/// Returns how to refuse a request that a part of the configuration is about which cannot be read.
pub(crate) fn unreadable_part_refusal() -> Refusal {
    let message = "a part of the configuration cannot be read";
    Refusal::not_run(ResultCode::NotFresh, message).retry_after(UNREADABLE_RETRY_AFTER)
}

/// Logs the parts of a version that cannot be read; the others are in force.
pub(crate) fn log_unreadable_parts(configuration: &TrafficConfiguration) {
    let reasons = &configuration.unreadable.reasons;
    for (part, error) in reasons.iter().take(LOGGED_PARTS_MAX) {
        log::error!(
            version = configuration.version, part = part.as_str(), error = error.as_str(),
            parts = reasons.len();
            "[8104] a part of the configuration cannot be read: its requests are refused"
        );
    }
}

impl AppState {
    /// Records that the store or a relay showed a version that cannot be decoded.
    pub(crate) fn record_unreadable_configuration(
        &self,
        value: &[u8],
        revision: StoreRevision,
        error: &DecodeError,
    ) {
        let version = configuration_version(value);
        let in_use = self.configuration().map(|it| it.version);
        if self.view.borrow_mut().freshness.record_unreadable(version, revision, in_use) {
            log::error!(
                error:% = error, version = version.map_or(Value::null(), Value::from),
                in_use = in_use.map_or(Value::null(), Value::from), revision = revision.revision.0;
                "[8103] the newest configuration cannot be read: requests are refused"
            );
        }
    }

    /// Returns how to refuse requests while there is a newer version of the configuration than the one
    /// in use: what it takes away must not be served, and what it adds is not known.
    pub(crate) fn unreadable_refusal(&self) -> Option<Refusal> {
        self.view.borrow().freshness.lacks_newest().then(|| {
            Refusal::not_run(ResultCode::NotFresh, UNREADABLE_REASON)
                .retry_after(UNREADABLE_RETRY_AFTER)
        })
    }
}
