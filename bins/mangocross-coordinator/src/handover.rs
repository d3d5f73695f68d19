//! A planned stop: other coordinators take over this one's fabric domains before it exits.

use std::thread;
use std::time::Duration;

use signal_hook::iterator::Signals;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Longest wait for other coordinators to take over.
const TAKEOVER_WAIT_MAX: Duration = Duration::from_secs(10);
/// Time between checks whether the awaited condition holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitResult {
    Fulfilled,
    TimedOut,
    Signalled,
}

/// Waits until other coordinators own this one's fabric domains and gateways have received health
/// leases from them.
///
/// Meanwhile replies report that this coordinator is stopping, so that the others no longer count
/// it as live. It continues to probe its groups and to issue their health leases, so that they
/// stay in service. A second signal ends the wait.
pub(crate) fn run(state: &CoordinatorState, signals: &mut Signals) {
    state.stop();
    if !owns_any(state) {
        return;
    }
    // Without another live coordinator there is none to take over.
    let is_done = || !owns_any(state) || state.live_coordinators().len() == 1;
    match wait(signals, TAKEOVER_WAIT_MAX, is_done) {
        WaitResult::Fulfilled => {}
        WaitResult::TimedOut => return log::warn!("no other coordinator took over in time"),
        WaitResult::Signalled => return,
    }
    // Gateways receive health leases from the new owners within the probe TTL.
    let never = || false;
    if wait(signals, state.probe_ttl(), never) == WaitResult::TimedOut {
        log::info!("other coordinators have taken over");
    }
}

/// Waits until the condition holds, the limit is reached or a signal arrives.
fn wait(signals: &mut Signals, limit: Duration, condition: impl Fn() -> bool) -> WaitResult {
    let checks = limit.as_millis() / CHECK_INTERVAL.as_millis();
    for _ in 0..checks {
        if condition() {
            return WaitResult::Fulfilled;
        }
        if signals.pending().next().is_some() {
            return WaitResult::Signalled;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    WaitResult::TimedOut
}

fn owns_any(state: &CoordinatorState) -> bool {
    let own = (&state.settings.vm, state.process_id);
    lock(&state.assignments).values().any(|it| it.is_owned_by(own.0, own.1))
}
