//! Execution of a batch at the store.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use mangocross_coordination::ClaimOperation;
use mangocross_coordination::CommitEnd;
use mangocross_coordination::CommitStep;
use mangocross_coordination::ShardCommit;
use mangocross_coordination::ShardCopy;
use mangocross_coordination::ShardSwap;
use mangocross_coordination::StoreReply;
use mangocross_types::Clock;
use peer_store::CasOutcome;
use peer_store::Entry;
use peer_store::Store;
use peer_store::StoreError;
use peer_store::StoreErrorKind;

use crate::counts::Counters;
use crate::counts::count;
use crate::queue::Batch;

/// Longest pause after the first conflict, in microseconds; it doubles with each further one.
const CONFLICT_PAUSE_US: u64 = 1_000;
/// Doublings after which the pause no longer grows.
const DOUBLINGS_MAX: u32 = 4;

/// Executes a batch; returns how it ended.
pub(crate) fn execute(
    store: &dyn Store,
    clock: &dyn Clock,
    counters: &Counters,
    batch: &Batch,
) -> CommitEnd {
    count(&counters.commits, 1);
    let operations: Vec<ClaimOperation> =
        batch.queued.iter().map(|it| it.operation.clone()).collect();
    let mut commit = ShardCommit::new(operations);
    let mut conflicts = 0;
    loop {
        let step = commit.next_step(wall_s(clock));
        let reply = match &step {
            CommitStep::End(end) => return end.clone(),
            CommitStep::Read => {
                count(&counters.reads, 1);
                read(store, &batch.store_key)
            }
            CommitStep::Swap(swap) => {
                count(&counters.swaps, 1);
                write(store, &batch.store_key, swap)
            }
        };
        let conflict = matches!((&step, &reply), (CommitStep::Swap(_), StoreReply::Current(_)));
        if matches!(reply, StoreReply::NoEffect | StoreReply::AnswerLost) {
            count(&counters.failures, 1);
        }
        commit.record_reply(step, reply);
        if conflict {
            count(&counters.conflicts, 1);
            pause_after(conflicts);
            conflicts += 1;
        }
    }
}

/// Returns the wall-clock time in seconds since the Unix epoch.
pub(crate) fn wall_s(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map(|it| it.as_secs()).unwrap_or_default()
}

fn read(store: &dyn Store, store_key: &str) -> StoreReply {
    match store.get(store_key) {
        Ok(current) => current_state(store_key, current),
        Err(error) => log_failure(&error, StoreReply::NoEffect),
    }
}

fn write(store: &dyn Store, store_key: &str, swap: &ShardSwap) -> StoreReply {
    let Ok(value) = serde_json::to_string(&swap.shard) else { return StoreReply::NoEffect };
    match store.compare_and_swap(store_key, swap.expected, &value) {
        Ok(CasOutcome::Swapped(revision)) => StoreReply::Swapped(revision),
        Ok(CasOutcome::Conflict(current)) => current_state(store_key, current),
        Err(error) if error.kind == StoreErrorKind::Unavailable => {
            log_failure(&error, StoreReply::NoEffect)
        }
        Err(error) => log_failure(&error, StoreReply::AnswerLost),
    }
}

fn current_state(store_key: &str, current: Option<Entry>) -> StoreReply {
    let Some(entry) = current else { return StoreReply::Current(ShardCopy::default()) };
    match serde_json::from_str(&entry.value) {
        Ok(shard) => StoreReply::Current(ShardCopy { revision: entry.revision, shard }),
        Err(error) => {
            log::error!("{store_key} is not a valid claim shard; its claims are refused: {error}");
            StoreReply::NoEffect
        }
    }
}

fn log_failure(error: &StoreError, reply: StoreReply) -> StoreReply {
    log::debug!("claims: {error}");
    reply
}

fn pause_after(conflicts: u32) {
    let longest = CONFLICT_PAUSE_US << conflicts.min(DOUBLINGS_MAX);
    thread::sleep(Duration::from_micros(fastrand::u64(..longest)));
}
