//! Shutdown of the process after SIGTERM.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::ingress::CallerConnections;
use crate::state::AppState;

/// Time for which the balancer may still send new callers: two failed checks, one per second.
const BALANCER_DRAIN_DURATION: Duration = Duration::from_millis(2600);
/// Fraction of the grace period after which the process exits in any case.
const GRACE_RATIO: f64 = 0.94;
/// Time between checks for connections that are still open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the log thread to write the last lines.
pub(crate) const LOG_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, then closes callers' connections as they become idle, until none is left or
/// most of the grace period is over.
pub(crate) async fn shut_down_on_sigterm(state: &Rc<AppState>, callers: Rc<CallerConnections>) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(it) => it,
        Err(error) => {
            log::error!(error:% = error; "SIGTERM cannot be received");
            return std::future::pending().await;
        }
    };
    terminate.recv().await;
    let began_at = state.now();
    state.stopping_since.set(Some(began_at));
    state.lease_wakeup.notify_one();
    log::info!(in_progress = state.requests_in_progress.get(); "stopping");
    tokio::time::sleep(BALANCER_DRAIN_DURATION).await;
    callers.close_idle();
    let grace = state.bounds().stop_grace.mul_f64(GRACE_RATIO);
    while callers.count() > 0 && state.now().since(began_at) < grace {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        callers.close_idle();
    }
    callers.stop_accepting();
    log::info!(
        in_progress = state.requests_in_progress.get(), connections = callers.count();
        "callers served"
    );
}
