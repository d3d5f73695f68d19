//! Client of model engines.

use std::net::SocketAddr;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpResponse;
use mangocross_http::HttpTimeouts;
use mangocross_types::AttemptId;
use mangocross_types::BackendReport;
use mangocross_types::Order;
use mangocross_types::OrderAnswer;
use mangocross_types::RunOutcome;
use serde::Serialize;

use crate::CachePosition;
use crate::EngineError;
use crate::EngineErrorKind;
use crate::GenerateRequest;
use crate::GenerateStream;
use crate::LineChecker;
use crate::ProbeAnswer;

/// Largest answer except generated ones, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Maximum number of cache events in an answer to a probe; they take far less than the largest
/// answer.
const CACHE_EVENTS_MAX: usize = 128;

/// Client of model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    client: HttpClient,
}

#[derive(Debug, Serialize)]
struct CancelBody<'a> {
    attempt_id: &'a AttemptId,
}

impl EngineClient {
    /// Returns a client, which opens a connection for each call.
    pub fn open() -> Self {
        Self { client: HttpClient::open() }
    }

    /// Requests an engine's report.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time or the answer is not a report.
    pub fn report(
        &self,
        address: SocketAddr,
        timeouts: HttpTimeouts,
    ) -> Result<BackendReport, EngineError> {
        let call = HttpCall::new(HttpMethod::Get, address, "/v1/report").timeouts(timeouts);
        let answer = self.call(call)?;
        match answer.status() {
            200 => read_answer(answer),
            status => Err(status_error(status, RunOutcome::Unknown)),
        }
    }

    /// Requests an engine's report and the events that its cache published after a position.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time or the answer is not a report.
    pub fn probe(
        &self,
        address: SocketAddr,
        after: Option<CachePosition>,
        timeouts: HttpTimeouts,
    ) -> Result<ProbeAnswer, EngineError> {
        let after = match after {
            Some(it) => format!("cache_epoch={}&cache_after={}", it.epoch, it.number),
            None => "cache_after=0".to_owned(),
        };
        let path = format!("/v1/report?{after}&cache_max={CACHE_EVENTS_MAX}");
        let call = HttpCall::new(HttpMethod::Get, address, &path).timeouts(timeouts);
        let answer = self.call(call)?;
        match answer.status() {
            200 => read_answer(answer),
            status => Err(status_error(status, RunOutcome::Unknown)),
        }
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time; the order may still be executed then.
    pub fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        traceparent: Option<&str>,
        timeouts: HttpTimeouts,
    ) -> Result<OrderAnswer, EngineError> {
        let mut call = HttpCall::new(HttpMethod::Post, address, "/v1/orders").json(order);
        if let Some(traceparent) = traceparent {
            call = call.header("traceparent", traceparent);
        }
        let answer = self.call(call.timeouts(timeouts))?;
        match answer.status() {
            200 | 409 | 410 => read_answer(answer),
            status => Err(status_error(status, RunOutcome::Unknown)),
        }
    }

    /// Requests a generated answer from rank zero of a group.
    ///
    /// Until the answer begins, the call is aborted as soon as `keep_waiting` returns false.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, refuses or times out before its first line. The
    /// outcome is [`RunOutcome::NotRun`] only if the engine's answer states it, or nothing was
    /// sent on the connection.
    pub fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
        traceparent: Option<&str>,
        timeouts: HttpTimeouts,
        keep_waiting: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Result<GenerateStream, EngineError> {
        let mut call = HttpCall::new(HttpMethod::Post, address, "/v1/generate").json(request);
        if let Some(traceparent) = traceparent {
            call = call.header("traceparent", traceparent);
        }
        let answer = self.call(call.timeouts(timeouts).wait_while(keep_waiting))?;
        let is_not_run = answer.header("x-run-outcome") == Some(RunOutcome::NotRun.as_str());
        match answer.status() {
            200 => Ok(GenerateStream::new(answer, LineChecker::new(request))),
            status if is_not_run => Err(status_error(status, RunOutcome::NotRun)),
            status => Err(status_error(status, RunOutcome::Unknown)),
        }
    }

    /// Cancels an attempt at an engine; the content of the answer is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time.
    pub fn cancel(
        &self,
        address: SocketAddr,
        attempt_id: &AttemptId,
        timeouts: HttpTimeouts,
    ) -> Result<(), EngineError> {
        let body = CancelBody { attempt_id };
        let call = HttpCall::new(HttpMethod::Post, address, "/v1/cancel").json(&body);
        self.call(call.timeouts(timeouts)).map(drop)
    }

    fn call(&self, call: HttpCall) -> Result<HttpResponse, EngineError> {
        self.client.call(call).map_err(|it| EngineError::from_call(&it))
    }
}

fn read_answer<T: serde::de::DeserializeOwned>(answer: HttpResponse) -> Result<T, EngineError> {
    answer.read_json(ANSWER_BYTES_MAX).map_err(|it| EngineError::from_call(&it))
}

fn status_error(status: u16, outcome: RunOutcome) -> EngineError {
    EngineError::new(EngineErrorKind::Refused, outcome, format!("status {status}"))
}
