//! Startup and planned stop of the gateway.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_settings::GatewaySettings;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::SystemClock;
use peer_caller::header_refusal;
use peer_caller::respond_refusal;
use peer_entry::PollTiming;
use peer_entry::Poller;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::handler;
use crate::metrics;
use crate::peers::GatewayPeers;
use crate::retry_after::jittered;
use crate::state::GatewayState;

/// Interval at which a planned stop checks for requests in flight.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Consecutive checks without a request in flight after which the process exits.
const STOP_IDLE_CHECKS: u32 = 4;
/// Longest wait at the end of a planned stop until the claims' outcomes are stored.
const CLAIMS_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum retry delay after a refusal for too many requests.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// Runs the gateway until SIGTERM, then lets requests in flight finish.
pub(crate) fn run(settings: GatewaySettings) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|it| it.to_string())?;
    let key = settings.peer_secret.parse()?;
    let state = Arc::new(GatewayState::open(settings, Arc::new(SystemClock))?);
    let settings = &state.settings;
    let timing = PollTiming {
        interval: Duration::from_millis(settings.poll_interval_ms),
        reply_age_max: Duration::from_millis(settings.freshness_lease_ms),
    };
    let peers = Arc::new(GatewayPeers::new(Arc::clone(&state)));
    let clock = Arc::clone(&state.clock);
    let poller = Poller::spawn(settings.poll_from, key, timing, clock, peers)
        .map_err(|it| format!("failed to bind {}: {it}", settings.poll_from))?;
    let poller = Arc::new(poller);
    metrics::register(&state, &poller);
    let limits = ServerLimits::default()
        .body_bytes_max(settings.body_bytes_max)
        .memory_bytes_max(settings.memory_mb << 20)
        .in_flight_max(settings.in_flight_max);
    let (serving, refusing) = (Arc::clone(&state), Arc::clone(&state));
    let server = HttpServer::bind(
        settings.listen,
        limits,
        move |it| handler::route(&serving, it),
        move |it| refuse(&refusing, it),
    )
    .map_err(|it| format!("failed to bind {}: {it}", settings.listen))?;
    metrics::register_budget(&state, server.budget());
    log::info!("gateway is listening for callers at {}", server.address());
    signals.forever().next();
    stop(&state, &server);
    Ok(())
}

/// Stops without interrupting a request: reports not ready to the load balancer, then refuses new
/// requests, then waits for those in flight. Those whose deadlines end later are answered at its end.
fn stop(state: &GatewayState, server: &HttpServer) {
    log::info!(
        "planned stop: reporting not ready; serving until the load balancer stops sending requests"
    );
    let notice = Duration::from_millis(state.settings.notice_ms);
    let deadline = state.clock.now() + notice + Duration::from_millis(state.settings.stop_ms);
    state.stop_time.set_exit(deadline);
    state.stopping.store(true, Ordering::SeqCst);
    thread::sleep(notice);
    log::info!("planned stop: refusing new requests; waiting for those in flight");
    state.refusing.store(true, Ordering::SeqCst);
    let mut idle_checks = 0;
    while idle_checks < STOP_IDLE_CHECKS && state.clock.now() < deadline {
        thread::sleep(STOP_CHECK_INTERVAL);
        idle_checks = if server.in_flight() == 0 { idle_checks + 1 } else { 0 };
    }
    if !state.claims.flush(CLAIMS_FLUSH_TIMEOUT) {
        log::warn!("planned stop: the outcomes of some claims could not be stored");
    }
    state.tracing.close();
    log::info!("planned stop: finished with {} requests in flight", server.in_flight());
}

/// Answers a request whose header could not be read, or that exceeds the limit of requests in
/// flight; health checks and metrics are served regardless of the limit.
fn refuse(state: &GatewayState, request: ServerRequest) {
    if let Some(error) = request.header_error() {
        let refusal = header_refusal(&error);
        state.metrics.record_end(None, refusal.outcome, Some(refusal.code));
        return respond_refusal(request, &refusal, None);
    }
    if handler::is_operational(request.path()) {
        return handler::route(state, request);
    }
    let text = "this entry VM handles as many requests as it can; come back later";
    let refusal = Refusal::not_run(ResultCode::Overloaded, text);
    respond_refusal(request, &refusal.retry_after(jittered(OVERLOAD_RETRY)), None);
}
