//! Follows the changes in the store itself.

use std::time::Duration;

use http::StatusCode;
use mangocross_platform::SERVERS_PREFIX;
use mangocross_platform::StoreCall;
use mangocross_platform::StoreChanges;
use mangocross_platform::StoreItem;
use mangocross_platform::StorePage;
use mangocross_serving::Moment;
use mangocross_serving::Source;
use mangocross_types::StoreRevision;

use crate::leases::ENTRY_VMS_PREFIX;
use crate::leases::PLANNER_KEY;
use crate::state::AppState;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;
use crate::store_changes::apply;
use crate::store_changes::apply_range;
use crate::store_changes::forget_unlisted_servers;
use crate::watching::FollowEnd;
use crate::watching::Position;

/// Prefix of the store keys that entry VMs write: plans, the planner's key, their addresses.
pub(crate) const ENTRY_VM_KEYS_PREFIX: &str = "mangocross/";
/// Prefix of the store keys that operators write, such as the configuration.
pub(crate) const OPERATORS_PREFIX: &str = "op/";
/// Longest wait of a watch, including the batch delay before it.
///
/// An answer confirms the configuration as of the time of its request, so the last confirmation
/// is up to two waits old when the next one arrives.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Like `WATCH_WAIT`, for a VM that relays: the time of the question to it comes on top.
const RELAY_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Like `WATCH_WAIT`, for the planner, whose view has to be proven by answers.
const PLANNER_WATCH_WAIT: Duration = Duration::from_millis(600);
/// Added to the wait before an unanswered watch times out.
const WATCH_SLACK: Duration = Duration::from_millis(900);
/// Delay after changes, to batch further ones; each call to the store is billed.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Batch delay before the first request of a caller, while all servers appear.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Added to the batch delay for each listed entry VM; the planner relays changes of servers in the
/// meantime.
const BATCH_DELAY_PER_ENTRY_VM: Duration = Duration::from_millis(15);
/// Maximum batch delay, as a fraction of the shorter of apply_within and leave_within; the rest is
/// for a slow store.
const BATCH_DELAY_RATIO: f64 = 0.6;
/// Batch delay of a VM that relays to others, which batch the changes again.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(600);
/// Batch delay of the planner, which acts on the changes.
const PLANNER_BATCH_DELAY: Duration = Duration::from_millis(25);
/// Range of the delay before a page is requested again that the store refused because of the rate
/// of calls.
const PAGE_RETRY_DELAYS_MS: std::ops::Range<u64> = 100..350;
/// Minimum age of the last confirmation at which the configuration is read separately during a
/// backlog of changes. Limits the load on the store: with hundreds of entry VMs, a quarter of all
/// calls to the store are such reads.
const BACKLOG_READ_AGE: Duration = Duration::from_millis(600);
/// Time between reads of the configuration while other changes are deferred.
const DEFERRED_READ_INTERVAL: Duration = Duration::from_millis(700);
/// Number of changes between two such reads below which startup is over.
const SETTLED_CHANGES_MAX: u64 = 150;
/// Maximum number of attempts to read one page while the store refuses further calls.
const PAGE_ATTEMPTS_MAX: u32 = 30;

