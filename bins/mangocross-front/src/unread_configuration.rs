//! What this VM does while it cannot read the newest version of the configuration.

use std::time::Duration;

use log::kv::Value;
use mangocross_platform::DecodeError;
use mangocross_platform::configuration_version;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::StoreRevision;

use crate::state::AppState;

/// Retry-After while the newest version cannot be read; operators have to write another one.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Reason of refusals, and of not being ready, meanwhile.
pub(crate) const UNREAD_REASON: &str = "the newest configuration cannot be read";

impl AppState {
    /// Records that the store or a relay showed a version that cannot be decoded.
    pub(crate) fn record_unread_configuration(
        &self,
        value: &[u8],
        revision: StoreRevision,
        error: &DecodeError,
    ) {
        let version = configuration_version(value);
        let in_use = self.configuration().map(|it| it.version);
        if self.view.borrow_mut().freshness.record_unread(version, revision, in_use) {
            log::error!(
                error:% = error, version = version.map_or(Value::null(), Value::from),
                in_use = in_use.map_or(Value::null(), Value::from), revision = revision.revision.0;
                "[8103] the newest configuration cannot be read: requests are refused"
            );
        }
    }

    /// Returns how to refuse requests while there is a newer version of the configuration than the one
    /// in use: what it takes away must not be served, and what it adds is not known.
    pub(crate) fn unread_refusal(&self) -> Option<Refusal> {
        self.view.borrow().freshness.lacks_newest().then(|| {
            Refusal::not_run(ResultCode::NotFresh, UNREAD_REASON).retry_after(UNREAD_RETRY_AFTER)
        })
    }
}
