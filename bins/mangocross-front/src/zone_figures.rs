//! Derives what is known of each zone, and decides where requests may be sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::DemandKey;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::LeaveReason;
use mangocross_serving::Moment;
use mangocross_serving::ServerLoad;
use mangocross_serving::TrafficConfiguration;
use mangocross_serving::ZoneFigures;
use mangocross_serving::ZoneReport;
use mangocross_types::AvailabilityZone;
use mangocross_types::ModelId;
use mangocross_types::VmId;

use crate::dispatch::Call;
use crate::state::AppState;
use crate::state::ClusterView;
use crate::zone_routing::ZoneChoice;
use crate::zone_traffic::LeftZoneBytes;

/// Failure share beyond which a server counts as failing.
const FAILURE_SHARE_MAX: f64 = 0.3;
/// Time until an answer of a plain service before one was measured.
const ANSWER_TIME_DEFAULT: Duration = Duration::from_millis(100);

impl Call {
    /// Returns what the request asks for.
    fn demand_key(&self) -> DemandKey {
        let service = self.configuration.services.get(&self.service);
        let engine = service.and_then(|it| it.engine.as_ref());
        let is_served = |it: &ModelId| engine.is_some_and(|engine| engine.model(it).is_some());
        let model = self.caller_head.model.clone().filter(is_served);
        DemandKey { service: self.service.clone(), model }
    }

    /// Counts the request as demand of this zone.
    pub(crate) fn record_demand(&self) {
        let now = self.state.now();
        let view = &mut *self.state.view.borrow_mut();
        if view.tells_demand(&self.configuration, &self.state.vm.name) {
            view.zones.demands.record_request(self.demand_key(), now);
        }
    }

    /// Records the time until the answer of a plain service to a request that was sent at a moment.
    pub(crate) fn record_answer_time(&self, sent_at: Moment) {
        let time = self.state.now().since(sent_at);
        self.state.view.borrow_mut().zones.record_answer(&self.service, time);
    }

    /// Returns where the request may be sent; `None` if the zones of its service are not told apart.
    pub(crate) fn zone_choice(&self) -> Option<ZoneChoice> {
        let (key, now) = (self.demand_key(), self.state.now());
        let service = self.configuration.services.get(&self.service);
        let is_engine = service.is_some_and(|it| it.engine.is_some());
        {
            let view = self.state.view.borrow();
            // An entry VM that prefers the heads of its zone must know when they are too few.
            let is_asked_for = !self.configuration.zone_delays.is_empty()
                || is_engine && view.gets_counts_via_planner(&self.state.vm.name);
            if !is_asked_for || !view.has_several_zones(&key) {
                return None;
            }
        }
        self.state.decide_zones(&self.configuration, &key, now);
        Some(self.state.view.borrow().zones.choose(&key, self.zone.draw))
    }

    /// Counts a request that is sent to a server in another zone, and returns what counts the bytes of
    /// its answer.
    pub(crate) fn count_left_zone(&self, server: &VmId) -> Option<LeftZoneBytes> {
        let zone = self.state.view.borrow().servers.get(server).map(|it| it.zone.clone())?;
        if zone == self.state.vm.zone {
            return None;
        }
        let reason = self.zone.left.get().unwrap_or(LeaveReason::AnyZone);
        let bytes = self.state.metrics.zone_traffic.count(reason);
        bytes.add(self.body.length());
        Some(bytes)
    }

    /// Chooses among the servers of a plain service that may be asked now.
    pub(crate) fn choose_plain(&self, loads: &[ServerLoad], now: Moment) -> Option<BackendServer> {
        let choice = self.zone_choice();
        let view = self.state.view.borrow();
        let own_zone = &self.state.vm.zone;
        let Some(choice) = choice else {
            self.zone.left.set(Some(LeaveReason::AnyZone));
            let chosen = view.failures.choose(loads, now)?;
            return view.servers.get(&chosen.vm).cloned();
        };
        let (chosen, reason) = view.choose_in_zones(&choice, loads, own_zone, now)?;
        self.zone.left.set(Some(reason));
        Some(chosen)
    }
}

