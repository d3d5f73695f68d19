//! Starts and stops the coordinator.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_settings::CoordinatorSettings;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::SystemClock;
use peer_caller::header_refusal;
use peer_caller::respond_refusal;
use peer_entry::FetchServer;
use peer_entry::FetchSource;
use peer_entry::PeerKey;
use peer_entry::PollResponder;
use peer_entry::PollTiming;
use peer_entry::Poller;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::configuration;
use crate::domains;
use crate::handover;
use crate::metrics;
use crate::operators;
use crate::peers;
use crate::peers::CoordinatorPeers;
use crate::placement;
use crate::platform;
use crate::probes;
use crate::registration;
use crate::state::CoordinatorState;

/// Retry delay after a refusal for too many requests.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// Runs the coordinator until SIGTERM or SIGINT.
pub(crate) fn run(settings: CoordinatorSettings) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|it| it.to_string())?;
    let key: PeerKey = settings.peer_secret.parse()?;
    let state = Arc::new(CoordinatorState::open(settings, key.clone(), Arc::new(SystemClock)));
    let settings = &state.settings;
    let cannot_bind = |it: std::io::Error| format!("an address cannot be bound: {it}");

    let answering = Arc::clone(&state);
    let responder =
        PollResponder::bind(settings.listen, key.clone(), move |it| peers::answer(&answering, it))
            .map_err(cannot_bind)?;
    let source = Arc::clone(&state) as Arc<dyn FetchSource>;
    let _fetches = FetchServer::bind(settings.listen, key.clone(), source).map_err(cannot_bind)?;
    let timing = PollTiming {
        interval: Duration::from_millis(settings.poll_interval_ms),
        reply_age_max: Duration::from_millis(settings.freshness_lease_ms),
    };
    let polling = Arc::new(CoordinatorPeers::new(Arc::clone(&state)));
    let poller = Poller::spawn(settings.poll_from, key, timing, Arc::clone(&state.clock), polling)
        .map_err(cannot_bind)?;
    // The `frames_dropped` metric owns the responder and the poller from here on; both stop when
    // dropped.
    metrics::register(&state, responder, poller);
    let operating = Arc::clone(&state);
    let operators = HttpServer::bind(
        settings.operator_listen,
        ServerLimits::default().memory_bytes_max(settings.memory_mb << 20),
        move |it| operators::serve_operator_request(&operating, it),
        refuse,
    )
    .map_err(cannot_bind)?;
    metrics::register_budget(&state, operators.budget());

    for (name, work) in [
        ("configuration", configuration::run as fn(&Arc<CoordinatorState>)),
        ("registration", registration::run),
        ("platform", platform::run),
        ("probes", probes::run),
        ("domains", domains::run),
        ("placement", placement::run),
    ] {
        let state = Arc::clone(&state);
        let builder = thread::Builder::new().name(name.into());
        builder.spawn(move || work(&state)).map_err(|it| it.to_string())?;
    }
    log::info!("coordinator answers operators at {}", settings.operator_listen);
    if state.operators.is_open() {
        log::warn!(
            "no `operator_keys` are set: anyone who can reach this address may give commands"
        );
    }
    signals.forever().next();
    log::info!("planned stop: other coordinators take over");
    handover::run(&state, &mut signals);
    state.tracing.close();
    Ok(())
}

/// Refuses a request whose header could not be read, or that exceeds the server's limits.
fn refuse(request: ServerRequest) {
    let refusal = request.header_error().map_or_else(overloaded, |it| header_refusal(&it));
    respond_refusal(request, &refusal, None);
}

fn overloaded() -> Refusal {
    let text = "this coordinator handles as many requests as it can; come back later";
    Refusal::not_run(ResultCode::Overloaded, text).retry_after(OVERLOAD_RETRY)
}
