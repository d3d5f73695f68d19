//! Answers the questions of other entry VMs for changes of the store, and serves requests that they
//! pass on.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use mangocross_serving::Moment;
use mangocross_serving::RelayedOutage;
use tokio::net::TcpStream;

use crate::answer_body::AnswerBody;
use crate::connection;
use crate::connection::ConnectionState;
use crate::connection::Ended;
use crate::connection::TrackedSocket;
use crate::dispatch;
use crate::dispatch::RequestSender;
use crate::exposed_port::ExposedPort;
use crate::ingress::BUFFER_BYTES_MIN;
use crate::ingress::READ_AHEAD_BYTES;
use crate::peer_forwarding::PASSED_ON_BY;
use crate::peer_nonce::PeerNonce;
use crate::relay_messages::CHANGES_PATH;
use crate::relay_messages::QUESTION_BYTES_MAX;
use crate::relay_messages::RelayAnswer;
use crate::relay_messages::RelayQuestion;
use crate::relay_messages::RelayedConfirmation;
use crate::state::AppState;

/// Maximum time for which a question is held, whatever it asks for.
const HOLD_MAX: Duration = Duration::from_secs(5);
/// Age of the last confirmation from which a relay that has lost the store says so.
const STORE_LOST_AGE: Duration = Duration::from_millis(2000);
/// Maximum time in which a question must arrive on a new connection.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Smallest number of connections of other entry VMs that are accepted.
const CONNECTIONS_MIN: usize = 64;
/// Share of the process's sockets that other entry VMs may use, if that is more.
const SOCKETS_DIVISOR: usize = 10;
/// Bytes beyond the limit on callers' headers that an entry VM adds to those of a request.
const ADDED_HEADER_BYTES: usize = 4 << 10;

/// Listens for questions and requests of other entry VMs.
pub(crate) async fn bind(state: &Rc<AppState>) -> Result<(), String> {
    let port = ExposedPort {
        name: "entry_vms",
        address: SocketAddr::new(state.vm.ip, state.vm.peer_port),
        connections_max: CONNECTIONS_MIN.max(state.vm.sockets_max / SOCKETS_DIVISOR),
    };
    let (serving_state, budget) = (Rc::clone(state), state.budget.clone());
    let serve = move |stream, connection| serve(Rc::clone(&serving_state), stream, connection);
    port.listen(state, move || budget.enter(), serve).await
}

async fn serve(
    state: Rc<AppState>,
    stream: TcpStream,
    connection_state: Rc<ConnectionState>,
) -> Ended {
    let limits = state.configuration().map(|it| it.limits).unwrap_or_default();
    let service = service_fn(|request: Request<Incoming>| {
        let state = Rc::clone(&state);
        let in_progress = connection_state.begin_request();
        async move {
            let response = match request.headers().contains_key(&PASSED_ON_BY) {
                true => {
                    let nonce = PeerNonce::read(request.headers());
                    let sender = RequestSender::EntryVm;
                    let served = dispatch::serve_request(state, request, in_progress, sender);
                    let mut response = served.await;
                    nonce.iter().for_each(|it| it.add_author(&mut response));
                    response
                }
                false => {
                    let response = respond(&state, request).await.map(AnswerBody::whole);
                    response.map(|it| it.with_guards(None, in_progress))
                }
            };
            Ok::<_, Infallible>(response)
        }
    });
    let socket = TrackedSocket::new(stream, Rc::clone(&connection_state));
    let buffer_bytes = limits.header_bytes_max + ADDED_HEADER_BYTES + READ_AHEAD_BYTES;
    let serving = http1::Builder::new()
        .max_buf_size(buffer_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(socket, service);
    connection::serve(serving, &connection_state).await
}

async fn respond(state: &AppState, request: Request<Incoming>) -> Response<Bytes> {
    let arrived_at = state.now();
    if request.uri().path() != CHANGES_PATH {
        return response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let body = Limited::new(request.into_body(), QUESTION_BYTES_MAX).collect();
    let Ok(Ok(body)) = tokio::time::timeout(QUESTION_TIMEOUT, body).await else {
        return response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let question: RelayQuestion = match postcard::from_bytes(&body.to_bytes()) {
        Ok(it) => it,
        Err(error) => {
            if state.log_rate.allow("question ignored", state.now()).is_some() {
                log::warn!(error:% = error; "question of an entry VM ignored");
            }
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let answer = answer(state, &question, arrived_at).await;
    match postcard::to_allocvec(&answer) {
        Ok(it) => response(StatusCode::OK, Bytes::from(it)),
        Err(error) => {
            log::error!(error:% = error; "answer to an entry VM cannot be encoded");
            response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Waits for changes; answers at once if this VM does not follow the store. While it reads all keys
/// anew, as in a new era, its followers wait with it.
async fn answer(state: &AppState, question: &RelayQuestion, arrived_at: Moment) -> RelayAnswer {
    let until = tokio::time::Instant::now() + question.wait.min(HOLD_MAX);
    loop {
        let changed = state.relay.changed.notified();
        let is_over = tokio::time::Instant::now() >= until;
        if !state.relay.is_following.get() {
            if is_over || !state.relay.is_recording() {
                return match is_reading_after_outage(state) {
                    true => RelayAnswer::StoreLost,
                    false => RelayAnswer::NotFollowing,
                };
            }
            let _ = tokio::time::timeout_at(until, changed).await;
            continue;
        }
        let age = state.view.borrow().freshness.age(state.now());
        let time_until_told = match state.is_store_lost.get() {
            true => Some(STORE_LOST_AGE.saturating_sub(age.unwrap_or(STORE_LOST_AGE))),
            false => None,
        };
        if time_until_told.is_some_and(|it| it.is_zero()) {
            return RelayAnswer::StoreLost;
        }
        if is_over || state.relay.keys.borrow().has_changes_since(question.after) {
            return changes(state, question, arrived_at);
        }
        // A follower whose relay has lost the store needs time to find another one.
        let told_at = time_until_told.map(|it| tokio::time::Instant::now() + it);
        let wake_at = told_at.map_or(until, |it| it.min(until));
        let _ = tokio::time::timeout_at(wake_at, changed).await;
    }
}

/// Returns whether this VM reads all keys anew after a loss of the store, so that entries that expired
/// meanwhile may reappear.
fn is_reading_after_outage(state: &AppState) -> bool {
    let may_reappear = || state.view.borrow().missing.reappear_until(state.now()).is_some();
    state.relay.is_recording() && (state.is_store_lost.get() || may_reappear())
}

fn changes(state: &AppState, question: &RelayQuestion, arrived_at: Moment) -> RelayAnswer {
    let now = state.now();
    let view = state.view.borrow();
    let age = view.freshness.age(now);
    let reappear_until = view.missing.reappear_until(now);
    RelayAnswer::Changes {
        revision: state.relay.revision.get(),
        changes: state.relay.keys.borrow().changes_since(question.after),
        confirmation: age.map(|age| RelayedConfirmation { held: now.since(arrived_at), age }),
        outage: reappear_until.map(|it| RelayedOutage::new(arrived_at, now, it)),
    }
}
