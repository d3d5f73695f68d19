//! The end of the process after SIGTERM.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::front::Front;
use crate::ingress::Callers;

/// Time for which the balancer may still send new callers: two missed questions, one a second.
const BALANCER_NOTICE: Duration = Duration::from_millis(2600);
/// Part of the grace after which the process ends in any case.
const GRACE_PART: f64 = 0.94;
/// Time between looks whether requests are still in progress.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the log's thread to write the last lines.
pub(crate) const LAST_LINES: Duration = Duration::from_millis(20);

/// Waits for SIGTERM, then until callers have been served or the grace is over.
pub(crate) async fn wait(front: &Rc<Front>, callers: Rc<Callers>) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(it) => it,
        Err(error) => {
            log::error!(error:% = error; "SIGTERM cannot be received");
            return std::future::pending().await;
        }
    };
    terminate.recv().await;
    let began_at = front.now();
    front.stopping_since.set(Some(began_at));
    front.planner_vacant.notify_one();
    log::info!(in_progress = front.requests_in_progress.get(); "stopping");
    tokio::time::sleep(BALANCER_NOTICE).await;
    callers.close_idle();
    let grace = front.promises().stop_grace.mul_f64(GRACE_PART);
    while callers.count() > 0 && front.now().since(began_at) < grace {
        tokio::time::sleep(LOOK_INTERVAL).await;
        callers.close_idle();
    }
    callers.stop_accepting();
    log::info!(
        in_progress = front.requests_in_progress.get(), connections = callers.count();
        "callers served"
    );
}
