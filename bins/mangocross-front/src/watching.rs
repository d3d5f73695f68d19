//! Follows the store: configuration, backend servers and keys of this system.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::kv::Value;
use mangocross_platform::CONFIGURATION_KEY;
use mangocross_platform::SERVERS_PREFIX;
use mangocross_platform::StoreCall;
use mangocross_platform::StoreChange;
use mangocross_platform::StoreChanges;
use mangocross_platform::StoreItem;
use mangocross_platform::StorePage;
use mangocross_platform::decode_configuration;
use mangocross_platform::decode_server;
use mangocross_platform::server_id;
use mangocross_serving::BackendServer;
use mangocross_serving::Moment;
use mangocross_types::Revision;

use crate::front::Front;
use crate::front::OwnKey;
use crate::leases::ENTRY_VMS_PREFIX;
use crate::leases::PLANNER_KEY;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;

/// Prefix of this system's keys.
pub(crate) const OWN_PREFIX: &str = "mangocross/";
/// Prefix of the operators' keys.
const OPERATORS_PREFIX: &str = "op/";
/// Longest wait of one watch, with the pause before it.
///
/// A return proves the configuration as of the question, so that the proof is up
/// to two waits old before the next one comes.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Added to the wait before a silent watch is dissolved.
const WATCH_SLACK: Duration = Duration::from_millis(900);
/// Pause after changes, in which further ones gather; each call to the store is priced.
const GATHER_PAUSE: Duration = Duration::from_millis(100);
/// The same before the first request of a caller, while all servers appear.
const START_GATHER_PAUSE: Duration = Duration::from_millis(400);
/// Added for each other entry VM; the planner passes changes of servers on meanwhile.
const GATHER_PAUSE_PER_PEER: Duration = Duration::from_millis(15);
/// Part of the time to the use of a configuration that the pause may take.
const GATHER_PART: f64 = 0.42;
/// The same for the planner, which acts on the changes.
const PLANNER_GATHER_PAUSE: Duration = Duration::from_millis(25);
/// Pauses between attempts while the store is away.
const RETRY_PAUSES_MS: std::ops::Range<u64> = 100..350;
/// Time that servers have to appear again after the store was away.
const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Starts to follow the store.
pub(crate) fn spawn(front: &Rc<Front>) {
    let front = Rc::clone(front);
    tokio::task::spawn_local(async move {
        let mut has_lost_since: Option<Moment> = None;
        loop {
            let error = match follow(&front, &mut has_lost_since).await {
                Ok(()) => {
                    log::info!("history of the store is gone; reading it anew");
                    continue;
                }
                Err(it) => it,
            };
            if has_lost_since.is_none() {
                has_lost_since = Some(front.now());
                log::warn!(error:% = error; "store lost");
            }
            tokio::time::sleep(Duration::from_millis(fastrand::u64(RETRY_PAUSES_MS))).await;
        }
    });
}

/// Reads everything and follows changes; returns once the history is gone.
async fn follow(front: &Front, lost_since: &mut Option<Moment>) -> Result<(), StoreError> {
    let asked_at = front.now();
    let mut after = None;
    let mut is_after_outage = lost_since.is_some();
    for prefix in [OPERATORS_PREFIX, SERVERS_PREFIX, OWN_PREFIX] {
        let items = read_range(front, prefix, &mut after).await?;
        apply_range(front, prefix, items, is_after_outage);
        if prefix == OPERATORS_PREFIX {
            confirm(front, asked_at);
        }
    }
    if let Some(since) = lost_since.take() {
        let away_ms = front.now().since(since).as_millis() as u64;
        log::info!(away_ms; "store regained");
    }
    let mut after = after.unwrap_or_default();
    let regained_at = front.now();
    let mut paused = Duration::ZERO;
    let mut may_have_more = false;
    loop {
        let asked_at = front.now();
        let wait = if may_have_more { Duration::ZERO } else { WATCH_WAIT.saturating_sub(paused) };
        is_after_outage &= asked_at.since(regained_at) < RETURN_GRACE;
        let call = StoreCall::watch("", after, wait);
        let answer = front.store.call(call, wait + WATCH_SLACK).await;
        let (status, body) = answer?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(()),
            status => return Err(StoreError::Refused { status }),
        }
        let answer = StoreChanges::decode(&body)?;
        front.metrics.store_watch(front.now().since(asked_at));
        let has_changes = !answer.changes.is_empty();
        for it in answer.changes {
            apply(front, it, is_after_outage);
        }
        after = after.max(answer.revision);
        paused = Duration::ZERO;
        may_have_more = answer.may_have_more;
        if may_have_more {
            // The configuration may be among the changes that are still to be read.
            continue;
        }
        confirm(front, asked_at);
        drop_missing(front);
        if has_changes {
            let is_planner = front.is_planner();
            let peers = front.beliefs.borrow().peers.len() as u32;
            let pause = if is_planner {
                PLANNER_GATHER_PAUSE
            } else {
                let longest = front.promises().apply_within.mul_f64(GATHER_PART);
                let least = match front.has_traffic.get() {
                    true => GATHER_PAUSE,
                    false => START_GATHER_PAUSE,
                };
                (least + GATHER_PAUSE_PER_PEER * peers).min(longest)
            };
            tokio::time::sleep(pause).await;
            paused = pause;
        }
    }
}

