//! Applies keys and changes read from the store to the view.

use std::collections::HashSet;
use std::sync::Arc;

use log::kv::Value;
use mangocross_platform::CONFIGURATION_KEY;
use mangocross_platform::EVACUATIONS_PREFIX;
use mangocross_platform::SERVERS_PREFIX;
use mangocross_platform::StoreChange;
use mangocross_platform::StoreItem;
use mangocross_platform::cold_remaining;
use mangocross_platform::decode_configuration;
use mangocross_platform::decode_server;
use mangocross_platform::server_id;
use mangocross_serving::BackendServer;
use mangocross_serving::Moment;
use mangocross_serving::Removal;
use mangocross_types::Revision;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use crate::leases::ENTRY_VMS_PREFIX;
use crate::leases::PLANNER_KEY;
use crate::state::AppState;
use crate::state::ClusterView;
use crate::state::StoredValue;
use crate::store_following::ENTRY_VM_KEYS_PREFIX;
use crate::store_following::OPERATORS_PREFIX;
use crate::unreadable_configuration::log_unreadable_parts;

/// Applies all keys of a range, and removes known keys that are not in it.
///
/// `as_of` is the revision from which changes are followed afterwards. Entries that
/// the planner sent with a later revision are newer than the range and stay.
pub(crate) fn apply_range(
    state: &AppState,
    prefix: &str,
    items: Vec<StoreItem>,
    as_of: StoreRevision,
) {
    let now = state.now();
    let keys: HashSet<&str> = items.iter().map(|it| it.key.as_str()).collect();
    if prefix == SERVERS_PREFIX {
        let mut view = state.view.borrow_mut();
        let listed: HashSet<&str> = keys.iter().filter_map(|it| it.strip_prefix(prefix)).collect();
        let ClusterView { servers, server_revisions, .. } = &*view;
        let is_older = |vm: &VmId| server_revisions.get(vm).is_none_or(|it| *it <= as_of);
        let is_missing = |vm: &&VmId| !listed.contains(vm.as_str()) && is_older(vm);
        let unlisted: Vec<VmId> = servers.keys().filter(is_missing).cloned().collect();
        let after_outage =
            unlisted.iter().filter(|vm| unlist_server(&mut view, vm, as_of, now)).count();
        if !unlisted.is_empty() {
            log::info!(
                servers = unlisted.len(), after_outage, revision = as_of.revision.0;
                "backend servers not in the list"
            );
        }
    }
    if prefix == OPERATORS_PREFIX {
        state.apply_all_evacuations(&items, as_of);
    }
    if prefix == ENTRY_VM_KEYS_PREFIX {
        let mut view = state.view.borrow_mut();
        let is_removed = |key: &Arc<str>| !keys.contains(key.as_ref());
        let removed: Vec<Arc<str>> =
            view.entry_vm_keys.keys().filter(|it| is_removed(it)).cloned().collect();
        for key in removed {
            view.entry_vm_keys.remove(&key);
            if let Some(name) = key.strip_prefix(ENTRY_VMS_PREFIX) {
                view.unlist_entry_vm(name, now);
            }
        }
    }
    for item in items {
        apply(state, StoreChange::Written(item));
    }
    state.planner_inputs_changed.notify_one();
}

/// Makes entries of servers that are not in the view count again, whatever their revisions.
///
/// A relay's list of all keys lacks servers that followers don't need; they were not removed. The
/// store's own list, which is read afterwards, has them with the revisions of old.
pub(crate) fn forget_unlisted_servers(state: &AppState) {
    let mut view = state.view.borrow_mut();
    let ClusterView { servers, server_revisions, missing, .. } = &mut *view;
    server_revisions.retain(|vm, _| servers.contains_key(vm) && !missing.is_missing(vm));
}

/// Applies the keys that the store returned on a conflicting write.
pub(crate) fn apply_keys(state: &AppState, items: Vec<StoreItem>) {
    // Revision zero stands for a key that does not exist.
    for item in items.into_iter().filter(|it| it.revision.revision > Revision(0)) {
        apply(state, StoreChange::Written(item));
    }
}

