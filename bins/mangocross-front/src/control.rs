//! Periodic checks: marks heads of stalled groups, removes missing servers and
//! expired entries, and updates the gauges.

use std::rc::Rc;
use std::time::Duration;

use mangocross_serving::Moment;
use mangocross_serving::SilenceChecks;
use mangocross_types::VmId;

use crate::state::AppState;

/// Time between checks for stalled groups.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Checks between two removals of expired entries.
const CHECKS_PER_EXPIRY: u32 = 10;

/// Checks between two updates of the gauges, so that the totals in the log are current.
const CHECKS_PER_GAUGE_UPDATE: u32 = 100;

/// Starts the task that makes the periodic checks.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let mut ticker = tokio::time::interval(CHECK_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut checks = 0;
        let mut silence_checks = SilenceChecks::new(CHECK_INTERVAL, state.now());
        loop {
            ticker.tick().await;
            checks += 1;
            if let Some(judged_at) = silence_checks.next(state.now()) {
                mark_stalled_heads(&state, judged_at);
            }
            remove_gone_servers(&state);
            if checks % CHECKS_PER_EXPIRY == 0 {
                state.view.borrow_mut().expire(state.now());
                state.view.borrow_mut().blame.expire(&state.vm.name, state.now());
                state.pool.expire();
                state.relay.keys.borrow_mut().expire(state.now());
            }
            if checks % CHECKS_PER_GAUGE_UPDATE == 0 {
                state.metrics.record_gauges(&state);
            }
        }
    });
}

fn mark_stalled_heads(state: &AppState, judged_at: Moment) {
    let suspects: Vec<VmId> = state.view.borrow().progress.suspects(judged_at).cloned().collect();
    for head in suspects {
        if !state.is_suspect(&head) {
            log::warn!(server:% = head; "group suspect: all its streams are stalled");
        }
        state.report_suspect(&head);
    }
}

fn remove_gone_servers(state: &AppState) {
    let gone = state.view.borrow_mut().remove_gone_servers(state.now());
    for vm in &gone {
        log::info!(server:% = vm; "backend server removed after store outage");
    }
    if !gone.is_empty() {
        state.planner_inputs_changed.notify_one();
    }
}
