//! Waits for the silence of servers.

use std::time::Duration;

use tokio::time::Instant;

/// Delay of a timer from which this process counts as having paused.
const LATE_WAKE: Duration = Duration::from_millis(100);
/// Time to read what servers sent during a pause of this process.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Waits until a server that sends nothing has been silent until `until`.
///
/// After a pause of this process, what servers sent meanwhile has not been read yet.
pub(crate) async fn wait_for_silence(until: Instant) {
    // A time that has passed before the wait says nothing of a pause during it.
    let due_at = until.max(Instant::now());
    tokio::time::sleep_until(due_at).await;
    if due_at.elapsed() > LATE_WAKE {
        tokio::time::sleep(CATCH_UP_TIME).await;
    }
}