/// Follows the store until another source is to be used or everything has to be read again; reads
/// everything first if needed.
pub(crate) async fn follow_store(
    state: &AppState,
    position: &mut Position,
) -> Result<FollowEnd, StoreError> {
    let mut after = match position.after {
        Some(it) => it,
        // The history of a new store contains everything.
        None if position.is_new => {
            state.relay.restart();
            state.store_view.borrow_mut().begin_history();
            StoreRevision::default()
        }
        None => {
            state.store_view.borrow_mut().begin_reading();
            state.relay.restart();
            let asked_at = state.now();
            let it = read_all(state).await?;
            state.relay.forget_until(it);
            state.relay.advance(it);
            position.mark_regained(state);
            state.store_view.borrow_mut().record_all_keys(asked_at);
            it
        }
    };
    position.is_new = false;
    position.after = Some(after);
    let mut delay = Duration::ZERO;
    let mut may_have_more = false;
    loop {
        let asked_at = state.now();
        let wait = match may_have_more || position.lost_since.is_some() {
            true => Duration::ZERO,
            false => watch_wait(state).saturating_sub(delay),
        };
        let call = StoreCall::watch("", after.revision, wait);
        let slack = if may_have_more { CALL_TIMEOUT } else { WATCH_SLACK };
        let answer = state.store.call(call, wait + slack).await;
        let answer = answer?;
        if after != StoreRevision::default() && answer.era != after.era {
            // The revision that was asked from means something else now.
            position.after = None;
            return Ok(FollowEnd::EraChanged);
        }
        match answer.status {
            StatusCode::OK => {}
            StatusCode::GONE => {
                position.after = None;
                return Ok(FollowEnd::HistoryGone);
            }
            status => return Err(StoreError::Refused { status }),
        }
        state.record_store_answer();
        position.mark_regained(state);
        if position.choice.is_answer_news() {
            state.relay.reached.notify_one();
        }
        position.choice.record_store_answer(asked_at);
        let answer = StoreChanges::decode(&answer.body, answer.era)?;
        state.observe_revision(answer.revision);
        let has_changes = !answer.changes.is_empty();
        for it in answer.changes {
            apply(state, it);
        }
        after = after.max(answer.revision);
        position.after = Some(after);
        delay = Duration::ZERO;
        may_have_more = answer.may_have_more;
        state.store_view.borrow_mut().record_changes(asked_at, may_have_more);
        if may_have_more {
            if can_defer_servers(state) {
                defer_until_settled(state, after).await?;
                position.after = None;
                return Ok(FollowEnd::Settled);
            }
            // The configuration may be among the changes that have not been read yet.
            read_configuration(state).await;
            continue;
        }
        confirm_freshness(state, asked_at);
        state.view.borrow_mut().apply_held_entries(asked_at);
        state.relay.advance(after);
        if !state.relay.is_following.get() && state.is_relay() {
            // Until now this VM only had no relay, and knows a part of the keys.
            position.after = None;
            return Ok(FollowEnd::SourceChanged);
        }
        if position.may_change_source(state) && position.choose_source(state) != Source::Store {
            state.relay.stop();
            return Ok(FollowEnd::SourceChanged);
        }
        if has_changes {
            delay = batch_delay(state);
            tokio::time::sleep(delay).await;
        }
    }
}

/// Reads the list of entry VMs, so that a relay can be chosen.
///
/// A list that is some seconds old names mostly the same relays, and costs a tenth. At the very
/// first start it would be empty.
pub(crate) async fn read_entry_vms(state: &AppState) -> Result<(), StoreError> {
    let page_call = match state.vm.is_first_start {
        true => StoreCall::range,
        false => StoreCall::stale_range,
    };
    let items = read_pages(state, ENTRY_VMS_PREFIX, page_call, &mut None).await?;
    apply_range(state, ENTRY_VMS_PREFIX, items, StoreRevision::default());
    Ok(())
}

/// Returns how long a watch waits, including the batch delay before it.
fn watch_wait(state: &AppState) -> Duration {
    if state.holds_term() {
        return PLANNER_WATCH_WAIT;
    }
    match state.view.borrow().relay_plan().relay_count() {
        0 => WATCH_WAIT,
        _ => RELAY_WATCH_WAIT,
    }
}

/// Reads all keys; returns the revision from which to follow changes.
async fn read_all(state: &AppState) -> Result<StoreRevision, StoreError> {
    let asked_at = state.now();
    let mut first = None;
    for prefix in [OPERATORS_PREFIX, SERVERS_PREFIX, ENTRY_VM_KEYS_PREFIX] {
        let items = read_range(state, prefix, &mut first).await?;
        if prefix == SERVERS_PREFIX {
            forget_unlisted_servers(state);
        }
        apply_range(state, prefix, items, first.unwrap_or_default());
        if prefix == OPERATORS_PREFIX {
            confirm_freshness(state, asked_at);
        }
    }
    Ok(first.unwrap_or_default())
}

/// Returns the delay after changes, to batch further ones.
fn batch_delay(state: &AppState) -> Duration {
    if state.is_planner() {
        return PLANNER_BATCH_DELAY;
    }
    let view = state.view.borrow();
    if view.relay_plan().relay_count() > 0 {
        return RELAY_BATCH_DELAY;
    }
    let entry_vms = view.entry_vms.len() as u32;
    let bounds = state.bounds();
    let longest = bounds.apply_within.min(bounds.leave_within).mul_f64(BATCH_DELAY_RATIO);
    let least = match state.has_traffic.get() {
        true => BATCH_DELAY,
        false => STARTUP_BATCH_DELAY,
    };
    (least + BATCH_DELAY_PER_ENTRY_VM * entry_vms).min(longest)
}

