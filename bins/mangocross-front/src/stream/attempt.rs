//! One attempt of a stream at one server.

use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use mangocross_platform::AnswerHead;
use mangocross_serving::AnswerVerdict;
use mangocross_serving::UnusableAnswer;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::answer_body::AnswerBody;
use crate::body_reader::read_answer;
use crate::dispatch::Call;
use crate::pool::Connection;
use crate::state::InFlightGuard;
use crate::state::NOT_RUN_PAUSE;
use crate::zone_traffic::LeftZoneBytes;

/// Maximum size of a server's error, which is buffered until it is complete.
const FAILURE_BYTES_MAX: usize = 1 << 20;

/// A stream for which a server has sent the head of its answer.
pub(super) struct StartedStream {
    pub(super) vm: VmId,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlightGuard,
    pub(super) response: Response<Incoming>,
    pub(super) answer_head: AnswerHead,
    /// Counts the bytes of an answer from another zone.
    pub(super) left_zone: Option<LeftZoneBytes>,
}

/// Why a server did not start a stream.
pub(super) enum StartError {
    /// The server did not run the request.
    NotRun(&'static str),
    /// The attempt failed after sending began, for this reason; the caller gets the code if the
    /// request is not repeated.
    MayHaveRun(&'static str, ResultCode),
    /// The server answered with an error, or with another success than that of a stream.
    Failure(Box<StartedStream>),
    /// The server answered, the request may have run, and nothing of the answer is passed on.
    Unusable(UnusableAnswer),
    /// The deadline has passed.
    TimeOver,
}

impl StartError {
    /// Returns the reason for the log.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(reason) | Self::MayHaveRun(reason, _) => reason,
            Self::Failure(_) => "server answered with a failure",
            Self::Unusable(it) => it.reason(),
            Self::TimeOver => "time is over",
        }
    }
}

/// Sends the request and waits for the head of its answer.
pub(super) async fn start_attempt(
    call: &Call,
    vm: &VmId,
    mut connection: Connection,
    last_event_id: Option<u64>,
    priority: u8,
) -> Result<StartedStream, StartError> {
    call.state.metrics.count_attempt();
    let left_zone = call.count_left_zone(vm);
    let in_flight = call.state.track_in_flight(vm, true);
    let request = call.backend_request(vm, last_event_id, Some(priority));
    let process = call.state.server_process(vm);
    let is_reused = connection.is_reused();
    let response = match tokio::time::timeout_at(call.ends_at, connection.send(request)).await {
        Ok(Ok(it)) => it,
        Ok(Err(_)) => {
            call.state.pool.record_broken(&connection);
            if !is_reused {
                call.state.request_recheck(vm);
            }
            return Err(StartError::MayHaveRun("connection broke", ResultCode::BackendBroken));
        }
        Err(_) => return Err(StartError::TimeOver),
    };
    in_flight.record_progress();
    call.state.record_notice(process.as_ref(), &response);
    call.state.record_limit(process.as_ref(), &response);
    let attempt_id = call.caller_head.attempt_id.as_deref().unwrap_or_default();
    let connection_use = connection.connection_use();
    let answer_head =
        AnswerHead::read(response.status(), response.headers(), attempt_id, connection_use);
    let verdict = answer_head.facts.verdict();
    let vm = vm.clone();
    let started = StartedStream { vm, connection, in_flight, response, answer_head, left_zone };
    match verdict {
        AnswerVerdict::Success if started.response.status() == StatusCode::OK => Ok(started),
        AnswerVerdict::Success | AnswerVerdict::Failure => {
            Err(StartError::Failure(Box::new(started)))
        }
        AnswerVerdict::NotRun => {
            call.state.avoid(&started.vm, NOT_RUN_PAUSE);
            Err(StartError::NotRun("group is full, broken or no longer there"))
        }
        AnswerVerdict::Unusable(it @ UnusableAnswer::OtherRequest) => {
            Err(StartError::MayHaveRun(it.reason(), it.code()))
        }
        AnswerVerdict::Unusable(it) => Err(StartError::Unusable(it)),
    }
}

/// Forwards a server's error to the caller.
pub(super) async fn forward_failure(call: &Call, started: StartedStream) -> Response<AnswerBody> {
    let status = started.response.status();
    let headers = AnswerHead::forwarded_headers(started.response.headers());
    let body = read_answer(started.response.into_body(), FAILURE_BYTES_MAX, &call.client);
    match tokio::time::timeout_at(call.ends_at, body).await {
        Ok(Ok(body)) => {
            call.record.answer_started(status);
            call.record.answer_failed(ResultCode::BackendBroken, "server failed");
            let mut response = Response::new(AnswerBody::whole(body));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Ok(Err(_)) | Err(_) => {
            let reason = "the server's error is too long or broke off";
            call.record.refuse(&Refusal::unknown(ResultCode::BackendBroken, reason), reason)
        }
    }
}
