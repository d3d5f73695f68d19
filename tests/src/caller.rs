//! A client that sends callers' requests to gateways.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use mangocross_http::CallError;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::RunOutcome;
use peer_caller::RefusalBody;

/// Limit on the size of an answer that a caller reads, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// The answer that a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body as text.
    pub body: String,
}

/// Sends requests to gateways.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    timeout: Duration,
}

impl CallerRequest {
    /// Returns a chat completion request.
    pub fn chat(customer: &str, kind: &str, model: &str, max_tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": format!("a question of {customer}")}],
        });
        Self::new("/v1/chat/completions", customer, kind, body.to_string())
    }

    /// Returns a streamed chat completion request with the given text.
    pub fn question(customer: &str, kind: &str, model: &str, max_tokens: u32, text: &str) -> Self {
        let body = serde_json::json!({
            "model": model,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        });
        Self::new("/v1/chat/completions", customer, kind, body.to_string())
    }

    /// Returns a call to a plain service; `path` starts with the service's name.
    pub fn service(customer: &str, kind: &str, path: &str, body: &str) -> Self {
        Self::new(&format!("/v1/services/{path}"), customer, kind, body.to_owned())
    }

    fn new(path: &str, customer: &str, kind: &str, body: String) -> Self {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        Self {
            path: path.to_owned(),
            headers: vec![header("x-customer", customer), header("x-request-kind", kind)],
            body,
        }
    }

    /// Returns the HTTP call that sends this request to a gateway.
    pub fn call(&self, gateway: SocketAddr, timeout: Duration) -> HttpCall {
        let timeouts = HttpTimeouts::default().idle(timeout).total(timeout);
        let mut call = HttpCall::new(HttpMethod::Post, gateway, &self.path).timeouts(timeouts);
        for (name, value) in &self.headers {
            call = call.header(name, value);
        }
        call.body(self.body.clone().into_bytes())
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

impl Answer {
    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Returns the refusal from the body or from the stream's error event, if there is one.
    pub fn refusal(&self) -> Option<RefusalBody> {
        let text = match self.body.split_once("event: error\ndata: ") {
            Some((_, rest)) => rest.lines().next().unwrap_or_default(),
            None => &self.body,
        };
        serde_json::from_str(text).ok()
    }

    /// Returns the run outcome that was reported to the caller.
    pub fn outcome(&self) -> Option<RunOutcome> {
        match self.refusal() {
            Some(refusal) => Some(refusal.outcome),
            None => self.header("x-run-outcome").and_then(|it| it.parse().ok()),
        }
    }

    /// Returns whether a stream contains its end marker.
    pub fn is_complete(&self) -> bool {
        self.body.contains("data: [DONE]\n")
    }

    /// Returns the indexes of the tokens of a stream, in the order of arrival.
    pub fn token_indexes(&self) -> Vec<u64> {
        self.tokens().into_iter().map(|(index, _)| index).collect()
    }

    /// Returns the text of a stream.
    pub fn text(&self) -> String {
        self.tokens().into_iter().map(|(_, text)| text).collect()
    }

    fn tokens(&self) -> Vec<(u64, String)> {
        let data = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let chunks = data.filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok());
        let tokens = chunks.filter_map(|it| {
            let text = it["choices"][0]["delta"]["content"].as_str()?;
            let index = it["token_index"].as_u64()?;
            (!text.is_empty()).then(|| (index, text.to_owned()))
        });
        tokens.collect()
    }
}

impl Caller {
    /// Returns a caller that waits at most `timeout` for a complete answer.
    pub fn open(timeout: Duration) -> Self {
        Self { client: HttpClient::open(), timeout }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the gateway cannot be reached, drops the connection or stalls.
    pub fn send(&self, gateway: SocketAddr, request: &CallerRequest) -> Result<Answer, CallError> {
        let answer = self.client.call(request.call(gateway, self.timeout))?;
        let (status, headers) = (answer.status(), answer.headers().to_vec());
        let body = String::from_utf8_lossy(&answer.read_all(ANSWER_BYTES_MAX)?).into_owned();
        Ok(Answer { status, headers, body })
    }
}

/// Returns an idempotency key with the current time; `name` distinguishes keys of the same second.
pub fn new_key(name: &str) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("{}.{name}", since.unwrap_or_default().as_secs())
}
