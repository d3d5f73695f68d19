//! Passes requests on to other entry VMs while this one reaches no backend server.
//!
//! The other VM checks the caller's key and serves the request as if the caller had sent it there. It
//! passes it on no further.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use mangocross_http::BodyParts;
use mangocross_http::BudgetClient;
use mangocross_platform::AnswerHead;
use mangocross_platform::passed_on_headers;
use mangocross_platform::peer_answer_facts;
use mangocross_serving::ListedEntryVm;
use mangocross_serving::PeerVerdict;
use mangocross_serving::ReachNotice;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;

use crate::answer_body::AnswerBody;
use crate::answer_body::Chunk;
use crate::body_reader::hold;
use crate::body_reader::read_answer;
use crate::dispatch::Call;
use crate::outcome::RequestRecord;
use crate::peer_nonce::PeerNonce;
use crate::pool;
use crate::pool::Connection;

/// Names the entry VM that passed a request on, and holds the nonce.
pub(crate) const PASSED_ON_BY: HeaderName = HeaderName::from_static("mangocross-passed-on-by");
/// Present if the entry VM that answers reaches no servers either; earlier builds go by it.
pub(crate) const CUT_OFF: HeaderName = HeaderName::from_static("mangocross-cut-off");

/// Maximum number of entry VMs that a request is passed on to, of which the earlier ones did not
/// take it.
const PEERS_MAX: usize = 3;
/// Time that another entry VM has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after the caller's deadline for the other VM's answer to it.
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// Maximum size of an answer that is buffered until it is complete.
const WHOLE_BYTES_MAX: u64 = 8 << 20;
/// Chunks buffered for a caller that reads slowly.
const QUEUED_CHUNKS_MAX: usize = 8;
/// Retry-After of requests that no entry VM takes; spread by as much again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Reason of refusals without a way to a server.
const CUT_OFF_REASON: &str = "no server can be reached";
/// Reason of answers that another entry VM gave.
const PEER_REASON: &str = "another entry VM answered";

