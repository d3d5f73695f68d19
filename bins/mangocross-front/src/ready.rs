//! Serves the balancer's readiness checks and the metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mangocross_platform::READY_PATH;
use tokio::net::TcpListener;

use crate::state::AppState;

/// Port and path of the metrics, as in deploy/system.toml.
const METRICS_PORT: u16 = 9464;
const METRICS_PATH: &str = "/metrics";

/// Listens for readiness checks and for scrapes of the metrics.
pub(crate) async fn bind(state: &Rc<AppState>) -> Result<(), String> {
    listen(state, state.vm.ready_listen).await?;
    listen(state, SocketAddr::new(state.vm.ip, METRICS_PORT)).await
}

async fn listen(state: &Rc<AppState>, address: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|it| format!("[8102] {address} cannot be bound: {it}"))?;
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let was_ready = Rc::new(Cell::new(None));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let state = Rc::clone(&state);
            let was_ready = Rc::clone(&was_ready);
            tokio::task::spawn_local(async move {
                let service = service_fn(|request: Request<Incoming>| {
                    let response = respond(&state, &was_ready, request.uri().path());
                    async move { Ok::<_, Infallible>(response) }
                });
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    log::debug!(error:% = error; "readiness connection ended");
                }
            });
        }
    });
    Ok(())
}

fn respond(state: &AppState, was_ready: &Cell<Option<bool>>, path: &str) -> Response<Full<Bytes>> {
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
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