fn confirm(front: &Front, asked_at: Moment) {
    front.beliefs.borrow_mut().freshness.confirm(asked_at);
}

/// Reads all pages of a prefix; `first` becomes the revision of the very first page.
async fn read_range(
    front: &Front,
    prefix: &str,
    first: &mut Option<Revision>,
) -> Result<Vec<StoreItem>, StoreError> {
    let mut items: Vec<StoreItem> = Vec::new();
    loop {
        let after = items.last().map(|it| it.key.as_str());
        let (status, body) =
            front.store.call(StoreCall::range(prefix, after), CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(StoreError::Refused { status });
        }
        let page = StorePage::decode(&body)?;
        first.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok(items);
        }
    }
}

fn apply_range(front: &Front, prefix: &str, items: Vec<StoreItem>, is_after_outage: bool) {
    let now = front.now();
    if prefix == SERVERS_PREFIX {
        let mut beliefs = front.beliefs.borrow_mut();
        let is_listed = |key: &str| items.iter().any(|it| it.key.strip_prefix(prefix) == Some(key));
        let missing: Vec<_> =
            beliefs.servers.keys().filter(|it| !is_listed(it.as_str())).cloned().collect();
        for vm in missing {
            if is_after_outage {
                beliefs.missing_since.entry(vm).or_insert(now);
            } else {
                beliefs.servers.remove(&vm);
            }
        }
    }
    if prefix == OWN_PREFIX {
        let mut beliefs = front.beliefs.borrow_mut();
        beliefs.own_keys.retain(|key, _| items.iter().any(|it| it.key == key.as_ref()));
    }
    for item in items {
        apply(front, StoreChange::Written(item), is_after_outage);
    }
    front.changed.notify_one();
}

/// Takes one change into the beliefs.
fn apply(front: &Front, change: StoreChange, is_after_outage: bool) {
    match change {
        StoreChange::Written(item) if item.key == CONFIGURATION_KEY => configure(front, &item),
        StoreChange::Written(item) if item.key.starts_with(SERVERS_PREFIX) => list(front, &item),
        StoreChange::Written(item) if item.key.starts_with(OWN_PREFIX) => {
            let key: Arc<str> = item.key.into();
            let own = OwnKey { value: item.value.unwrap_or_default(), revision: item.revision };
            let mut beliefs = front.beliefs.borrow_mut();
            let is_newer = beliefs.own_keys.get(&key).is_none_or(|it| it.revision < own.revision);
            if is_newer {
                if let Some(name) = key.strip_prefix(ENTRY_VMS_PREFIX)
                    && let Some(address) =
                        std::str::from_utf8(&own.value).ok().and_then(|it| it.parse().ok())
                {
                    beliefs.peers.insert(name.into(), address);
                }
                beliefs.own_keys.insert(key, own);
            }
        }
        StoreChange::Written(_) => {}
        StoreChange::Removed { key, revision } => remove(front, &key, revision, is_after_outage),
    }
    front.changed.notify_one();
}

