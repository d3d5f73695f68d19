//! Condition for continuing to wait for response headers.

use std::fmt;
use std::sync::Arc;

/// Condition that a call checks periodically while it waits for the response headers.
#[derive(Clone)]
pub(crate) struct KeepWaiting(Arc<dyn Fn() -> bool + Send + Sync>);

impl KeepWaiting {
    pub(crate) fn new(keep_waiting: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(keep_waiting))
    }

    pub(crate) fn check(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for KeepWaiting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeepWaiting")
    }
}