fn confirm_freshness(state: &AppState, asked_at: Moment) {
    state.view.borrow_mut().freshness.confirm(asked_at);
}

/// Returns whether changes of servers can wait: no caller or other entry VM needs them, and another
/// VM plans.
fn can_defer_servers(state: &AppState) -> bool {
    let view = state.view.borrow();
    let has_planner = view.entry_vm_keys.contains_key(PLANNER_KEY);
    let is_relay = view.relay_plan().relay_count() > 0;
    has_planner && !is_relay && !state.holds_term() && !state.has_traffic.get()
}

/// Reads only the configuration until few keys change or the first request arrives.
///
/// While groups are formed, each entry changes several times. Reading the entries once afterwards
/// transfers a fifth of that data.
async fn defer_until_settled(state: &AppState, mut seen: StoreRevision) -> Result<(), StoreError> {
    while can_defer_servers(state) {
        tokio::time::sleep(DEFERRED_READ_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        let asked_at = state.now();
        let mut revision = None;
        let items = read_range(state, OPERATORS_PREFIX, &mut revision).await?;
        apply_range(state, OPERATORS_PREFIX, items, revision.unwrap_or_default());
        confirm_freshness(state, asked_at);
        let revision = revision.unwrap_or(seen);
        let changes = revision.revision.0.saturating_sub(seen.revision.0);
        if changes < SETTLED_CHANGES_MAX && revision.era == seen.era {
            break;
        }
        seen = revision;
    }
    Ok(())
}

/// Reads the configuration separately, so that a backlog of other changes does not delay it.
async fn read_configuration(state: &AppState) {
    let age = state.view.borrow().freshness.age(state.now());
    if age.is_some_and(|it| it < BACKLOG_READ_AGE) {
        return;
    }
    if let Err(error) = read_operators_keys(state).await {
        log::warn!(error:% = error; "configuration read failed during backlog");
    }
}

/// Reads all keys that operators write.
pub(crate) async fn read_operators_keys(state: &AppState) -> Result<(), StoreError> {
    let asked_at = state.now();
    let mut revision = None;
    let items = read_range(state, OPERATORS_PREFIX, &mut revision).await?;
    apply_range(state, OPERATORS_PREFIX, items, revision.unwrap_or_default());
    confirm_freshness(state, asked_at);
    Ok(())
}

/// Reads all pages of a prefix; `first` is set to the revision of the very first page.
async fn read_range(
    state: &AppState,
    prefix: &str,
    first: &mut Option<StoreRevision>,
) -> Result<Vec<StoreItem>, StoreError> {
    read_pages(state, prefix, StoreCall::range, first).await
}

/// Reads all pages of a prefix with the calls that `page_call` makes from the prefix and the last
/// key of the page before.
async fn read_pages(
    state: &AppState,
    prefix: &str,
    page_call: fn(&str, Option<&str>) -> StoreCall,
    first: &mut Option<StoreRevision>,
) -> Result<Vec<StoreItem>, StoreError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut attempts = 0;
    loop {
        let after = items.last().map(|it| it.key.as_str());
        let answer = state.store.call(page_call(prefix, after), CALL_TIMEOUT).await?;
        let status = answer.status;
        attempts += 1;
        if status == StatusCode::TOO_MANY_REQUESTS && attempts < PAGE_ATTEMPTS_MAX {
            // The pages read so far are kept: reading them again would load the store further.
            tokio::time::sleep(Duration::from_millis(fastrand::u64(PAGE_RETRY_DELAYS_MS))).await;
            continue;
        }
        if status != StatusCode::OK {
            return Err(StoreError::Refused { status });
        }
        if first.is_some_and(|it| it.era != answer.era) {
            return Err(StoreError::EraChanged);
        }
        let page = StorePage::decode(&answer.body, answer.era)?;
        state.observe_revision(page.revision);
        state.record_store_answer();
        attempts = 0;
        if prefix != OPERATORS_PREFIX && prefix != ENTRY_VMS_PREFIX {
            // Reading dozens of pages over a busy link takes seconds.
            Box::pin(read_configuration(state)).await;
        }
        first.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok(items);
        }
    }
}
