//! A crowd of clients at one port of an entry VM, and what the process may use meanwhile.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Barrier;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::StreamFault;
use crate::platform::lock;
use crate::platform::wait_for_metric;

/// Memory of the test's VM. The program without clients needs a fraction of it; the legal bytes of a
/// crowd are several times as many.
const MEMORY_MB: u64 = 64;
/// Environment variable that replaces `MEMORY_MB`, for the figures of docs/CAPACITY.md.
const MEMORY_VARIABLE: &str = "CLIENT_TESTS_MEMORY_MB";
/// Descriptors of the test's VM.
const DESCRIPTORS_MAX: u64 = 512;
/// Largest body that the configuration allows.
pub(crate) const BODY_BYTES_MAX: usize = 4 << 20;
/// Largest head that the configuration allows.
pub(crate) const HEADER_BYTES_MAX: usize = 16 << 10;
/// Time without progress after which a client writes no more, since the process does not read on.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two counts of the process's descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(10);
/// Stack of a client's thread.
const STACK_BYTES: usize = 128 << 10;
/// Time over which the process must use hardly any processor time to count as idle.
const IDLE_INTERVAL: Duration = Duration::from_millis(150);
/// Clock ticks of processor time in that interval below which the process counts as idle.
const IDLE_TICKS: u64 = 4;
/// Maximum time for which the crowd waits for an idle process, shorter than the requests' deadline.
const IDLE_WAIT: Duration = Duration::from_secs(5);
/// Time in which an ordinary request must be answered after the crowd has left.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// The tests share the machine's memory and processor, so one runs at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Where a crowd connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Door {
    /// A route of the callers' port.
    Route,
    /// A path without a route of the callers' port.
    NoRoute,
    /// The path of readiness checks.
    Ready,
    /// The port of the metrics.
    Metrics,
    /// The port between entry VMs, as if another one passed requests on.
    Peers,
    /// The port between entry VMs, as if another one asked for changes.
    Changes,
}

impl Door {
    pub(crate) const ALL: [Self; 6] =
        [Self::Route, Self::NoRoute, Self::Ready, Self::Metrics, Self::Peers, Self::Changes];
    /// Those that lead to backend servers.
    pub(crate) const SERVED: [Self; 2] = [Self::Route, Self::Peers];

    fn address(self, front: &Front) -> SocketAddr {
        match self {
            Self::Route | Self::NoRoute => front.address,
            Self::Ready => front.ready,
            Self::Metrics => front.metrics_address(),
            Self::Peers | Self::Changes => front.peers(),
        }
    }

    /// Returns the first lines of a request, without the empty line at their end.
    pub(crate) fn head(self, method: &str, headers: &str) -> String {
        let path = match self {
            Self::Route | Self::Peers => "/lookup/x",
            Self::NoRoute => "/nothing/x",
            Self::Ready => "/-/ready",
            Self::Metrics => "/metrics",
            Self::Changes => "/changes/2",
        };
        self.head_of(method, path, headers)
    }

    /// Like `head`, with a path.
    pub(crate) fn head_of(self, method: &str, path: &str, headers: &str) -> String {
        let passed_on = match self {
            Self::Peers => "Mangocross-Passed-On-By: front-x\r\n",
            _ => "",
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\n{CALLER_HEADERS}{passed_on}{headers}"
        )
    }
}

/// A store, backend servers of both services and an entry VM with little memory.
struct Deployment {
    front: Front,
    _servers: Vec<Server>,
    _store: Store,
}

impl Deployment {
    /// Starts with plain servers whose answers have this size, and engines whose streams never end.
    fn start(answer_bytes: usize, memory_mb: u64) -> Self {
        let store = Store::spawn();
        store.configure_with(3, &["k1"], |it| {
            it["limits"] = json!({
                "max_header_bytes": HEADER_BYTES_MAX, "max_body_bytes": BODY_BYTES_MAX,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            });
            // Answers of several megabytes take this build longer than its usual target.
            for route in it["routes"].as_array_mut().into_iter().flatten() {
                route["target_latency_ms"] = 2000.into();
            }
            it["services"][0]["engine"]["slots"] = 64.into();
        });
        let mut servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records")).to_vec();
        servers.iter().for_each(|it| it.set_answer_padding(answer_bytes));
        let engines = ["e1", "e2"].map(|it| Server::spawn(&store, it, "models"));
        engines.iter().for_each(|it| it.set_stream_fault(StreamFault::EndlessEvents));
        servers.extend(engines);
        let front = Front::spawn_limited(store.address, memory_mb, DESCRIPTORS_MAX);
        front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
        wait_for_metric(&front, r#"front_groups{state="open"} 1"#);
        Self { front, _servers: servers, _store: store }
    }
}

/// A crowd of clients that all do the same.
pub(crate) struct Crowd {
    pub(crate) clients: usize,
    pub(crate) doors: &'static [Door],
    /// Size of the answers of plain servers.
    pub(crate) answer_bytes: usize,
}

impl Crowd {
    pub(crate) fn new(clients: usize) -> Self {
        Self { clients, doors: &Door::ALL, answer_bytes: 0 }
    }

