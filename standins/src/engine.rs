//! Stand-in for a model engine.

mod generating;
mod member;
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
use member::Member;
pub use options::EngineFaults;
pub use options::EngineOptions;
use orders::handle_order;
use peer_engine::CacheEvents;
use peer_engine::CachePosition;
use peer_engine::ProbeAnswer;
use serde::Deserialize;

use crate::FaultControl;
use crate::control::lock;
use crate::control::pause;
use crate::prefix_cache::PrefixCache;

/// How long a frozen engine keeps its caller waiting, in milliseconds.
const FROZEN_MS: u64 = 30_000;

/// A running engine; clones are handles to the same engine.
#[derive(Clone)]
pub struct EngineStandin {
    server: Arc<HttpServer>,
    state: Arc<State>,
}

struct State {
    options: EngineOptions,
    member: Mutex<Member>,
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
            member: Mutex::new(Member::idle()),
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
        let mut member = lock(&self.state.member);
        let (membership, fetches) = (member.membership + 1, member.fetches);
        *member = Member { membership, fetches, ..Member::idle() };
        lock(&self.state.cache).clear();
    }

    /// Returns the report that the engine sends; of the faults, only `leaving` and `load_lag_ms`
    /// affect it.
    pub fn report(&self) -> BackendReport {
        self.state.report()
    }
}

fn serve(state: &Arc<State>, request: ServerRequest) {
    let Some(mut request) = state.faults.answer(request) else { return };
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
                state.faults.count("cancels");
                lock(&state.member).cancelled.insert(body.attempt_id);
            }
            request.respond(200, &[], Vec::new());
        }
        _ => request.respond(404, &[], b"no such call".to_vec()),
    }
}

impl State {
    fn report(&self) -> BackendReport {
        let faults = self.faults.get();
        let member = lock(&self.member);
        BackendReport {
            vm: self.options.vm.clone(),
            state: if faults.leaving { EngineState::Leaving } else { member.state },
            group: member.group.clone(),
            incarnation: member.incarnation,
            rank: member.rank,
            role: member.role,
            model_version: member.model_version.clone(),
            cached_versions: member.cached_versions.clone(),
            running: member.load_as_of(faults.load_lag_ms),
            queued: 0,
            load_age_ms: faults.load_lag_ms,
            steps: member.steps,
            fencing_number: member.fencing_number,
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
        let mut cache = lock(&self.cache).published(after, lag, faults.cache_event_lose_each);
        cache.events.truncate(max.unwrap_or(usize::MAX));
        Some(cache)
    }
}