impl AppState {
    /// Decides anew on the shares of requests that leave this zone, if a decision is due.
    fn decide_zones(&self, configuration: &TrafficConfiguration, key: &DemandKey, now: Moment) {
        let view = &mut *self.view.borrow_mut();
        if !view.zones.is_due(key, now) {
            return;
        }
        let own_zone = &self.vm.zone;
        let mut figures = view.zone_figures(configuration, key, own_zone, now);
        let own = figures.remove(own_zone).unwrap_or_else(|| empty(own_zone.clone()));
        let others: Vec<ZoneFigures> = figures.into_values().collect();
        let Some(shares) = view.zones.decide(key, &own, &others, now) else { return };
        let Some(left_out) = self.log_rate.allow("zone shares changed", now) else { return };
        let shares: Vec<String> =
            shares.iter().map(|(zone, it)| format!("{zone} {it:.2}")).collect();
        let figures: Vec<String> = [&own].into_iter().chain(&others).map(describe).collect();
        log::info!(
            service:% = key.service, model = key.model.as_ref().map(ToString::to_string),
            shares = shares.join(", "), figures = figures.join("; "), left_out;
            "shares of requests that leave the zone changed"
        );
    }

    /// Returns what the other entry VMs are told of demand by zone: this VM's, or the sums over all if
    /// `are_sums`. `None` if zones are not told apart.
    pub(crate) fn zone_reports(&self, are_sums: bool) -> Option<Vec<ZoneReport>> {
        let now = self.now();
        let view = self.view.borrow();
        if !view.tells_demand(view.configuration.as_ref()?, &self.vm.name) {
            return None;
        }
        let (demands, zone) = (&view.zones.demands, &self.vm.zone);
        Some(match are_sums {
            true => demands.sums(zone, now),
            false => vec![demands.own_report(zone, now)],
        })
    }

    /// Records what another entry VM tells of demand by zone.
    pub(crate) fn apply_zone_reports(
        &self,
        from: Arc<str>,
        are_sums: bool,
        mut reports: Vec<ZoneReport>,
    ) {
        let now = self.now();
        let demands = &mut self.view.borrow_mut().zones.demands;
        if are_sums {
            demands.apply_sums(reports, now);
        } else if let Some(report) = reports.pop() {
            demands.apply_report(from, report, now);
        }
    }
}

impl ClusterView {
    /// Returns whether entry VMs tell each other of the demand of their zones.
    fn tells_demand(&self, configuration: &TrafficConfiguration, own_name: &str) -> bool {
        !configuration.zone_delays.is_empty() || self.gets_counts_via_planner(own_name)
    }

    /// Returns whether a service has servers in more than one zone.
    fn has_several_zones(&self, key: &DemandKey) -> bool {
        let mut zones =
            self.servers.values().filter(|it| it.service == key.service).map(|it| &it.zone);
        zones.next().is_some_and(|first| zones.any(|it| it != first))
    }

    /// Returns what is known of each zone that has servers of a service or entry VMs.
    fn zone_figures(
        &self,
        configuration: &TrafficConfiguration,
        key: &DemandKey,
        own_zone: &AvailabilityZone,
        now: Moment,
    ) -> BTreeMap<AvailabilityZone, ZoneFigures> {
        let mut zones: BTreeMap<AvailabilityZone, ZoneFigures> = BTreeMap::new();
        let engine = configuration.services.get(&key.service).and_then(|it| it.engine.as_ref());
        let model = engine.and_then(|engine| {
            let named = key.model.as_ref().and_then(|it| engine.model(it));
            named.or(engine.models.first()).map(|it| (engine, it))
        });
        let times = model.map(|(engine, model)| GroupTimes::new(engine, model));
        let prompt_tokens = engine.map_or(0, |it| it.usual_prompt_tokens as u32);
        let answer_time = self.zones.answer_time(&key.service).unwrap_or(ANSWER_TIME_DEFAULT);
        let answer_time = answer_time.max(Duration::from_millis(1));
        let mut servers: BTreeMap<&AvailabilityZone, u32> = BTreeMap::new();
        for server in self.servers.values().filter(|it| it.service == key.service) {
            let figures =
                zones.entry(server.zone.clone()).or_insert_with(|| empty(server.zone.clone()));
            if !self.has_capacity(server, key, engine.is_some(), now) {
                continue;
            }
            let load = self.loads.load(&server.vm, now);
            let slots = times.as_ref().map_or(server.slots, GroupTimes::slots);
            let (per_s, answer_in) = match &times {
                Some(times) => {
                    let slowdown = self.slowdowns.get(&server.vm).copied().unwrap_or(1.0);
                    let head = HeadLoad {
                        vm: server.vm.clone(),
                        zone: server.zone.clone(),
                        in_flight: load.in_flight,
                        waiting: load.waiting,
                        slowdown,
                    };
                    let interval = times.completion_interval().mul_f64(slowdown.max(1.0));
                    (1.0 / interval.as_secs_f64(), times.first_event(&head, prompt_tokens))
                }
                None => {
                    let queue = f64::from(load.in_flight + 1) / f64::from(slots.max(1));
                    let per_s = f64::from(slots) / answer_time.as_secs_f64();
                    (per_s, answer_time.mul_f64(queue.max(1.0)))
                }
            };
            figures.capacity_per_s += per_s;
            figures.in_progress += load.in_flight;
            figures.slots += slots;
            figures.answer_in = Some(figures.answer_in.map_or(answer_in, |it| it.min(answer_in)));
            figures.failure_share += self.failures.share(&server.vm, now);
            *servers.entry(&server.zone).or_default() += 1;
        }
        for figures in zones.values_mut() {
            let count = servers.get(&figures.zone).copied().unwrap_or(1);
            figures.failure_share /= f64::from(count);
            figures.path_delay = configuration.zone_delays.delay(own_zone, &figures.zone);
        }
        let entry_vm_zones = self.entry_vms.values().filter_map(|it| it.zone.as_ref());
        for zone in entry_vm_zones.chain([own_zone]) {
            if !zones.contains_key(zone) {
                zones.insert(zone.clone(), empty(zone.clone()));
            }
        }
        for figures in zones.values_mut() {
            let zone = Some(&figures.zone);
            let listed = self.entry_vms.values().filter(|it| it.zone.as_ref() == zone).count();
            let demands = &self.zones.demands;
            figures.demand = demands.demand(&figures.zone, key, listed, own_zone, now);
        }
        zones
    }

