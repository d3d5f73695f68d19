//! Serves the balancer's readiness checks and the metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use mangocross_http::ByteBudget;
use mangocross_platform::READY_PATH;

use crate::answer_body::AnswerBody;
use crate::connection;
use crate::connection::ConnectionState;
use crate::connection::TrackedSocket;
use crate::exposed_port::ExposedPort;
use crate::ingress::BUFFER_BYTES_MIN;
use crate::state::AppState;
use crate::unreadable_configuration::UNREADABLE_REASON;

/// Port and path of the metrics, as in deploy/system.toml.
const METRICS_PORT: u16 = 9464;
const METRICS_PATH: &str = "/metrics";

/// Connections to the port of readiness checks; a balancer has a few.
const READY_CONNECTIONS_MAX: usize = 32;
/// Connections to the port of the metrics; one scraper and a few operators.
const METRICS_CONNECTIONS_MAX: usize = 16;
/// Memory of all connections to these ports, apart from the byte budget of callers, so that a crowd of
/// callers leaves them alive.
const RESERVED_MEMORY_BYTES: u64 = 4 << 20;
/// Fraction of revoke_within after which this VM is not ready unless its configuration has been
/// confirmed again.
const READY_AGE_RATIO: f64 = 0.7;

/// Listens for readiness checks and for scrapes of the metrics.
pub(crate) async fn bind(state: &Rc<AppState>) -> Result<(), String> {
    let ready = ExposedPort {
        name: "ready",
        address: state.vm.ready_listen,
        connections_max: READY_CONNECTIONS_MAX,
    };
    listen(state, ready).await?;
    let metrics = ExposedPort {
        name: "metrics",
        address: SocketAddr::new(state.vm.ip, METRICS_PORT),
        connections_max: METRICS_CONNECTIONS_MAX,
    };
    listen(state, metrics).await
}

async fn listen(state: &Rc<AppState>, port: ExposedPort) -> Result<(), String> {
    let was_ready = Rc::new(Cell::new(None));
    let budget = ByteBudget::of_memory(RESERVED_MEMORY_BYTES);
    let respond_state = Rc::clone(state);
    let serve = move |stream, connection_state: Rc<ConnectionState>| {
        let state = Rc::clone(&respond_state);
        let was_ready = Rc::clone(&was_ready);
        async move {
            let service = service_fn(|request: Request<Incoming>| {
                let in_progress = connection_state.begin_request();
                let response = respond(&state, &was_ready, request.uri().path());
                async move {
                    let response = response.map(AnswerBody::whole);
                    Ok::<_, Infallible>(response.map(|it| it.with_guards(None, in_progress)))
                }
            });
            let socket = TrackedSocket::new(stream, Rc::clone(&connection_state));
            let serving = http1::Builder::new()
                .max_buf_size(BUFFER_BYTES_MIN)
                .serve_connection(socket, service);
            connection::serve(serving, &connection_state).await
        }
    };
    port.listen(state, move || budget.enter(), serve).await
}

fn respond(state: &AppState, was_ready: &Cell<Option<bool>>, path: &str) -> Response<Bytes> {
    let (status, body) = match path {
        READY_PATH => {
            let reason = state.not_ready_reason();
            if was_ready.replace(Some(reason.is_none())) != Some(reason.is_none()) {
                let reason = reason.unwrap_or_default();
                log::info!(is_ready = reason.is_empty(), reason; "readiness changed");
            }
            match reason {
                None => (StatusCode::OK, String::new()),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason.to_owned()),
            }
        }
        METRICS_PATH => (StatusCode::OK, state.metrics.text(state)),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    response
}

impl AppState {
    /// Returns why this VM is not ready for new callers, or `None` if it is.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("stopping");
        }
        let view = self.view.borrow();
        if view.configuration.is_none() {
            return Some("no configuration");
        }
        if view.freshness.lacks_newest() {
            return Some(UNREADABLE_REASON);
        }
        if view.servers.is_empty() {
            return Some("no backend servers");
        }
        let age = view.freshness.age(self.now()).unwrap_or(Duration::MAX);
        let bound = self.bounds().revoke_within?.mul_f64(READY_AGE_RATIO);
        (age > bound).then_some("the configuration is not proved fresh")
    }
}