/// Applies one change to the view.
pub(crate) fn apply(state: &AppState, change: StoreChange) {
    match change {
        StoreChange::Written(item) if item.key == CONFIGURATION_KEY => apply_config(state, &item),
        StoreChange::Written(item) if item.key.starts_with(SERVERS_PREFIX) => upsert(state, &item),
        StoreChange::Written(item) if item.key.starts_with(ENTRY_VM_KEYS_PREFIX) => {
            apply_entry_vm_key(state, item)
        }
        StoreChange::Written(item) if item.key.starts_with(EVACUATIONS_PREFIX) => {
            state.relay.record(&item.key, item.value.as_ref(), item.revision, state.now());
            state.apply_evacuation(&item.key, item.revision, true);
        }
        StoreChange::Written(_) => {}
        StoreChange::Removed { key, revision } => remove(state, &key, revision),
    }
    state.planner_inputs_changed.notify_one();
}

/// Applies a value that an entry VM wrote, unless a newer one is known.
fn apply_entry_vm_key(state: &AppState, item: StoreItem) {
    let now = state.now();
    let key: Arc<str> = item.key.into();
    let stored = StoredValue { value: item.value.unwrap_or_default(), revision: item.revision };
    // Only the planner needs the plans, and it follows the store itself.
    if key.starts_with(ENTRY_VMS_PREFIX) || *key == *PLANNER_KEY {
        state.relay.record(&key, Some(&stored.value), stored.revision, now);
    }
    let mut view = state.view.borrow_mut();
    if view.entry_vm_keys.get(&key).is_some_and(|it| it.revision >= stored.revision) {
        return;
    }
    if let Some(name) = key.strip_prefix(ENTRY_VMS_PREFIX) {
        match std::str::from_utf8(&stored.value).unwrap_or_default().parse() {
            Ok(vm) => view.list_entry_vm(name.into(), vm, now),
            Err(error) => log::warn!(entry_vm = name, error:% = error; "entry VM ignored"),
        }
    }
    view.entry_vm_keys.insert(key, stored);
}

fn apply_config(state: &AppState, item: &StoreItem) {
    state.relay.record(&item.key, item.value.as_ref(), item.revision, state.now());
    let value = item.value.as_deref().unwrap_or_default();
    match decode_configuration(value) {
        Ok(new) => {
            state.view.borrow_mut().freshness.record_readable(new.version, item.revision);
            let old = state.configuration().map(|it| it.version);
            if old.is_some_and(|it| it >= new.version) {
                return;
            }
            log::info!(
                version = new.version, replaced = old.map_or(Value::null(), Value::from), revision = item.revision.revision.0,
                routes = new.route_count(), keys = new.keys.len();
                "configuration in force"
            );
            log_unreadable_parts(&new);
            let mut view = state.view.borrow_mut();
            view.deadlines.retain(|it| new.has_route(it));
            view.configuration = Some(Arc::new(new));
            drop(view);
            state.refresh_cold();
        }
        Err(error) => state.record_unreadable_configuration(value, item.revision, &error),
    }
}