fn configure(front: &Front, item: &StoreItem) {
    let value = item.value.as_deref().unwrap_or_default();
    match decode_configuration(value) {
        Ok(new) => {
            let old = front.configuration().map(|it| it.version);
            if old.is_some_and(|it| it >= new.version) {
                return;
            }
            log::info!(
                version = new.version, replaced = old.map_or(Value::null(), Value::from), revision = item.revision.0,
                routes = new.route_count(), keys = new.keys.len();
                "configuration in force"
            );
            let mut beliefs = front.beliefs.borrow_mut();
            beliefs.first_attempts.retain(|it| new.has_route(it));
            beliefs.configuration = Some(Arc::new(new));
        }
        Err(error) => {
            log::error!(error:% = error, revision = item.revision.0; "configuration ignored");
        }
    }
}

fn list(front: &Front, item: &StoreItem) {
    let decoded = server_id(&item.key)
        .and_then(|vm| decode_server(vm, item.value.as_deref().unwrap_or_default()));
    match decoded {
        Ok(server) => {
            let is_planner = front.is_planner();
            let relayed = is_planner.then(|| server.clone());
            let is_newer = take_server(front, item.revision, server);
            if let Some(server) = relayed.filter(|_| is_newer) {
                front.relay(item.revision, server);
            }
        }
        Err(error) => {
            if front.log_rate.admit("entry ignored", front.now()).is_some() {
                let key = &item.key;
                log::warn!(key:% = key, error:% = error; "entry of a backend server ignored");
            }
            // An entry that cannot be read names no server to use.
            if let Ok(vm) = server_id(&item.key) {
                front.beliefs.borrow_mut().servers.remove(&vm);
            }
        }
    }
}

/// Takes a server's entry, from the store or from the planner, unless it is known already.
pub(crate) fn take_server(front: &Front, revision: Revision, server: BackendServer) -> bool {
    let mut beliefs = front.beliefs.borrow_mut();
    let known = beliefs.server_revisions.entry(server.vm.clone()).or_default();
    if *known >= revision {
        return false;
    }
    *known = revision;
    let is_new = !beliefs.servers.contains_key(&server.vm);
    let was_leaving = beliefs.servers.get(&server.vm).is_some_and(|it| it.is_leaving);
    if is_new || server.is_leaving != was_leaving {
        log::info!(
            server:% = server.vm, service:% = server.service, address:% = server.address,
            is_leaving = server.is_leaving, revision = revision.0;
            "backend server seen"
        );
    }
    beliefs.missing_since.remove(&server.vm);
    beliefs.servers.insert(server.vm.clone(), server);
    true
}

fn remove(front: &Front, key: &str, revision: Revision, is_after_outage: bool) {
    let now = front.now();
    let mut beliefs = front.beliefs.borrow_mut();
    if key.starts_with(SERVERS_PREFIX) {
        let Ok(vm) = server_id(key) else { return };
        let known = beliefs.server_revisions.entry(vm.clone()).or_default();
        if *known > revision {
            return;
        }
        *known = revision;
        log::info!(server:% = vm, revision = revision.0, is_after_outage; "backend server unlisted");
        if is_after_outage {
            beliefs.missing_since.entry(vm).or_insert(now);
        } else {
            beliefs.servers.remove(&vm);
        }
        return;
    }
    if let Some(name) = key.strip_prefix(ENTRY_VMS_PREFIX) {
        beliefs.peers.remove(name);
    }
    let is_older = beliefs.own_keys.get(key).is_some_and(|it| it.revision < revision);
    if is_older {
        beliefs.own_keys.remove(key);
        if key == PLANNER_KEY {
            front.planner_vacant.notify_one();
        }
    }
}

/// Drops servers that have not come back in time.
fn drop_missing(front: &Front) {
    let now = front.now();
    let mut beliefs = front.beliefs.borrow_mut();
    let is_over = |it: &Moment| now.since(*it) >= RETURN_GRACE;
    let gone: Vec<_> = beliefs
        .missing_since
        .iter()
        .filter(|(_, it)| is_over(it))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in gone {
        log::info!(server:% = vm; "backend server has not come back");
        beliefs.missing_since.remove(&vm);
        beliefs.servers.remove(&vm);
    }
}