    /// Returns whether a server adds to the capacity of its zone: one that gets no requests now, or few
    /// since it is cold, does not.
    fn has_capacity(
        &self,
        server: &BackendServer,
        key: &DemandKey,
        is_engine: bool,
        now: Moment,
    ) -> bool {
        let serves = match &key.model {
            Some(model) => server.serves(model),
            None if is_engine => server.accepts_requests(),
            None => !server.is_leaving,
        };
        serves && self.is_usable(server, now) && !self.limits.is_limited(server)
    }

    /// Chooses the server of a plain service in the zone that the request is to go to, or, if the best
    /// one there is full or fails, in all zones that may take it.
    fn choose_in_zones(
        &self,
        choice: &ZoneChoice,
        loads: &[ServerLoad],
        own_zone: &AvailabilityZone,
        now: Moment,
    ) -> Option<(BackendServer, LeaveReason)> {
        let zone_of = |it: &ServerLoad| self.servers.get(&it.vm).map(|it| &it.zone);
        let best = |is_candidate: &dyn Fn(&AvailabilityZone) -> bool| {
            let candidates: Vec<ServerLoad> =
                loads.iter().filter(|it| zone_of(it).is_some_and(is_candidate)).cloned().collect();
            let chosen = self.failures.choose(&candidates, now)?;
            let server = self.servers.get(&chosen.vm)?;
            let is_free = self.failures.load(chosen, now) < f64::from(server.slots);
            Some((server.clone(), is_free))
        };
        let (zone, reason) = match &choice.first {
            Some((zone, reason)) => (zone, *reason),
            None => (own_zone, LeaveReason::NoRoom),
        };
        if let Some((server, true)) = best(&|it| it == zone) {
            return Some((server, reason));
        }
        let has_own = loads.iter().any(|it| it.is_same_zone);
        let reason = if has_own { LeaveReason::NoRoom } else { LeaveReason::NoServer };
        let allowed = best(&|it| it == own_zone || choice.allows(it));
        // Servers that fail are worse than a zone of which nothing recent is known.
        let fails = |it: &BackendServer| self.failures.share(&it.vm, now) > FAILURE_SHARE_MAX;
        let chosen = match allowed {
            Some((server, is_free)) if is_free || !fails(&server) => server,
            Some(_) | None => best(&|_| true)?.0,
        };
        Some((chosen, reason))
    }
}

/// Returns the figures of a zone without usable servers.
fn empty(zone: AvailabilityZone) -> ZoneFigures {
    ZoneFigures {
        zone,
        demand: None,
        capacity_per_s: 0.0,
        in_progress: 0,
        slots: 0,
        answer_in: None,
        failure_share: 0.0,
        path_delay: Duration::ZERO,
    }
}

/// Describes the figures of a zone for the log.
fn describe(figures: &ZoneFigures) -> String {
    let ZoneFigures { zone, capacity_per_s, in_progress, slots, failure_share, .. } = figures;
    let demand = figures.demand.map_or_else(
        || "unknown".to_owned(),
        |it| format!("{:.1}/s {} ms ago", it.per_s, it.age.as_millis()),
    );
    format!(
        "{zone}: demand {demand}, capacity {capacity_per_s:.1}/s, {in_progress} of {slots} slots, \
         failures {failure_share:.2}"
    )
}
