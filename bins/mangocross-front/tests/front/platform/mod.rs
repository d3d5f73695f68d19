//! A small stand-in of the platform: its store and backend servers of two services.

mod answers;
mod client;
mod machine;
mod servers;
mod start;
mod store;

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

pub(crate) use self::answers::AnswerEnd;
pub(crate) use self::answers::answer_early;
pub(crate) use self::answers::answer_without_length;
pub(crate) use self::client::Client;
pub(crate) use self::client::Outcome;
pub(crate) use self::client::RequestKind;
pub(crate) use self::servers::Arrival;
pub(crate) use self::servers::CopyPart;
pub(crate) use self::servers::CopyTime;
pub(crate) use self::servers::EVENTS;
pub(crate) use self::servers::LateCopy;
pub(crate) use self::servers::Server;
pub(crate) use self::servers::StreamFault;
pub(crate) use self::start::start_engines;
pub(crate) use self::start::start_engines_of;
pub(crate) use self::start::start_plain;
pub(crate) use self::start::wait_until;
pub(crate) use self::store::Entrance;
pub(crate) use self::store::Store;

/// Maximum wait for an expected event.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Last octet of the next loopback address; each process gets its own.
static NEXT_IP: AtomicU8 = AtomicU8::new(1);

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

/// The program under test.
#[derive(Debug)]
pub(crate) struct Front {
    child: Child,
    pub(crate) address: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) settings: PathBuf,
}

impl Front {
    /// Starts the program on its own address, with its log written to `stdout`.
    pub(crate) fn spawn(store: &Store, revoke_ms: u64, stdout: Stdio) -> Self {
        Self::spawn_at(store.address, revoke_ms, stdout)
    }

    /// Like `spawn`, with the store at an address.
    pub(crate) fn spawn_at(store: SocketAddr, revoke_ms: u64, stdout: Stdio) -> Self {
        Self::spawn_sized(store, revoke_ms, stdout, 1.0)
    }

    /// Like `spawn_at`, on a VM with this share of a core.
    pub(crate) fn spawn_sized(
        store: SocketAddr,
        revoke_ms: u64,
        stdout: Stdio,
        cpu_share: f64,
    ) -> Self {
        let host = NEXT_IP.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 7, u8::try_from(std::process::id() % 250).unwrap_or(0), host);
        // All are bound at the same time, so that no port is chosen twice.
        let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
        let [address, ready, peers] =
            listeners.each_ref().map(|it| it.local_addr().expect("an address"));
        drop(listeners);
        let settings = json!({
            "node": format!("front-{host}"), "ip": IpAddr::V4(ip), "zone": "zone-a",
            "listen": {"front": address, "ready": ready},
            "internal_ports": [peers.port(), peers.port()], "first_start": true,
            "limits": {"max_fds": 1024, "memory_mb": 256, "cpu_share": cpu_share},
            "bounds": {"revoke_ms": revoke_ms, "strict_revoke": true, "grace_s": 8, "stall_ms": 6000, "retry_slack": 50},
            "platform": {"address": store},
        });
        let name = format!("mangocross-front-{}-{host}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let child = start(&path, stdout);
        Self { child, address, ready, settings: path }
    }

    /// Returns the id of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the state of the process as the kernel tells it, such as `S (sleeping)`.
    pub(crate) fn process_state(&self) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        status.lines().find(|it| it.starts_with("State:")).unwrap_or("State: ended").to_owned()
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the program is running");
    }

    /// Kills the program with SIGKILL and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the program to end and starts it again with `first_start` set to false.
    pub(crate) fn restart(&mut self, stdout: Stdio) {
        let _ = self.child.wait();
        let settings = std::fs::read_to_string(&self.settings).expect("settings");
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&self.settings, settings).expect("settings");
        self.child = start(&self.settings, stdout);
    }

    /// Waits for the program to end; returns whether it exited successfully.
    pub(crate) fn exited_successfully(&mut self) -> bool {
        self.child.wait().expect("the program was started").success()
    }

    /// Sends a request on a new connection; returns status, head and body.
    pub(crate) fn call(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> (u16, String, String) {
        call(self.address, method, path, headers, body)
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn metrics(&self) -> String {
        call(SocketAddr::new(self.address.ip(), 9464), "GET", "/metrics", "", "").2
    }

    /// Repeats a request until its answer has the given status; returns the body.
    pub(crate) fn wait_for_status(&self, status: u16, path: &str, headers: &str) -> String {
        let began = Instant::now();
        loop {
            let (got, _, body) = self.call("POST", path, headers, "{}");
            if got == status {
                return body;
            }
            assert!(began.elapsed() < WAIT_MAX, "{path}: {got} instead of {status}: {body}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn start(settings: &Path, stdout: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_mangocross-front"))
        .arg("--settings")
        .arg(settings)
        .stdout(stdout)
        .spawn()
        .expect("the program starts")
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
