//! Execution of orders by an engine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_http::HttpCall;
use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::ModelVersion;
use mangocross_types::Order;
use mangocross_types::OrderAnswer;
use mangocross_types::OrderKind;

use super::State;
use super::member::Fetch;
use super::member::Member;
use crate::control::lock;
use crate::control::pause;

/// Time between checks of a fetch in progress, in milliseconds.
const FETCH_POLL_MS: u64 = 10;

pub(super) fn handle_order(state: &Arc<State>, request: ServerRequest, order: Order) {
    state.faults.count("orders");
    let faults = state.faults.get();
    pause(faults.order_delay_ms);
    if unix_ms() > order.deadline_unix_ms && !faults.ignore_deadline {
        return request.respond_json(410, &OrderAnswer::Late);
    }
    let mut member = lock(&state.member);
    if state.options.honours_fence && order.fencing_number < member.fencing_number {
        let seen = member.fencing_number;
        drop(member);
        return request.respond_json(409, &OrderAnswer::StaleFence { seen });
    }
    member.fencing_number = member.fencing_number.max(order.fencing_number);
    if member.executed_orders.insert(order.order_id) {
        execute(state, &mut member, order.kind);
    }
    drop(member);
    request.respond_json(200, &OrderAnswer::Taken);
}

fn execute(state: &Arc<State>, member: &mut Member, kind: OrderKind) {
    match kind {
        OrderKind::Load { group, incarnation, rank, model_version, .. } => {
            if member.is_in(&group, incarnation) && member.rank == rank {
                return;
            }
            member.membership += 1;
            lock(&state.cache).clear();
            member.group = Some(group);
            member.incarnation = incarnation;
            member.rank = rank;
            member.role = EngineRole::Serving;
            let is_loaded = member.model_version.as_ref() == Some(&model_version);
            if is_loaded {
                member.state = EngineState::Ready;
                return;
            }
            member.state = EngineState::Loading;
            member.model_version = None;
            let membership = member.membership;
            let loading = Arc::clone(state);
            thread::spawn(move || loading.load(membership, model_version));
        }
        OrderKind::Preload { model_version, .. } => {
            let is_cached = member.cached_versions.contains(&model_version);
            if member.group.is_some() || is_cached || member.fetch.is_some() {
                return;
            }
            member.state = EngineState::Preloading;
            state.faults.count("preloads");
            let fetch = member.begin_fetch(model_version);
            let fetching = Arc::clone(state);
            thread::spawn(move || fetching.fetch(&fetch));
        }
        OrderKind::CancelPreload => {
            if member.state == EngineState::Preloading {
                state.faults.count("cancelled_preloads");
                member.state = EngineState::Idle;
                member.fetch = None;
            }
        }
        OrderKind::ChangeRole { group, incarnation, role } => {
            if member.is_in(&group, incarnation) {
                member.role = role;
            }
        }
        OrderKind::Unload { group, incarnation } => {
            if member.is_in(&group, incarnation) {
                member.membership += 1;
                member.group = None;
                member.state = EngineState::Idle;
                member.role = EngineRole::Serving;
                member.model_version = None;
            }
        }
    }
}

impl State {
    /// Fetches the weights unless they are on the VM, and makes the engine ready.
    ///
    /// Waits for a preload of the same version if one is in progress.
    pub(super) fn load(&self, membership: u64, model_version: ModelVersion) {
        self.faults.count("loads");
        loop {
            let mut member = lock(&self.member);
            if member.membership != membership {
                return;
            }
            if member.cached_versions.contains(&model_version) {
                member.model_version = Some(model_version);
                member.state = EngineState::Ready;
                return;
            }
            match &member.fetch {
                Some(fetch) if fetch.model_version == model_version => {
                    drop(member);
                    pause(FETCH_POLL_MS);
                }
                _ => {
                    let fetch = member.begin_fetch(model_version.clone());
                    drop(member);
                    self.fetch(&fetch);
                }
            }
        }
    }

    /// Fetches weights to the VM, unless the fetch is cancelled meanwhile.
    pub(super) fn fetch(&self, fetch: &Fetch) {
        let duration_ms = self.start_weight_load(&fetch.model_version) + self.options.load_ms;
        let deadline = Instant::now() + Duration::from_millis(duration_ms);
        while self.is_fetching(fetch) && Instant::now() < deadline {
            pause(FETCH_POLL_MS);
        }
        let mut member = lock(&self.member);
        if member.fetch.as_ref() != Some(fetch) {
            drop(member);
            return self.cancel_weight_load();
        }
        member.fetch = None;
        member.cached_versions.push(fetch.model_version.clone());
        if member.state == EngineState::Preloading {
            member.state = EngineState::Idle;
        }
    }

    pub(super) fn is_fetching(&self, fetch: &Fetch) -> bool {
        lock(&self.member).fetch.as_ref() == Some(fetch)
    }

    /// Schedules a load at the weight store; returns its duration there, in milliseconds.
    pub(super) fn start_weight_load(&self, model_version: &ModelVersion) -> u64 {
        let Some(address) = self.options.weight_store else { return 0 };
        let body = serde_json::json!({"vm": self.options.vm, "model_version": model_version});
        let call = HttpCall::new(HttpMethod::Post, address, "/v1/weights/loads").json(&body);
        let answer = self.client.call(call).and_then(|it| it.read_json::<serde_json::Value>(1024));
        answer.map_or(0, |it| it["wait_ms"].as_u64().unwrap_or_default())
    }

    /// Cancels the load at the weight store.
    pub(super) fn cancel_weight_load(&self) {
        let Some(address) = self.options.weight_store else { return };
        let path = format!("/v1/weights/loads/{}", self.options.vm);
        let _ = self.client.call(HttpCall::new(HttpMethod::Delete, address, &path));
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
