//! The program under test, as a process with an address of its own.

use std::fs::File;
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
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::Store;
use super::WAIT_MAX;
use super::call;

/// Port that is held on the address of each running program, so that no other test uses it.
const CLAIM_PORT: u16 = 9463;
/// Port of the program's metrics, which is fixed.
const METRICS_PORT: u16 = 9464;
/// Ports of the program on its address. They are below those that the kernel gives out, so none is
/// taken before the program binds it.
const CALLERS_PORT: u16 = 9465;
const READY_PORT: u16 = 9466;
const PEERS_PORT: u16 = 9467;
/// Number of addresses that a test process can use at a time.
const ADDRESSES_MAX: usize = 256;
/// Lines of the log that a failure shows.
const SHOWN_LINES_MAX: usize = 12;
/// Maximum length of a shown line, in bytes.
const SHOWN_LINE_BYTES_MAX: usize = 600;

/// Variable with the path of the program that every second entry VM runs; `scripts/mixed-builds` sets it.
const SECOND_PROGRAM_VARIABLE: &str = "MANGOCROSS_SECOND_FRONT";

/// Last octet of the next loopback address to try.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
/// Number of entry VMs that have been started.
static SPAWNED: AtomicUsize = AtomicUsize::new(0);

/// The program under test.
///
/// A test that fails prints the state of each program that it started and the end of its log.
#[derive(Debug)]
pub(crate) struct Front {
    child: Child,
    program: PathBuf,
    pub(crate) address: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) settings: PathBuf,
    _claim: TcpListener,
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
        Self::spawn_with(store, revoke_ms, Some(stdout), cpu_share, |_| {})
    }

    /// Like `spawn_sized`, with the log kept for the message of a failure.
    pub(crate) fn spawn_logged(store: SocketAddr, revoke_ms: u64, cpu_share: f64) -> Self {
        Self::spawn_with(store, revoke_ms, None, cpu_share, |_| {})
    }

    /// Like `spawn_logged`, with a change to the usual settings.
    pub(crate) fn spawn_changed(store: SocketAddr, change: impl FnOnce(&mut Value)) -> Self {
        Self::spawn_with(store, 60_000, None, 1.0, change)
    }

    /// Like `spawn_logged`, on a VM with this memory and this number of descriptors.
    #[allow(dead_code, reason = "used by tests/clients")]
    pub(crate) fn spawn_limited(store: SocketAddr, memory_mb: u64, max_fds: u64) -> Self {
        Self::spawn_with(store, 60_000, None, 1.0, |settings| {
            settings["limits"]["memory_mb"] = memory_mb.into();
            settings["limits"]["max_fds"] = max_fds.into();
        })
    }

    fn spawn_with(
        store: SocketAddr,
        revoke_ms: u64,
        stdout: Option<Stdio>,
        cpu_share: f64,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let (ip, claim) = claim_address();
        let host = ip.octets()[3];
        let address = SocketAddr::from((ip, CALLERS_PORT));
        let ready = SocketAddr::from((ip, READY_PORT));
        let mut settings = json!({
            "node": name_of(address), "ip": IpAddr::V4(ip), "zone": "zone-a",
            "listen": {"front": address, "ready": ready},
            "internal_ports": [PEERS_PORT, PEERS_PORT], "first_start": true,
            "limits": {"max_fds": 1024, "memory_mb": 256, "cpu_share": cpu_share},
            "bounds": {"revoke_ms": revoke_ms, "strict_revoke": true, "grace_s": 8, "stall_ms": 6000, "retry_slack": 50},
            "platform": {"address": store},
        });
        change(&mut settings);
        let name = format!("mangocross-front-{}-{host}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let stdout = stdout.unwrap_or_else(|| Stdio::from(create(&log_path(&path))));
        let program = next_program();
        let child = start(&program, &path, stdout);
        Self { child, program, address, ready, settings: path, _claim: claim }
    }

    /// Returns the name of the VM.
    pub(crate) fn name(&self) -> String {
        name_of(self.address)
    }

    /// Returns the address for traffic between entry VMs.
    pub(crate) fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), PEERS_PORT)
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
        self.child = start(&self.program, &self.settings, stdout);
    }

    /// Kills the program and starts it again with changed settings.
    pub(crate) fn restart_with(&mut self, change: impl FnOnce(&mut Value)) {
        self.kill();
        let settings = std::fs::read_to_string(&self.settings).expect("settings");
        let mut settings: Value = serde_json::from_str(&settings).expect("JSON");
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).expect("settings");
        self.restart(Stdio::null());
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

    /// Returns the address of the metrics.
    pub(crate) fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), METRICS_PORT)
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn metrics(&self) -> String {
        call(self.metrics_address(), "GET", "/metrics", "", "").2
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

    /// Returns the lines of the log that `spawn_logged` keeps.
    pub(crate) fn log_lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(log_path(&self.settings)).unwrap_or_default();
        text.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Prints whether the process runs, and the ends of its errors and of its log.
    fn print_end(&mut self) {
        let state = match self.child.try_wait() {
            Ok(Some(status)) => status.to_string(),
            Ok(None) | Err(_) => self.process_state(),
        };
        eprintln!("{} at {}: {state}", self.settings.display(), self.address);
        for path in [errors_path(&self.settings), log_path(&self.settings)] {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            for line in &lines[lines.len().saturating_sub(SHOWN_LINES_MAX)..] {
                eprintln!("  {}", line.get(..SHOWN_LINE_BYTES_MAX).unwrap_or(line));
            }
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_end();
        }
        self.kill();
        for path in [errors_path(&self.settings), log_path(&self.settings), self.settings.clone()] {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Returns the name of the VM with an address.
fn name_of(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("front-{}", ip.octets()[3]),
        IpAddr::V6(ip) => format!("front-{ip}"),
    }
}

/// Returns a loopback address that no other test uses, and what keeps it so.
///
/// Other test processes may run, and each starts more than a hundred programs.
fn claim_address() -> (Ipv4Addr, TcpListener) {
    let subnet = u8::try_from(std::process::id() % 250).unwrap_or(0);
    for _ in 0..ADDRESSES_MAX {
        let ip = Ipv4Addr::new(127, 7, subnet, NEXT_HOST.fetch_add(1, Ordering::Relaxed));
        let Ok(claim) = TcpListener::bind((ip, CLAIM_PORT)) else { continue };
        // A program outlives a test process that was killed.
        if TcpStream::connect((ip, METRICS_PORT)).is_err() {
            return (ip, claim);
        }
    }
    panic!("no free address in 127.7.{subnet}.0/24");
}

fn create(path: &Path) -> File {
    File::create(path).expect("a file in the folder for temporary files")
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn errors_path(settings: &Path) -> PathBuf {
    settings.with_extension("errors")
}

/// Returns the program that the next entry VM runs, also when it is started again.
fn next_program() -> PathBuf {
    let is_second = SPAWNED.fetch_add(1, Ordering::Relaxed) % 2 == 1;
    let second = std::env::var_os(SECOND_PROGRAM_VARIABLE).filter(|_| is_second);
    second.map_or_else(|| env!("CARGO_BIN_EXE_mangocross-front").into(), PathBuf::from)
}

fn start(program: &Path, settings: &Path, stdout: Stdio) -> Child {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(stdout)
        .stderr(create(&errors_path(settings)))
        .spawn()
        .expect("the program starts")
}
