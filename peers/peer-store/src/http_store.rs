//! HTTP client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross_http::CallError;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpResponse;
use mangocross_http::HttpTimeouts;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CasOutcome;
use crate::Entry;
use crate::Store;
use crate::StoreError;
use crate::StoreErrorKind;

/// Largest answer, in bytes: a value of 1 MiB as an escaped JSON string.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Default time limit of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Extra time beyond a watch's own timeout.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);

/// HTTP client of the platform's store.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: SocketAddr,
    client: HttpClient,
    timeouts: HttpTimeouts,
}

#[derive(Debug, Serialize)]
struct PutBody<'a> {
    value: &'a str,
    expected_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct PutAnswer {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct ConflictAnswer {
    current: Option<Entry>,
}

#[derive(Debug, Deserialize)]
struct ListAnswer {
    entries: Vec<Entry>,
}

impl HttpStore {
    /// Returns a client of the store at an address.
    pub fn open(address: SocketAddr) -> Self {
        let timeouts =
            HttpTimeouts::default().connect(CALL_TIMEOUT).idle(CALL_TIMEOUT).total(CALL_TIMEOUT);
        Self { address, client: HttpClient::open(), timeouts }
    }

    /// Sets the time limit of each call; a watch has its own timeout.
    #[must_use]
    pub fn timeout(mut self, limit: Duration) -> Self {
        self.timeouts = self.timeouts.connect(limit).idle(limit).total(limit);
        self
    }

    fn call(&self, key: &str, call: HttpCall) -> Result<HttpResponse, StoreError> {
        self.client.call(call).map_err(|it| call_error(key, &it))
    }

    fn new_call(&self, method: HttpMethod, path: &str) -> HttpCall {
        HttpCall::new(method, self.address, path).timeouts(self.timeouts)
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let path = format!("/v1/kv/{}", encode(key));
        let answer = self.call(key, self.new_call(HttpMethod::Get, &path))?;
        match answer.status() {
            200 => read_answer(key, answer).map(Some),
            404 => Ok(None),
            status => Err(status_error(key, status, StoreErrorKind::Unavailable)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let path = format!("/v1/kv?prefix={}", encode(prefix));
        let answer = self.call(prefix, self.new_call(HttpMethod::Get, &path))?;
        match answer.status() {
            200 => read_answer::<ListAnswer>(prefix, answer).map(|it| it.entries),
            status => Err(status_error(prefix, status, StoreErrorKind::Unavailable)),
        }
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<CasOutcome, StoreError> {
        let path = format!("/v1/kv/{}", encode(key));
        let body = PutBody { value, expected_revision: expected };
        let answer = self.call(key, self.new_call(HttpMethod::Put, &path).json(&body))?;
        match answer.status() {
            200 => read_answer::<PutAnswer>(key, answer).map(|it| CasOutcome::Swapped(it.revision)),
            409 => read_answer::<ConflictAnswer>(key, answer)
                .map(|it| CasOutcome::Conflict(it.current)),
            503 => Err(status_error(key, 503, StoreErrorKind::Unavailable)),
            status => Err(status_error(key, status, StoreErrorKind::AnswerLost)),
        }
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<Entry>, StoreError> {
        let limit_ms = timeout.as_millis();
        let path =
            format!("/v1/watch/{}?after_revision={after}&timeout_ms={limit_ms}", encode(key));
        let limit = timeout + WATCH_SLACK;
        let timeouts = self.timeouts.idle(limit).total(limit);
        let answer = self.call(key, self.new_call(HttpMethod::Get, &path).timeouts(timeouts))?;
        match answer.status() {
            200 => read_answer(key, answer).map(Some),
            204 => Ok(None),
            status => Err(status_error(key, status, StoreErrorKind::Unavailable)),
        }
    }
}

/// Parses an answer's body; an unreadable body counts as a lost answer.
fn read_answer<T: DeserializeOwned>(key: &str, answer: HttpResponse) -> Result<T, StoreError> {
    answer.read_json(ANSWER_BYTES_MAX).map_err(|it| call_error(key, &it))
}

fn call_error(key: &str, error: &CallError) -> StoreError {
    let kind = match error.outcome {
        RunOutcome::NotRun => StoreErrorKind::Unavailable,
        RunOutcome::Ran | RunOutcome::Unknown => StoreErrorKind::AnswerLost,
    };
    StoreError { kind, key: key.to_owned(), message: error.to_string() }
}

fn status_error(key: &str, status: u16, kind: StoreErrorKind) -> StoreError {
    StoreError { kind, key: key.to_owned(), message: format!("status {status}") }
}

/// Percent-encodes a key as a single path segment.
fn encode(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
