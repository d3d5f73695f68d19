//! Follows the changes of the store through a relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mangocross_platform::SERVERS_PREFIX;
use mangocross_platform::StoreChange;
use mangocross_platform::StoreItem;
use mangocross_serving::KeyChange;
use mangocross_serving::Moment;
use mangocross_types::StoreRevision;

use crate::relay_client::RelayClient;
use crate::relay_client::RelayError;
use crate::relay_messages::RelayAnswer;
use crate::state::AppState;
use crate::store_changes::apply;
use crate::store_changes::apply_range;
use crate::store_following::ENTRY_VM_KEYS_PREFIX;
use crate::store_following::OPERATORS_PREFIX;
use crate::watching::FollowEnd;
use crate::watching::Position;

/// Longest wait of a question.
///
/// It confirms the configuration with the age that the relay's confirmation has, so this wait and
/// two of the relay's are the longest time without a newer one.
const QUESTION_WAIT: Duration = Duration::from_millis(1000);
/// Delay after changes, to batch further ones.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Follows the changes through a relay until another source is to be used.
pub(crate) async fn follow_relay(
    state: &AppState,
    position: &mut Position,
    relay: &Arc<str>,
    address: SocketAddr,
) -> FollowEnd {
    match ask_repeatedly(state, position, relay, address).await {
        Ok(end) => end,
        Err(error) => {
            if state.log_rate.allow("relay failed", state.now()).is_some() {
                log::info!(relay = **relay, error:% = error; "relay failed");
            }
            position.record_relay_failure(state, relay);
            FollowEnd::RelayFailed
        }
    }
}

async fn ask_repeatedly(
    state: &AppState,
    position: &mut Position,
    relay: &Arc<str>,
    address: SocketAddr,
) -> Result<FollowEnd, RelayError> {
    // What was read of the store itself is no longer followed.
    state.relay.stop();
    state.store_view.borrow_mut().record_relay();
    let mut client = RelayClient::open(address, Arc::clone(&state.vm.name)).await?;
    let mut delay = Duration::ZERO;
    loop {
        let asked_at = state.now();
        let wait = match position.after.is_none() || position.lost_since.is_some() {
            true => Duration::ZERO,
            false => QUESTION_WAIT.saturating_sub(delay),
        };
        let after = position.after.unwrap_or_default();
        let (revision, changes, confirmation, outage) = match client.ask(after, wait).await? {
            RelayAnswer::Changes { revision, changes, confirmation, outage } => {
                (revision, changes, confirmation, outage)
            }
            RelayAnswer::NotFollowing => {
                position.record_relay_failure(state, relay);
                return Ok(FollowEnd::RelayFailed);
            }
            RelayAnswer::StoreLost => {
                position.choice.record_store_lost(relay, state.now());
                return Ok(FollowEnd::RelayLostStore);
            }
        };
        if revision.era < after.era {
            // This relay has not noticed yet that the store came back from an older copy.
            position.record_relay_failure(state, relay);
            return Ok(FollowEnd::RelayFailed);
        }
        state.observe_revision(revision);
        state.record_store_answer();
        if let Some(it) = outage.filter(|_| changes.may_remove())
            && !adopt_outage(state, position, relay, it.reappear_until(asked_at))
        {
            // What was written holds in any case, a configuration among it.
            let written = changes.changes.into_iter().filter(|it| it.value.is_some());
            written.for_each(|it| apply(state, store_change(it)));
            return Ok(FollowEnd::RelayLostStore);
        }
        position.mark_regained(state);
        position.choice.record_following();
        let has_changes = !changes.changes.is_empty();
        if changes.is_complete || position.after.is_none() {
            apply_complete(state, changes.changes, revision);
        } else {
            for it in changes.changes {
                apply(state, store_change(it));
            }
        }
        if let Some(it) = confirmation {
            let mut view = state.view.borrow_mut();
            view.freshness.confirm_relayed(asked_at, it.held, it.age);
            if let Some(asked_at) = (asked_at + it.held).checked_before(it.age) {
                view.apply_held_entries(asked_at);
            }
        }
        position.after = Some(after.max(revision));
        if state.is_relay() || state.holds_term() {
            return Ok(FollowEnd::SourceChanged);
        }
        delay = if has_changes { BATCH_DELAY } else { Duration::ZERO };
        tokio::time::sleep(delay).await;
    }
}

/// Lets entries reappear for as long as the relay does; returns false if only this relay is known to
/// have been without the store: then the next one tells whether the removals are final.
fn adopt_outage(
    state: &AppState,
    position: &mut Position,
    relay: &Arc<str>,
    reappear_until: Moment,
) -> bool {
    let now = state.now();
    let leave_within = state.bounds().leave_within;
    let missing = &mut state.view.borrow_mut().missing;
    if missing.reappear_until(now).is_some() {
        return true;
    }
    position.choice.record_store_lost(relay, now);
    let is_away = position.choice.is_store_away();
    if is_away {
        missing.record_relayed_period(reappear_until, now, leave_within);
    }
    is_away
}

fn store_change(change: KeyChange) -> StoreChange {
    let KeyChange { key, value, revision } = change;
    let key = key.to_string();
    match value {
        Some(_) => StoreChange::Written(StoreItem { key, value, revision }),
        None => StoreChange::Removed { key, revision },
    }
}

/// Applies all keys that exist; known keys that are not among them have been removed.
fn apply_complete(state: &AppState, changes: Vec<KeyChange>, as_of: StoreRevision) {
    let prefixes = [OPERATORS_PREFIX, SERVERS_PREFIX, ENTRY_VM_KEYS_PREFIX];
    let mut by_prefix: HashMap<&str, Vec<StoreItem>> = HashMap::new();
    for change in changes {
        let prefix = prefixes.into_iter().find(|it| change.key.starts_with(it));
        if let (Some(prefix), StoreChange::Written(item)) = (prefix, store_change(change)) {
            by_prefix.entry(prefix).or_default().push(item);
        }
    }
    for prefix in prefixes {
        let items = by_prefix.remove(prefix).unwrap_or_default();
        apply_range(state, prefix, items, as_of);
    }
}
