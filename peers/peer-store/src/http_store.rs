//! The store over HTTP.

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

/// Largest answer, in bytes: a value of a megabyte in JSON, escaped.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Time for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time beyond a watch's own time limit.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);

/// The platform's store over HTTP.
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
struct Written {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct Conflicting {
    current: Option<Entry>,
}

#[derive(Debug, Deserialize)]
struct Listed {
    entries: Vec<Entry>,
}

impl HttpStore {
    /// Returns a client of the store at an address.
    pub fn open(address: SocketAddr) -> Self {
        let timeouts =
            HttpTimeouts::default().connect(CALL_TIMEOUT).idle(CALL_TIMEOUT).total(CALL_TIMEOUT);
        Self { address, client: HttpClient::open(), timeouts }
    }

    /// Sets the longest time for each call, watches left out.
    #[must_use]
    pub fn timeout(mut self, limit: Duration) -> Self {
        self.timeouts = self.timeouts.connect(limit).idle(limit).total(limit);
        self
    }

    fn call(&self, key: &str, call: HttpCall) -> Result<HttpResponse, StoreError> {
        self.client.call(call).map_err(|it| failed(key, &it))
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
            200 => read(key, answer).map(Some),
            404 => Ok(None),
            status => Err(refused(key, status, StoreErrorKind::Unavailable)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let path = format!("/v1/kv?prefix={}", encode(prefix));
        let answer = self.call(prefix, self.new_call(HttpMethod::Get, &path))?;
        match answer.status() {
            200 => read::<Listed>(prefix, answer).map(|it| it.entries),
            status => Err(refused(prefix, status, StoreErrorKind::Unavailable)),
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
            200 => read::<Written>(key, answer).map(|it| CasOutcome::Swapped(it.revision)),
            409 => read::<Conflicting>(key, answer).map(|it| CasOutcome::Conflict(it.current)),
            503 => Err(refused(key, 503, StoreErrorKind::Unavailable)),
            status => Err(refused(key, status, StoreErrorKind::AnswerLost)),
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
            200 => read(key, answer).map(Some),
            204 => Ok(None),
            status => Err(refused(key, status, StoreErrorKind::Unavailable)),
        }
    }
}

/// Reads an answer's body; for a write, a body that cannot be read is a lost answer.
fn read<T: DeserializeOwned>(key: &str, answer: HttpResponse) -> Result<T, StoreError> {
    answer.read_json(ANSWER_BYTES_MAX).map_err(|it| failed(key, &it))
}

fn failed(key: &str, error: &CallError) -> StoreError {
    let kind = match error.outcome {
        RunOutcome::NotRun => StoreErrorKind::Unavailable,
        RunOutcome::Ran | RunOutcome::Unknown => StoreErrorKind::AnswerLost,
    };
    StoreError { kind, key: key.to_owned(), message: error.to_string() }
}

fn refused(key: &str, status: u16, kind: StoreErrorKind) -> StoreError {
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
