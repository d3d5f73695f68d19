//! Shutdown of the process after SIGTERM.

use std::rc::Rc;
use std::time::Duration;

use mangocross_serving::Moment;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::ingress::CallerConnections;
use crate::state::AppState;

/// Time for which the balancer may still send new callers: two failed checks, one per second.
const BALANCER_DRAIN_DURATION: Duration = Duration::from_millis(2600);
/// Time after SIGTERM in which all requests are accepted; nearly all end in the rest of the grace
/// period.
const ACCEPT_WINDOW: Duration = Duration::from_millis(2800);
/// Time that the last answer before the exit takes to be sent.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Fraction of the grace period after which the process exits in any case.
const GRACE_RATIO: f64 = 0.94;
/// Time between checks for connections that are still open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the log thread to write the last lines.
pub(crate) const LOG_FLUSH_DELAY: Duration = Duration::from_millis(20);

impl AppState {
    /// Returns the time until the last answers are to be sent before the process exits; `None` before
    /// SIGTERM.
    pub(crate) fn time_until_exit(&self) -> Option<Duration> {
        let since = self.now().since(self.stopping_since.get()?);
        Some(exit_after(self).saturating_sub(since + LAST_ANSWER_TIME))
    }

    /// Waits until the last answers are to be sent before the process exits.
    pub(crate) async fn wait_until_last_answers(&self) {
        loop {
            let stop_begun = self.stop_begun.notified();
            match self.time_until_exit() {
                Some(it) if it.is_zero() => return,
                Some(it) => tokio::time::sleep(it).await,
                None => stop_begun.await,
            }
        }
    }

    /// Returns whether a request that takes this long is to be refused, since the process may exit
    /// before its end.
    pub(crate) fn is_too_late_for(&self, duration: Duration) -> bool {
        let since = self.stopping_since.get().map(|it| self.now().since(it));
        since.is_some_and(|it| it > ACCEPT_WINDOW)
            && self.time_until_exit().is_some_and(|it| it < duration)
    }
}

/// Returns the time after SIGTERM at which the process exits in any case.
fn exit_after(state: &AppState) -> Duration {
    state.bounds().stop_grace.mul_f64(GRACE_RATIO)
}

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
    state.stop_begun.notify_waiters();
    state.lease_wakeup.notify_one();
    log::info!(in_progress = state.requests_in_progress.get(); "stopping");
    tokio::time::sleep(BALANCER_DRAIN_DURATION).await;
    callers.close_idle();
    drain(state, &callers, began_at).await;
    callers.stop_accepting().await;
    // The last connections may have been accepted after the others were closed.
    drain(state, &callers, began_at).await;
    log::info!(
        in_progress = state.requests_in_progress.get(), connections = callers.count();
        "callers served"
    );
}

/// Closes connections as they become idle until none is left and the requests that other entry VMs
/// passed on are answered, or the process must exit.
async fn drain(state: &AppState, callers: &CallerConnections, began_at: Moment) {
    let is_in_use = || callers.count() > 0 || state.requests_in_progress.get() > 0;
    while is_in_use() && state.now().since(began_at) < exit_after(state) {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        callers.close_idle();
    }
}
