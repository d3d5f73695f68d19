//! Starts the gateway and stops it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_settings::GatewaySettings;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::SystemClock;
use peer_caller::respond_refusal;
use peer_entry::PollTiming;
use peer_entry::Poller;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::handler;
use crate::peers::GatewayPeers;
use crate::state::GatewayState;

/// Time that the balancer needs to notice that this process is not ready.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);
/// Time between looks whether requests are still in flight.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Longest wait at the end of a planned stop for claims to be recorded.
const CLAIMS_FLUSH: Duration = Duration::from_secs(5);
/// When to come back after a refusal for too many requests.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// Runs the gateway until SIGTERM, then lets requests in flight finish.
pub(crate) fn run(settings: GatewaySettings) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|it| it.to_string())?;
    let key = settings.peer_secret.parse()?;
    let state = Arc::new(GatewayState::open(settings, Arc::new(SystemClock))?);
    let settings = &state.settings;
    let timing = PollTiming {
        interval: Duration::from_millis(settings.poll_interval_ms),
        reply_age_max: Duration::from_millis(settings.vouch_ms),
    };
    let peers = Arc::new(GatewayPeers::new(Arc::clone(&state)));
    let clock = Arc::clone(&state.clock);
    let _poller = Poller::spawn(settings.poll_from, key, timing, clock, peers)
        .map_err(|it| format!("{} cannot be bound: {it}", settings.poll_from))?;
    let limits = ServerLimits::default()
        .body_bytes_max(settings.body_bytes_max)
        .in_flight_max(settings.in_flight_max);
    let serving = Arc::clone(&state);
    let server = HttpServer::bind(
        settings.listen,
        limits,
        move |it| handler::handle(&serving, it),
        |it| respond_refusal(it, &overloaded(), None),
    )
    .map_err(|it| format!("{} cannot be bound: {it}", settings.listen))?;
    log::info!("gateway serves callers at {}", server.address());
    signals.forever().next();
    stop(&state, &server);
    Ok(())
}

fn stop(state: &GatewayState, server: &HttpServer) {
    log::info!("planned stop: finishing requests in flight");
    state.stopping.store(true, Ordering::SeqCst);
    thread::sleep(BALANCER_NOTICE);
    let deadline = state.clock.now() + Duration::from_millis(state.settings.stop_ms);
    while server.in_flight() > 0 && state.clock.now() < deadline {
        thread::sleep(STOP_POLL);
    }
    if !state.claims.flush(CLAIMS_FLUSH) {
        log::warn!("planned stop: the store does not take the outcome of all claims");
    }
    log::info!("planned stop: done with {} requests in flight", server.in_flight());
}

fn overloaded() -> Refusal {
    let text = "this entry VM handles as many requests as it can; come back later";
    Refusal::not_run(ResultCode::Overloaded, text).retry_after(OVERLOAD_RETRY)
}
