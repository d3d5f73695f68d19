//! A small stand-in of the platform: its store and backend servers of two services.

mod answers;
mod callers;
mod client;
mod front;
mod link;
mod log_file;
mod machine;
mod operators;
mod servers;
mod silence;
mod start;
mod store;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

pub(crate) use self::answers::AnswerEnd;
pub(crate) use self::answers::EMPTY_SIGNATURE;
pub(crate) use self::answers::OddAnswer;
pub(crate) use self::answers::SECOND_SIGNATURE;
pub(crate) use self::answers::SIGNATURE;
pub(crate) use self::answers::answer_early;
pub(crate) use self::answers::answer_without_length;
pub(crate) use self::answers::attempt_header;
pub(crate) use self::callers::send_until;
pub(crate) use self::client::Client;
pub(crate) use self::client::Outcome;
pub(crate) use self::client::RequestKind;
pub(crate) use self::front::Front;
pub(crate) use self::link::Cut;
pub(crate) use self::link::Link;
pub(crate) use self::log_file::LogFile;
pub(crate) use self::operators::evacuation_key;
pub(crate) use self::operators::restrict_to;
pub(crate) use self::servers::Arrival;
pub(crate) use self::servers::CopyPart;
pub(crate) use self::servers::CopyTime;
pub(crate) use self::servers::EVENTS;
pub(crate) use self::servers::LateCopy;
pub(crate) use self::servers::Server;
pub(crate) use self::servers::StreamFault;
pub(crate) use self::start::start_engines;
pub(crate) use self::start::start_engines_of;
pub(crate) use self::start::start_groups;
pub(crate) use self::start::start_groups_with_log;
pub(crate) use self::start::start_plain;
pub(crate) use self::start::wait_for_metric;
pub(crate) use self::start::wait_until;
pub(crate) use self::store::Entrance;
pub(crate) use self::store::Links;
pub(crate) use self::store::Store;

/// Maximum wait for an expected event.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Headers of a request with a valid key.
pub(crate) const CALLER_HEADERS: &str =
    "Attempt-Id: a1\r\nModel: m0\r\nToken-Count: 10,5\r\nAuthorization: Bearer k1\r\n";

/// Returns the header that lists a prompt's shared parts, each followed by a comma, and its own part.
pub(crate) fn prompt_header(shared_parts: &str, own_part: u32) -> String {
    format!("Prompt-Prefix: {shared_parts}{own_part:08x}:300\r\n")
}

/// Returns whether an answer has a server's signature.
pub(crate) fn is_signed(head: &str) -> bool {
    head.to_ascii_lowercase().contains("server-seal: ")
}

/// Returns whether an answer names an attempt.
pub(crate) fn names_attempt(head: &str, attempt: &str) -> bool {
    let line = format!("attempt-id: {attempt}");
    head.to_ascii_lowercase().lines().any(|it| it == line)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An HTTP request that a stand-in received.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, it)| it.as_str())
    }

    /// Reads a request; `None` at the end of the connection.
    fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            head.push(byte[0]);
        }
        let text = String::from_utf8(head).ok()?;
        let mut lines = text.lines();
        let mut first = lines.next()?.split(' ');
        let target = first.nth(1)?.to_owned();
        let header = |it: &str| {
            let (name, value) = it.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        };
        let headers: Vec<(String, String)> = lines.filter_map(header).collect();
        let mut this = Self { target, headers, body: Vec::new() };
        let length = this.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        this.body = vec![0; length];
        stream.read_exact(&mut this.body).ok()?;
        Some(this)
    }
}

/// Writes an answer with a `Content-Length` header.
pub(crate) fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) {
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    let _ = stream.write_all(text.as_bytes());
}

/// Serves connections in the background until the process ends; returns the address.
pub(crate) fn listen(
    handle: impl Fn(Request, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                while let Some(request) = Request::read(&mut stream) {
                    handle(request, &mut stream);
                }
            });
        }
    });
    address
}

/// Sends a request on a new connection; returns status, head and body.
pub(crate) fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> (u16, String, String) {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(WAIT_MAX))?;
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        );
        stream.write_all(text.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    let answer = exchange().unwrap_or_default();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    (status, head.to_owned(), body.to_owned())
}

/// Returns an operators' configuration with these keys.
fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 8000,
            "target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 2,
            "resumable": kind == "streaming", "gap_aim_ms": 250})
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "/stream/", "streaming", "models"),
            route("lookup", "/lookup/", "idempotent", "records"),
            route("booking", "/booking/", "non_idempotent", "records"),
        ],
        "services": [
            {"name": "models", "engine": {"slots": 4, "stride": 6, "step_ms": 6.0, "read_per_s": 50000.0,
                "models": [{"name": "m0", "size": 2, "share": 1.0, "load_s": 0.2, "warm_s": 0.1}],
                "usual": {"prompt": 100, "answer": 20}, "loads_per_s": 100.0, "loads_at_once": 8, "form_ms": 10.0}},
            {"name": "records"},
        ],
        "tenants": [{"name": "t1", "api_keys": keys}],
    })
}
