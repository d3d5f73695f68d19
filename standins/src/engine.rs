//! Stand-in for a model engine.

mod generating;
mod status;
mod options;
mod orders;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

pub use generating::expected_text;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_types::AttemptId;
use mangocross_types::BackendReport;
use mangocross_types::EngineState;
pub use options::EngineFaults;
pub use options::EngineOptions;
use orders::handle_order;
use peer_engine::CacheEvents;
use peer_engine::CachePosition;
use peer_engine::ProbeAnswer;
use serde::Deserialize;
use status::EngineStatus;

use crate::FaultControl;
use crate::control::lock;
use crate::control::pause;
use crate::prefix_cache::PrefixCache;

/// Delay of a frozen engine's answers and of a silent engine's tokens, in milliseconds.
const FROZEN_MS: u64 = 30_000;

/// A running engine; clones are handles to the same engine.
#[derive(Clone)]
pub struct EngineStandin {
    server: Arc<HttpServer>,
    state: Arc<State>,
}

struct State {
    options: EngineOptions,
    status: Mutex<EngineStatus>,
    cache: Mutex<PrefixCache>,
    faults: FaultControl<EngineFaults>,
    client: HttpClient,
}

#[derive(Debug, Deserialize)]
struct CancelBody {
    attempt_id: AttemptId,
}

impl EngineStandin {
    /// Binds an address and serves an engine that belongs to no group.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let cache = PrefixCache::new(options.cached_prefixes_max);
        let state = Arc::new(State {
            cache: Mutex::new(cache),
            options,
            status: Mutex::new(EngineStatus::idle()),
            faults: FaultControl::default(),
            client: HttpClient::open(),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::bind(
            address,
            ServerLimits::default(),
            move |it| serve(&shared, it),
            |it| it.respond(503, &[("x-run-outcome", "not_run")], b"too many calls".to_vec()),
        )?;
        Ok(Self { server: Arc::new(server), state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches and counts.
    pub fn faults(&self) -> &FaultControl<EngineFaults> {
        &self.state.faults
    }

    /// Resets the engine as a restart on its VM does; its work ends.
    pub fn restart_empty(&self) {
        let mut status = lock(&self.state.status);
        let (membership_number, last_fetch_number) =
            (status.membership_number + 1, status.last_fetch_number);
        *status = EngineStatus { membership_number, last_fetch_number, ..EngineStatus::idle() };
        lock(&self.state.cache).clear();
    }

    /// Returns the report that the engine sends; of the faults, only `leaving` and `load_lag_ms`
    /// affect it.
    pub fn report(&self) -> BackendReport {
        self.state.report()
    }
}

fn serve(state: &Arc<State>, request: ServerRequest) {
    let Some(mut request) = state.faults.answer_control_request(request) else { return };
    let faults = state.faults.get();
    if faults.dead {
        return;
    }
    if faults.frozen {
        return pause(FROZEN_MS);
    }
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/v1/report") => {
            let report = state.report();
            let cache = state.cache_events(&request);
            request.respond_json(200, &ProbeAnswer { report, cache });
        }
        (Some(HttpMethod::Post), "/v1/orders") => match request.read_json() {
            Ok(order) => handle_order(state, request, order),
            Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
        },
        (Some(HttpMethod::Post), "/v1/generate") => match request.read_json() {
            Ok(body) => state.generate(request, &body),
            Err(error) => request.respond(400, &[], error.to_string().into_bytes()),
        },
        (Some(HttpMethod::Post), "/v1/cancel") => {
            if let Ok(body) = request.read_json::<CancelBody>() {
                state.faults.increment("cancels");
                lock(&state.status).cancelled.insert(body.attempt_id);
            }
            request.respond(200, &[], Vec::new());
        }
        _ => request.respond(404, &[], b"no such call".to_vec()),
    }
}

impl State {
    fn report(&self) -> BackendReport {
        let faults = self.faults.get();
        let status = lock(&self.status);
        BackendReport {
            vm: self.options.vm.clone(),
            state: if faults.leaving { EngineState::Leaving } else { status.state },
            group: status.group.clone(),
            incarnation: status.incarnation,
            rank: status.rank,
            role: status.role,
            model_version: status.model_version.clone(),
            cached_versions: status.cached_versions.clone(),
            running: status.running_as_of(faults.load_lag_ms),
            queued: 0,
            load_age_ms: faults.load_lag_ms,
            steps: status.steps,
            fencing_number: status.fencing_number,
        }
    }

    /// Returns the cache events after the requested position, if any were requested.
    fn cache_events(&self, request: &ServerRequest) -> Option<CacheEvents> {
        let parameter = |name: &str| request.parameter(name)?.parse::<u64>().ok();
        let number = parameter("cache_after")?;
        let after = parameter("cache_epoch").map(|epoch| CachePosition { epoch, number });
        let max = parameter("cache_max").and_then(|it| usize::try_from(it).ok());
        let faults = self.faults.get();
        let lag = Duration::from_millis(faults.cache_event_lag_ms);
        let mut cache = lock(&self.cache).events_after(after, lag, faults.cache_event_lose_each);
        cache.events.truncate(max.unwrap_or(usize::MAX));
        Some(cache)
    }
}