/// What came of passing a request on to one entry VM.
enum PassedOn {
    /// Its answer, with the connection that the rest of it comes on.
    Answered(Box<(Response<Incoming>, Connection)>),
    /// It reaches no servers either.
    CutOff,
    /// It has not taken the request.
    NotTaken(&'static str),
    /// It may have passed the request to a server.
    Broken(&'static str),
}

/// Serves a request by way of another entry VM.
pub(crate) async fn serve(call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    for (name, address) in candidates(&call) {
        if call.time_left().is_zero() {
            break;
        }
        let reason = match pass_on(&call, address).await {
            PassedOn::Answered(it) => {
                log_passed_on(&call, &name, it.0.status().as_str());
                return forward(call, it.0, it.1).await;
            }
            PassedOn::Broken(reason) => {
                log_passed_on(&call, &name, reason);
                let refusal = Refusal::unknown(ResultCode::BackendBroken, reason);
                let response = call.record.refuse(&refusal, reason);
                return (response, Some(call.record));
            }
            PassedOn::CutOff => {
                let notice =
                    ReachNotice { entry_vm: Arc::clone(&name), is_cut_off: true, age_ms: 0 };
                let now = call.state.now();
                call.state.view.borrow_mut().reach.record_peer(&notice, now);
                "cut off as well"
            }
            PassedOn::NotTaken(reason) => reason,
        };
        log_passed_on(&call, &name, reason);
    }
    (refuse(&call.record), Some(call.record))
}

/// Refuses a request that cannot be brought to a server.
pub(crate) fn refuse(record: &RequestRecord) -> Response<AnswerBody> {
    let after = RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
    let refusal = Refusal::not_run(ResultCode::NoCompleteGroup, CUT_OFF_REASON).retry_after(after);
    record.refuse(&refusal, CUT_OFF_REASON)
}

/// Refuses a request that another entry VM passed on, and tells it to ask another one.
pub(crate) fn refuse_passed_on(record: &RequestRecord) -> Response<AnswerBody> {
    let mut response = refuse(record);
    response.headers_mut().insert(CUT_OFF, HeaderValue::from_static("1"));
    response
}

/// Returns entry VMs that may reach servers: first one of this availability zone, then others.
fn candidates(call: &Call) -> Vec<(Arc<str>, SocketAddr)> {
    let state = &call.state;
    let now = state.now();
    let view = state.view.borrow();
    let mut peers: Vec<_> = view
        .entry_vms
        .iter()
        .filter(|(name, _)| **name != state.vm.name && !view.reach.is_peer_cut_off(name, now))
        .filter(|(_, it)| call.allows_entry_vm(it))
        .collect();
    fastrand::shuffle(&mut peers);
    let is_near = |it: &(&Arc<str>, &ListedEntryVm)| it.1.zone.as_ref() == Some(&state.vm.zone);
    // A zone may be cut off as a whole.
    if let Some(nearest) = peers.iter().position(is_near) {
        peers.swap(0, nearest);
        if let Some(distant) = peers.iter().skip(1).position(|it| !is_near(it)) {
            peers.swap(1, distant + 1);
        }
    }
    let peers = peers.into_iter().take(PEERS_MAX);
    peers.map(|(name, it)| (Arc::clone(name), it.address)).collect()
}

async fn pass_on(call: &Call, address: SocketAddr) -> PassedOn {
    let Ok(mut connection) = pool::connect(address, CONNECT_TIMEOUT).await else {
        return PassedOn::NotTaken("not reached");
    };
    call.state.metrics.count_passed_on();
    let nonce = PeerNonce::new();
    let answer = connection.send(request(call, &nonce));
    let response = match tokio::time::timeout_at(call.ends_at + ANSWER_SLACK, answer).await {
        Ok(Ok(it)) => it,
        Ok(Err(error)) if error.is_unsent => return PassedOn::NotTaken("nothing was sent"),
        Ok(Err(_)) => return PassedOn::Broken("connection to another entry VM broke"),
        Err(_) => return PassedOn::Broken("no answer of another entry VM in time"),
    };
    let author = nonce.author(response.headers());
    match peer_answer_facts(response.status(), response.headers()).peer_verdict(author) {
        PeerVerdict::Answer => PassedOn::Answered(Box::new((response, connection))),
        PeerVerdict::CutOff => PassedOn::CutOff,
        PeerVerdict::OtherConfiguration => PassedOn::NotTaken("another configuration"),
        PeerVerdict::Unusable(it) => PassedOn::Broken(it.reason()),
    }
}

fn request(call: &Call, nonce: &PeerNonce) -> Request<BodyParts> {
    let mut headers = passed_on_headers(&call.parts.headers, call.time_left());
    headers.insert(PASSED_ON_BY, nonce.requested_by(&call.state.vm.name));
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Forwards the answer of another entry VM: whole if its length is known, else as it comes.
async fn forward(
    call: Call,
    response: Response<Incoming>,
    connection: Connection,
) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let status = response.status();
    let headers = AnswerHead::forwarded_headers(response.headers());
    if response.body().size_hint().exact().is_some_and(|it| it <= WHOLE_BYTES_MAX) {
        let body = read_answer(response.into_body(), WHOLE_BYTES_MAX as usize, &call.client);
        return match tokio::time::timeout_at(call.ends_at + ANSWER_SLACK, body).await {
            Ok(Ok(it)) => {
                call.record.answer_started(status);
                call.record.answered_by_peer(PEER_REASON);
                let body = AnswerBody::whole(it);
                (with_head(Response::new(body), status, headers), Some(call.record))
            }
            Ok(Err(_)) | Err(_) => {
                let reason = "answer of another entry VM broke off";
                let refusal = Refusal::unknown(ResultCode::BackendBroken, reason);
                (call.record.refuse(&refusal, reason), Some(call.record))
            }
        };
    }
    call.record.answer_started(status);
    let (chunks, received) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let task = tokio::task::spawn_local(async move {
        // Dropping the connection ends the other VM's work for a caller that has left.
        let _connection = connection;
        let forwarding = forward_chunks(response.into_body(), &call.client, &chunks);
        match tokio::time::timeout_at(call.ends_at + ANSWER_SLACK, forwarding).await {
            Ok(true) => {
                call.record.answered_by_peer(PEER_REASON);
                let _ = chunks.send(Chunk::End).await;
            }
            Ok(false) | Err(_) => {
                let reason = "answer of another entry VM broke off";
                call.record.answer_failed(ResultCode::BackendBroken, reason);
            }
        }
    });
    let body = AnswerBody::chunks(received, task.abort_handle());
    (with_head(Response::new(body), status, headers), None)
}

/// Forwards a body as it comes; returns whether it came to its end.
async fn forward_chunks(mut body: Incoming, client: &BudgetClient, chunks: &Sender<Chunk>) -> bool {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let Ok(data) = frame.into_data() else { continue };
        let Ok(held) = hold(client, data.len()).await else { return false };
        if chunks.send(Chunk::Data(data, held)).await.is_err() {
            return false;
        }
    }
    true
}

fn with_head(
    mut response: Response<AnswerBody>,
    status: StatusCode,
    headers: HeaderMap,
) -> Response<AnswerBody> {
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_passed_on(call: &Call, entry_vm: &str, outcome: &str) {
    let now = call.state.now();
    if let Some(left_out) = call.state.log_rate.allow("request passed on", now) {
        let request = call.record.id.as_deref().unwrap_or_default();
        let age_ms = call.record.age().as_millis() as u64;
        log::info!(request, entry_vm, outcome, age_ms, left_out; "request passed on");
    }
}

impl Call {
    /// Returns whether the request, which no server has run, is to be served by another entry VM.
    pub(crate) fn needs_peer(self: &Call) -> bool {
        !self.is_passed_on && self.state.is_cut_off()
    }
}
