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
use super::status::EngineStatus;
use super::status::WeightFetch;
use crate::control::lock;
use crate::control::pause;

/// Time between checks of a fetch in progress, in milliseconds.
const FETCH_POLL_MS: u64 = 10;

pub(super) fn handle_order(state: &Arc<State>, request: ServerRequest, order: Order) {
    state.faults.increment("orders");
    if matches!(order.kind, OrderKind::Load { .. }) {
        state.faults.increment("load_orders");
    }
    let faults = state.faults.get();
    pause(faults.order_delay_ms);
    if unix_ms() > order.deadline_unix_ms && !faults.ignore_deadline {
        return request.respond_json(410, &OrderAnswer::Late);
    }
    let mut status = lock(&state.status);
    if state.options.honours_fence && order.fencing_number < status.fencing_number {
        let seen = status.fencing_number;
        drop(status);
        return request.respond_json(409, &OrderAnswer::StaleFence { seen });
    }
    status.fencing_number = status.fencing_number.max(order.fencing_number);
    if status.executed_orders.insert(order.order_id) {
        execute(state, &mut status, order.kind);
    }
    drop(status);
    request.respond_json(200, &OrderAnswer::Taken);
}

fn execute(state: &Arc<State>, status: &mut EngineStatus, kind: OrderKind) {
    match kind {
        OrderKind::Load { group, incarnation, rank, model_version, .. } => {
            if status.is_in(&group, incarnation) && status.rank == rank {
                return;
            }
            status.membership_number += 1;
            lock(&state.cache).clear();
            status.group = Some(group);
            status.incarnation = incarnation;
            status.rank = rank;
            status.role = EngineRole::Serving;
            let is_loaded = status.model_version.as_ref() == Some(&model_version);
            if is_loaded {
                status.state = EngineState::Ready;
                return;
            }
            status.state = EngineState::Loading;
            status.model_version = None;
            let membership_number = status.membership_number;
            let loading = Arc::clone(state);
            thread::spawn(move || loading.load(membership_number, model_version));
        }
        OrderKind::Preload { model_version, .. } => {
            let is_cached = status.cached_versions.contains(&model_version);
            if status.group.is_some() || is_cached || status.fetch.is_some() {
                return;
            }
            status.state = EngineState::Preloading;
            state.faults.increment("preloads");
            let fetch = status.begin_fetch(model_version);
            let fetching = Arc::clone(state);
            thread::spawn(move || fetching.fetch(&fetch));
        }
        OrderKind::CancelPreload => {
            if status.state == EngineState::Preloading {
                state.faults.increment("cancelled_preloads");
                status.state = EngineState::Idle;
                status.fetch = None;
            }
        }
        OrderKind::ChangeRole { group, incarnation, role } => {
            if status.is_in(&group, incarnation) {
                status.role = role;
            }
        }
        OrderKind::Unload { group, incarnation } => {
            if status.is_in(&group, incarnation) {
                status.membership_number += 1;
                status.group = None;
                status.state = EngineState::Idle;
                status.role = EngineRole::Serving;
                status.model_version = None;
            }
        }
    }
}

impl State {
    /// Fetches the weights unless they are on the VM, and makes the engine ready.
    ///
    /// Waits for a preload of the same version if one is in progress.
    pub(super) fn load(&self, membership_number: u64, model_version: ModelVersion) {
        self.faults.increment("loads");
        loop {
            let mut status = lock(&self.status);
            if status.membership_number != membership_number {
                return;
            }
            if status.cached_versions.contains(&model_version) {
                status.model_version = Some(model_version);
                status.state = EngineState::Ready;
                return;
            }
            match &status.fetch {
                Some(fetch) if fetch.model_version == model_version => {
                    drop(status);
                    pause(FETCH_POLL_MS);
                }
                _ => {
                    let fetch = status.begin_fetch(model_version.clone());
                    drop(status);
                    self.fetch(&fetch);
                }
            }
        }
    }

    /// Fetches weights to the VM, unless the fetch is cancelled meanwhile.
    pub(super) fn fetch(&self, fetch: &WeightFetch) {
        let duration_ms = self.start_weight_load(&fetch.model_version) + self.options.load_ms;
        let deadline = Instant::now() + Duration::from_millis(duration_ms);
        while self.is_fetching(fetch) && Instant::now() < deadline {
            pause(FETCH_POLL_MS);
        }
        let mut status = lock(&self.status);
        if status.fetch.as_ref() != Some(fetch) {
            drop(status);
            return self.cancel_weight_load();
        }
        status.fetch = None;
        status.cached_versions.push(fetch.model_version.clone());
        if status.state == EngineState::Preloading {
            status.state = EngineState::Idle;
        }
    }

    pub(super) fn is_fetching(&self, fetch: &WeightFetch) -> bool {
        lock(&self.status).fetch.as_ref() == Some(fetch)
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
