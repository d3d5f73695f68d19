//! Periodic work: suspects, expiry, gauges.

use std::rc::Rc;
use std::time::Duration;

use mangocross_types::VmId;

use crate::front::Front;

/// Time between looks for groups that are stalled.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Looks between two expiries.
const LOOKS_PER_EXPIRY: u32 = 10;

/// Looks between two records of the gauges, which the log's totals show too.
const LOOKS_PER_RECORD: u32 = 100;

/// Starts the periodic work.
pub(crate) fn spawn(front: &Rc<Front>) {
    let front = Rc::clone(front);
    tokio::task::spawn_local(async move {
        let mut look = tokio::time::interval(LOOK_INTERVAL);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut looks = 0;
        loop {
            look.tick().await;
            looks += 1;
            find_suspects(&front);
            if looks % LOOKS_PER_EXPIRY == 0 {
                front.beliefs.borrow_mut().expire(front.now());
                front.pool.expire();
            }
            if looks % LOOKS_PER_RECORD == 0 {
                front.metrics.record_levels(&front);
            }
        }
    });
}

fn find_suspects(front: &Front) {
    let now = front.now();
    let suspects: Vec<VmId> = front.beliefs.borrow().progress.suspects(now).cloned().collect();
    for head in suspects {
        if !front.is_suspect(&head) {
            log::warn!(server:% = head; "group suspect: all its streams are stalled");
        }
        front.found_suspect(&head);
    }
}