/// Applies a server's entry from the store; the planner also relays it to the other entry VMs.
fn upsert(state: &AppState, item: &StoreItem) {
    let decoded = server_id(&item.key)
        .and_then(|vm| decode_server(vm, item.value.as_deref().unwrap_or_default()));
    match decoded {
        Ok(server) => {
            if let Some(left) = item.value.as_deref().and_then(cold_remaining) {
                let process = (&server.vm, server.engine.born_unix_ms);
                state.record_cold_entry(process, left, item.revision);
            }
            let known = state.view.borrow().servers.get(&server.vm).cloned();
            // Only the planner needs the states of members that accept no requests.
            let did_accept_requests = known.is_some_and(|it| it.accepts_requests());
            let is_plain = server.engine.domain.is_none();
            let is_needed_by_all =
                is_plain || did_accept_requests || server.accepts_requests() || server.is_leaving;
            if is_needed_by_all {
                state.relay.record(&item.key, item.value.as_ref(), item.revision, state.now());
            }
            let is_relayed = state.is_planner() && is_needed_by_all;
            let relayed = is_relayed.then(|| server.clone());
            let is_newer = apply_server(state, item.revision, server);
            if let Some(server) = relayed.filter(|_| is_newer) {
                state.relay_entry(item.revision, server);
            }
        }
        Err(error) => {
            if state.log_rate.allow("entry ignored", state.now()).is_some() {
                let key = &item.key;
                log::warn!(key:% = key, error:% = error; "backend server entry ignored");
            }
            // A server whose entry cannot be decoded must not be used.
            if let Ok(vm) = server_id(&item.key) {
                state.relay.record(&item.key, item.value.as_ref(), item.revision, state.now());
                let mut view = state.view.borrow_mut();
                let known = view.server_revisions.get(&vm).copied().unwrap_or_default();
                if known < item.revision {
                    view.server_revisions.insert(vm.clone(), item.revision);
                    view.servers.remove(&vm);
                }
            }
        }
    }
}

/// Applies a server's entry, from the store or from the planner, unless a newer one is known.
pub(crate) fn apply_server(
    state: &AppState,
    revision: StoreRevision,
    server: BackendServer,
) -> bool {
    let now = state.now();
    let mut view = state.view.borrow_mut();
    let known = view.server_revisions.get(&server.vm).copied().unwrap_or_default();
    if known >= revision {
        return false;
    }
    view.server_revisions.insert(server.vm.clone(), revision);
    view.missing.record_entry(&server.vm);
    if view.hold_entry(known, revision, &server, now) {
        return false;
    }
    view.held_entries.remove(&server.vm);
    view.departed.remove(&server.vm);
    let is_new = !view.servers.contains_key(&server.vm);
    let was_leaving = view.servers.get(&server.vm).is_some_and(|it| it.is_leaving);
    if is_new || server.is_leaving != was_leaving {
        log::info!(
            server:% = server.vm, service:% = server.service, address:% = server.address,
            is_leaving = server.is_leaving, revision = revision.revision.0;
            "backend server seen"
        );
    }
    view.record_listed_process(&server.vm, server.engine.born_unix_ms, now);
    view.servers.insert(server.vm.clone(), server);
    true
}

/// Stops using a server whose entry was removed, unless the entry may reappear; returns whether it may.
fn unlist_server(view: &mut ClusterView, vm: &VmId, revision: StoreRevision, now: Moment) -> bool {
    view.server_revisions.insert(vm.clone(), revision);
    let is_known = view.servers.contains_key(vm);
    let is_after_outage =
        is_known && matches!(view.missing.record_removal(vm, now), Removal::MayReappear(_));
    if !is_after_outage {
        view.record_departure(vm, now);
    }
    is_after_outage
}

fn remove(state: &AppState, key: &str, revision: StoreRevision) {
    let now = state.now();
    state.relay.record(key, None, revision, now);
    if key.starts_with(EVACUATIONS_PREFIX) {
        state.apply_evacuation(key, revision, false);
        return;
    }
    let mut view = state.view.borrow_mut();
    if key.starts_with(SERVERS_PREFIX) {
        let Ok(vm) = server_id(key) else { return };
        let is_older = view.server_revisions.get(&vm).is_none_or(|it| *it <= revision);
        if is_older {
            let is_after_outage = unlist_server(&mut view, &vm, revision, now);
            log::info!(server:% = vm, revision = revision.revision.0, is_after_outage; "backend server unlisted");
        }
        return;
    }
    let is_older = view.entry_vm_keys.get(key).is_some_and(|it| it.revision < revision);
    if is_older {
        view.entry_vm_keys.remove(key);
        if let Some(name) = key.strip_prefix(ENTRY_VMS_PREFIX) {
            view.unlist_entry_vm(name, now);
        }
        if key == PLANNER_KEY {
            state.lease_wakeup.notify_one();
        }
    }
}
