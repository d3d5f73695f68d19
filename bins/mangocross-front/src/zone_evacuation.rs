//! Follows the operators' keys that evacuate availability zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::kv::Value;
use mangocross_platform::EVACUATIONS_PREFIX;
use mangocross_platform::StoreItem;
use mangocross_platform::evacuated_zone;
use mangocross_serving::BackendServer;
use mangocross_serving::EvacuationMark;
use mangocross_serving::Moment;
use mangocross_types::AvailabilityZone;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use crate::state::AppState;
use crate::state::ClusterView;
use crate::store_following::read_operators_keys;

/// Time between two checks of whether the keys of operators have to be read.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of the bound of an evacuation after which operators' keys that have not been proved current are
/// read from the store, whatever the relays do. Three relays that hang take 4.9 s to be given up.
const READ_AGE_RATIO: f64 = 0.66;
/// Multiple of that bound from which the store counts as away and is not asked in addition.
const READ_AGE_RATIO_MAX: f64 = 2.0;
/// Minimum time between two such reads.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between two checks of whether the evacuated zones are known and others are left.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after which a zone is unknown that has no server and no entry VM; by then all are listed.
const UNKNOWN_AFTER: Duration = Duration::from_secs(3);

/// Starts the tasks that read the keys of evacuations when no one else tells of them, and that warn of
/// evacuations that do not fit the servers.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let reader = Rc::clone(state);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(READ_CHECK_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
            if needs_read(&reader) {
                read_keys(&reader).await;
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }
    });
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let mut warned = BTreeMap::new();
        let mut was_all_evacuated = false;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            warn_of_unknown_zones(&state, &mut warned);
            let is_all_evacuated = state.view.borrow().are_all_zones_evacuated();
            if is_all_evacuated && !was_all_evacuated {
                log_all_evacuated(&state);
            }
            was_all_evacuated = is_all_evacuated;
        }
    });
}

impl AppState {
    /// Applies a written or removed key of an evacuation, unless a newer change of it is known.
    pub(crate) fn apply_evacuation(&self, key: &str, revision: StoreRevision, is_evacuated: bool) {
        let zone = match evacuated_zone(key) {
            Ok(it) => it,
            Err(error) => {
                log::warn!(key, error:% = error; "evacuation ignored");
                return;
            }
        };
        let mark = EvacuationMark { zone, revision, is_evacuated };
        let has_changed = self.view.borrow_mut().evacuations.record(&mark, self.now());
        if has_changed {
            self.evacuation_changed(&mark.zone, "the store");
        }
    }

    /// Applies that all keys of operators have been read; an evacuation without a key has ended.
    pub(crate) fn apply_all_evacuations(&self, items: &[StoreItem], as_of: StoreRevision) {
        let keys = items.iter().filter(|it| it.key.starts_with(EVACUATIONS_PREFIX));
        let listed: BTreeSet<AvailabilityZone> =
            keys.filter_map(|it| evacuated_zone(&it.key).ok()).collect();
        let now = self.now();
        let removed = self.view.borrow_mut().evacuations.record_complete(&listed, as_of, now);
        removed.iter().for_each(|it| self.evacuation_changed(it, "all keys of the store"));
    }

    /// Applies what another entry VM tells of evacuations.
    pub(crate) fn apply_evacuation_marks(&self, marks: &[EvacuationMark]) {
        let now = self.now();
        for it in marks {
            let has_changed = self.view.borrow_mut().evacuations.record_report(it, now);
            if has_changed {
                self.evacuation_changed(&it.zone, "another entry VM");
            }
        }
    }

    /// Returns whether a server may get no requests since its zone is evacuated.
    pub(crate) fn is_evacuated(&self, vm: &VmId) -> bool {
        let view = self.view.borrow();
        view.servers.get(vm).is_some_and(|it| view.evacuations.is_evacuated(&it.zone))
    }

    fn evacuation_changed(&self, zone: &AvailabilityZone, source: &str) {
        let now = self.now();
        let view = self.view.borrow();
        let servers = view.servers.values().filter(|it| it.zone == *zone).count();
        let age_ms = view.freshness.age(now);
        let age_ms = age_ms.map_or(Value::null(), |it| Value::from(it.as_millis() as u64));
        let mark = view.evacuations.marks().into_iter().find(|it| it.zone == *zone);
        let revision = mark.map_or(0, |it| it.revision.revision.0);
        match view.evacuations.is_evacuated(zone) {
            true => {
                log::warn!(zone:% = zone, revision, age_ms, servers, source; "zone evacuated");
            }
            false => {
                log::warn!(zone:% = zone, revision, age_ms, servers, source; "zone taken back");
            }
        }
        drop(view);
        self.view.borrow_mut().expect_cold_servers(zone, now);
        self.planner_inputs_changed.notify_one();
        self.peer_updates.notify_one();
    }
}