    /// Sends the crowd to one port after the other, each time of a new process. A client is over when
    /// `act` returns, with an error also if its connection was refused or closed; the connections
    /// stay open until all clients are over and the process has read what it reads of them.
    pub(crate) fn run(
        &self,
        shape: &str,
        act: impl Fn(Door, usize, &mut TcpStream) -> io::Result<()> + Sync,
    ) {
        let _alone = alone();
        let memory_mb = memory_mb();
        let mut faults = Vec::new();
        for &door in self.doors {
            let deployment = Deployment::start(self.answer_bytes, memory_mb);
            let front = &deployment.front;
            let calm_kb = memory_kb(front, "VmRSS:");
            let address = door.address(front);
            let descriptors = self.send(front, address, |number, stream| act(door, number, stream));
            let is_answered = is_answered(front);
            // Both are zero if the process has ended.
            let (resident_kb, peak_kb) = (memory_kb(front, "VmRSS:"), memory_kb(front, "VmHWM:"));
            println!(
                "{shape}, {door:?}: calm {calm_kb} kB, afterwards {resident_kb} kB, peak {peak_kb} kB, {descriptors} descriptors, answered: {is_answered}"
            );
            let memory_max_kb = memory_mb << 10;
            if peak_kb == 0 || peak_kb > memory_max_kb || resident_kb > memory_max_kb {
                faults.push(format!("{door:?}: {peak_kb} kB of {memory_max_kb} kB"));
            }
            if descriptors > DESCRIPTORS_MAX as usize {
                faults.push(format!("{door:?}: {descriptors} of {DESCRIPTORS_MAX} descriptors"));
            }
            if !is_answered {
                faults.push(format!("{door:?}: no answer afterwards"));
            }
        }
        assert!(faults.is_empty(), "{shape}: {faults:#?}");
    }

    /// Runs the clients; returns the highest number of the process's descriptors.
    fn send(
        &self,
        front: &Front,
        address: SocketAddr,
        act: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Sync,
    ) -> usize {
        let all_over = Barrier::new(self.clients + 1);
        let may_leave = Barrier::new(self.clients + 1);
        let is_over = AtomicBool::new(false);
        let descriptors_max = AtomicUsize::new(0);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    descriptors_max.fetch_max(descriptors(front), Ordering::SeqCst);
                    thread::sleep(COUNT_INTERVAL);
                }
            });
            let clients: Vec<_> = (0..self.clients)
                .map(|number| {
                    let (act, all_over, may_leave) = (&act, &all_over, &may_leave);
                    let run = move || {
                        let mut stream = connect(address);
                        if let Ok(stream) = &mut stream {
                            // An error tells that the process refuses or closes, which it may.
                            let _ = act(number, stream);
                        }
                        all_over.wait();
                        may_leave.wait();
                        stream.is_ok()
                    };
                    let builder = thread::Builder::new().stack_size(STACK_BYTES);
                    builder.spawn_scoped(scope, run).expect("a thread")
                })
                .collect();
            all_over.wait();
            wait_until_idle(front);
            may_leave.wait();
            let connected = clients.into_iter().filter_map(|it| it.join().ok());
            assert!(connected.filter(|it| *it).count() > 0, "no client was connected");
            is_over.store(true, Ordering::SeqCst);
        });
        descriptors_max.into_inner()
    }
}

/// Runs a test of an entry VM without a crowd, whose plain servers' answers have this size.
pub(crate) fn with_deployment(answer_bytes: usize, test: impl FnOnce(&Front)) {
    let _alone = alone();
    test(&Deployment::start(answer_bytes, memory_mb()).front);
}

fn memory_mb() -> u64 {
    let memory_mb = std::env::var(MEMORY_VARIABLE).ok().and_then(|it| it.parse().ok());
    memory_mb.unwrap_or(MEMORY_MB)
}

fn alone() -> MutexGuard<'static, ()> {
    lock(&ALONE)
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(stream)
}

/// Writes the same bytes again and again until `total` bytes are written.
pub(crate) fn write_total(stream: &mut TcpStream, piece: &[u8], total: usize) -> io::Result<()> {
    let mut left = total;
    while left > 0 {
        let length = piece.len().min(left);
        stream.write_all(&piece[..length])?;
        left -= length;
    }
    Ok(())
}

/// Returns an entry of the process's status in kB, zero if the process has ended.
fn memory_kb(front: &Front, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", front.pid()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Waits until the process uses hardly any processor time.
fn wait_until_idle(front: &Front) {
    let began = Instant::now();
    let mut ticks = processor_ticks(front);
    while began.elapsed() < IDLE_WAIT {
        thread::sleep(IDLE_INTERVAL);
        let before = std::mem::replace(&mut ticks, processor_ticks(front));
        if ticks.saturating_sub(before) < IDLE_TICKS {
            return;
        }
    }
}

/// Returns the processor time that the process has used, in clock ticks.
fn processor_ticks(front: &Front) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.pid())).unwrap_or_default();
    // The name of the process ends with a parenthesis and may contain spaces; times are the twelfth
    // and the thirteenth field after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, it)| it).split_whitespace().skip(11);
    fields.take(2).filter_map(|it| it.parse::<u64>().ok()).sum()
}

/// Returns the number of the process's open descriptors.
fn descriptors(front: &Front) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", front.pid())).map_or(0, Iterator::count)
}

/// Returns whether an ordinary request is answered.
fn is_answered(front: &Front) -> bool {
    let began = Instant::now();
    while began.elapsed() < ANSWER_TIME {
        if front.call("GET", "/lookup/y", CALLER_HEADERS, "").0 == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
