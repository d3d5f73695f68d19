//! Takes what the store says into the beliefs.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use log::kv::Value;
use mangocross_platform::CONFIGURATION_KEY;
use mangocross_platform::SERVERS_PREFIX;
use mangocross_platform::StoreChange;
use mangocross_platform::StoreItem;
use mangocross_platform::decode_configuration;
use mangocross_platform::decode_server;
use mangocross_platform::server_id;
use mangocross_serving::BackendServer;
use mangocross_serving::Moment;
use mangocross_types::Revision;
use mangocross_types::VmId;

use crate::front::Beliefs;
use crate::front::Front;
use crate::front::OwnKey;
use crate::leases::ENTRY_VMS_PREFIX;
use crate::leases::PLANNER_KEY;
use crate::watching::OWN_PREFIX;

/// Time that servers have to appear again after the store was away.
pub(crate) const RETURN_GRACE: Duration = Duration::from_millis(2000);

/// Takes the keys of a range, and drops those that were not in it.
///
/// `as_of` is the revision from which changes are followed afterwards. What is known
/// of a later one, from the planner, is newer than the range.
pub(crate) fn apply_range(
    front: &Front,
    prefix: &str,
    items: Vec<StoreItem>,
    as_of: Revision,
    is_after_outage: bool,
) {
    let now = front.now();
    let keys: HashSet<&str> = items.iter().map(|it| it.key.as_str()).collect();
    if prefix == SERVERS_PREFIX {
        let mut beliefs = front.beliefs.borrow_mut();
        let listed: HashSet<&str> = keys.iter().filter_map(|it| it.strip_prefix(prefix)).collect();
        let Beliefs { servers, server_revisions, missing_since, .. } = &mut *beliefs;
        let is_older = |vm: &VmId| server_revisions.get(vm).is_none_or(|it| *it <= as_of);
        let is_missing = |vm: &&VmId| !listed.contains(vm.as_str()) && is_older(vm);
        let missing: Vec<VmId> = servers.keys().filter(is_missing).cloned().collect();
        for vm in missing {
            server_revisions.insert(vm.clone(), as_of);
            if is_after_outage {
                missing_since.entry(vm).or_insert(now);
            } else {
                servers.remove(&vm);
            }
        }
    }
    if prefix == OWN_PREFIX {
        let mut beliefs = front.beliefs.borrow_mut();
        beliefs.own_keys.retain(|key, _| keys.contains(key.as_ref()));
    }
    for item in items {
        apply(front, StoreChange::Written(item), is_after_outage);
    }
    front.changed.notify_one();
}

/// Takes keys that the store named in another answer.
pub(crate) fn take_keys(front: &Front, items: Vec<StoreItem>) {
    // Revision zero stands for a key that does not exist.
    for item in items.into_iter().filter(|it| it.revision > Revision(0)) {
        apply(front, StoreChange::Written(item), false);
    }
}

/// Takes one change into the beliefs.
pub(crate) fn apply(front: &Front, change: StoreChange, is_after_outage: bool) {
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
            let known = front.beliefs.borrow().servers.get(&server.vm).cloned();
            // Only the planner needs the states of members that take no requests.
            let took_requests = known.is_some_and(|it| it.takes_requests());
            let is_plain = server.engine.domain.is_none();
            let is_relayed = front.is_planner()
                && (is_plain || took_requests || server.takes_requests() || server.is_leaving);
            let relayed = is_relayed.then(|| server.clone());
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
pub(crate) fn drop_missing(front: &Front) {
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
        log::info!(server:% = vm; "backend server removed after store outage");
        beliefs.missing_since.remove(&vm);
        beliefs.servers.remove(&vm);
    }
}