impl ClusterView {
    /// Returns whether a server may get requests as far as its zone is concerned.
    pub(crate) fn is_in_use(&self, server: &BackendServer) -> bool {
        !self.evacuations.is_evacuated(&server.zone)
    }

    /// Takes the servers of a zone that was taken back for cold.
    fn expect_cold_servers(&mut self, zone: &AvailabilityZone, now: Moment) {
        if self.evacuations.is_evacuated(zone) {
            return;
        }
        let Self { cold, servers, .. } = self;
        let of_zone = servers.values().filter(|it| it.zone == *zone);
        of_zone.for_each(|it| cold.record_taken_back(it, now));
    }

    /// Returns the zones that have servers or are or were evacuated, and whether each is evacuated.
    pub(crate) fn zones(&self) -> BTreeMap<AvailabilityZone, bool> {
        let with_servers = self.servers.values().map(|it| it.zone.clone());
        let marked = self.evacuations.marks().into_iter().map(|it| it.zone);
        let zones = with_servers.chain(marked);
        zones.map(|it| (it.clone(), self.evacuations.is_evacuated(&it))).collect()
    }

    /// Returns the evacuations that are to be sent to all other entry VMs at once.
    pub(crate) fn evacuation_news(&mut self) -> Vec<EvacuationMark> {
        match self.evacuations.take_news() {
            true => self.evacuations.marks(),
            false => Vec::new(),
        }
    }

    fn are_all_zones_evacuated(&self) -> bool {
        !self.servers.is_empty() && self.servers.values().all(|it| !self.is_in_use(it))
    }

    /// Returns the evacuated zones without a listed server or entry VM.
    fn unknown_zones(&self, now: Moment) -> Vec<(AvailabilityZone, StoreRevision)> {
        let is_known = |zone: &AvailabilityZone| {
            self.servers.values().any(|it| it.zone == *zone)
                || self.entry_vms.values().any(|it| it.zone.as_ref() == Some(zone))
        };
        let evacuated = self.evacuations.evacuated();
        let unknown = evacuated
            .filter(|(zone, _, since)| now.since(*since) >= UNKNOWN_AFTER && !is_known(zone));
        unknown.map(|(zone, revision, _)| (zone.clone(), revision)).collect()
    }
}

/// Returns whether an evacuation might be missed within its bound if the store is not asked now.
fn needs_read(state: &AppState) -> bool {
    let Some(bound) = state.bounds().evacuate_within else { return false };
    let age = state.view.borrow().freshness.age(state.now());
    age.is_some_and(|it| {
        (bound.mul_f64(READ_AGE_RATIO)..bound.mul_f64(READ_AGE_RATIO_MAX)).contains(&it)
    })
}

async fn read_keys(state: &AppState) {
    let outcome = match read_operators_keys(state).await {
        Ok(()) => "read".to_owned(),
        Err(error) => error.to_string(),
    };
    if let Some(left_out) = state.log_rate.allow("operators' keys read", state.now()) {
        log::info!(outcome, left_out; "operators' keys read without a relay");
    }
}

fn warn_of_unknown_zones(state: &AppState, warned: &mut BTreeMap<AvailabilityZone, StoreRevision>) {
    for (zone, revision) in state.view.borrow().unknown_zones(state.now()) {
        if warned.insert(zone.clone(), revision) != Some(revision) {
            log::warn!(
                zone:% = zone, revision = revision.revision.0;
                "evacuated zone has no servers and no entry VMs"
            );
        }
    }
}

fn log_all_evacuated(state: &AppState) {
    let view = state.view.borrow();
    let zones: Vec<&str> = view.evacuations.evacuated().map(|(zone, ..)| zone.as_str()).collect();
    let last = view.evacuations.evacuated().max_by_key(|(_, revision, _)| *revision);
    let (last, revision) =
        last.map_or(("", 0), |(zone, revision, _)| (zone.as_str(), revision.revision.0));
    log::error!(
        zones:? = zones, last, revision, servers = view.servers.len(), key_prefix = EVACUATIONS_PREFIX;
        "[2102] all zones that have servers are evacuated: requests are refused; remove the key of one"
    );
}
