//! The deployment under test: entry VMs, stand-ins and the relays between them.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use mangocross_tests::Relay;
use mangocross_tests::RelayMode;

use crate::platform::Client;
use crate::platform::Front;
use crate::platform::Outcome;
use crate::platform::RequestKind;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::lock;

/// Number of entry VMs.
pub(super) const FRONT_COUNT: usize = 3;
/// Number of backend servers that form groups of two.
const ENGINE_COUNT: usize = 7;
/// Number of servers of the plain service.
const PLAIN_SERVER_COUNT: usize = 3;
/// Number of callers per entry VM.
const CALLERS_PER_FRONT: usize = 3;
/// Time within which a revoked key must be refused.
pub(super) const REVOKE: Duration = Duration::from_millis(5000);
/// Part of prompts that crashes engines.
const CRASHING_PART: &str = "bad0cafe";
/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Maximum time until all entry VMs serve all request kinds, at the start and after the faults.
const RECOVERY_MAX: Duration = Duration::from_secs(30);

/// The keys of a configuration and the time at which the store acknowledged it.
#[derive(Debug, Clone)]
pub(super) struct ConfiguredKeys {
    pub(super) keys: Vec<String>,
    pub(super) acknowledged_at: Instant,
}

/// All processes and stand-ins.
pub(super) struct Deployment {
    pub(super) store: Store,
    pub(super) fronts: Vec<Front>,
    pub(super) engines: Vec<Server>,
    pub(super) plain_servers: Vec<Server>,
    /// Relays from the callers to each entry VM.
    pub(super) front_relays: Vec<Relay>,
    /// Relays from each entry VM to the store.
    pub(super) store_relays: Vec<Relay>,
    /// Relays to each backend server.
    pub(super) server_relays: Vec<Relay>,
    pub(super) configured: Arc<Mutex<Vec<ConfiguredKeys>>>,
    /// Entry VMs that were stopped, killed or asked to stop, or went on or started after that, and
    /// when. A process may serve for seconds after SIGTERM, and the next one knows nothing of it.
    pub(super) disrupted_fronts: Vec<(usize, Instant)>,
    /// Servers whose links were harmed, and when that began.
    pub(super) harmed_servers: Vec<(usize, Instant)>,
    /// Callers whose prompts crash servers.
    pub(super) crashing_callers: Vec<JoinHandle<Outcome>>,
}

fn relay_to(target: SocketAddr) -> Relay {
    Relay::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target)
}

impl Deployment {
    pub(super) fn start() -> Self {
        let store = Store::spawn();
        let configured = Arc::new(Mutex::new(Vec::new()));
        let mut server_relays = Vec::new();
        let mut spawn = |id: String, service: &str| {
            let server = Server::spawn_behind(&store, &id, service, |address| {
                let relay = relay_to(address);
                let advertised = relay.address();
                server_relays.push(relay);
                advertised
            });
            server.set_event_pause(EVENT_PAUSE);
            server
        };
        let engines = (0..ENGINE_COUNT).map(|it| spawn(format!("e{it}"), "models")).collect();
        let plain_servers =
            (0..PLAIN_SERVER_COUNT).map(|it| spawn(format!("r{it}"), "records")).collect();
        let store_relays: Vec<Relay> = (0..FRONT_COUNT).map(|_| relay_to(store.address)).collect();
        let revoke_ms = u64::try_from(REVOKE.as_millis()).expect("a short time");
        let fronts: Vec<Front> = store_relays
            .iter()
            .enumerate()
            .map(|(number, it)| Front::spawn_at(it.address(), revoke_ms, log_output(number)))
            .collect();
        let front_relays = fronts.iter().map(|it| relay_to(it.address)).collect();
        let this = Self {
            store,
            fronts,
            engines,
            plain_servers,
            front_relays,
            store_relays,
            server_relays,
            configured,
            disrupted_fronts: Vec::new(),
            harmed_servers: Vec::new(),
            crashing_callers: Vec::new(),
        };
        this.engines.iter().for_each(|it| it.set_crashing_part(CRASHING_PART));
        this.configure(1, &["k1", "k2"]);
        this
    }

    /// Writes the operators' configuration.
    pub(super) fn configure(&self, version: u64, keys: &[&str]) {
        self.store.configure(version, keys);
        lock(&self.configured).push(ConfiguredKeys {
            keys: keys.iter().map(ToString::to_string).collect(),
            acknowledged_at: Instant::now(),
        });
    }

    pub(super) fn wait_until_served(&self) {
        let unserved = self.unserved_within_recovery();
        assert!(unserved.is_empty(), "before any fault: {unserved:?}");
    }

    /// Waits up to `RECOVERY_MAX` until each entry VM serves each request kind; returns a message
    /// for each that it does not serve.
    pub(super) fn unserved_within_recovery(&self) -> Vec<String> {
        let began = Instant::now();
        let mut unserved = Vec::new();
        for (number, relay) in self.front_relays.iter().enumerate() {
            for kind in [RequestKind::Stream, RequestKind::Lookup, RequestKind::Booking] {
                let mut last = None;
                let is_served = loop {
                    let attempt = new_attempt(number);
                    let outcome = Client::new(relay.address()).send(kind, &attempt, "k1");
                    let is_served = outcome.status == 200 && outcome.is_whole;
                    last.replace(outcome);
                    if is_served || began.elapsed() > RECOVERY_MAX {
                        break is_served;
                    }
                    thread::sleep(Duration::from_millis(50));
                };
                if !is_served {
                    unserved.push(format!("entry VM {number} serves no {kind:?}: {last:?}"));
                }
            }
        }
        unserved
    }

    /// Starts callers that each send one request after another.
    pub(super) fn start_callers(&self, seed: u64) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = self.front_relays.iter().flat_map(|it| [it.address(); CALLERS_PER_FRONT]);
        let threads = callers.enumerate().map(|(number, address)| {
            let stop = Arc::clone(&stop);
            let mut random = fastrand::Rng::with_seed(seed ^ (number as u64 + 1) << 32);
            thread::spawn(move || {
                let mut client = Client::new(address);
                let mut outcomes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let kind = match random.u32(0..10) {
                        0..5 => RequestKind::Stream,
                        5..7 => RequestKind::Lookup,
                        _ => RequestKind::Booking,
                    };
                    let key = if random.u32(0..3) == 0 { "k2" } else { "k1" };
                    outcomes.push(client.send(kind, &new_attempt(number / CALLERS_PER_FRONT), key));
                    thread::sleep(Duration::from_millis(random.u64(1..30)));
                }
                outcomes
            })
        });
        let threads = threads.collect();
        Callers { stop, threads }
    }

    /// Sends a stream whose prompt crashes the engines that begin to answer it.
    pub(super) fn send_crashing_prompt(&mut self, front: usize) {
        let address = self.front_relays[front].address();
        let own_part = u32::try_from(self.crashing_callers.len()).unwrap_or_default();
        let client =
            Client::new(address).with_shared_parts(&format!("{CRASHING_PART}:25,"), own_part);
        let attempt = new_attempt(front);
        self.crashing_callers.push(thread::spawn(move || {
            let mut client = client;
            client.send(RequestKind::Stream, &attempt, "k1")
        }));
    }

    /// Ends the faults of relays, store and servers.
    pub(super) fn clear_faults(&mut self) {
        let relays = [&self.front_relays, &self.store_relays, &self.server_relays];
        relays.into_iter().flatten().for_each(|it| it.set(RelayMode::Pass));
        self.store.set_silent(false);
        self.engines.iter().chain(&self.plain_servers).for_each(|it| {
            it.set_withholding_answers(false);
            it.set_retry_after(None);
            it.set_named_limit(None);
            it.set_turning_planner_away(false);
            it.set_leaving(false);
        });
    }
}

/// Returns the log output of an entry VM: a file in the directory that `MANGOCROSS_SOAK_LOGS`
/// names, or null.
pub(super) fn log_output(front: usize) -> Stdio {
    let Ok(directory) = std::env::var("MANGOCROSS_SOAK_LOGS") else { return Stdio::null() };
    let path = format!("{directory}/front-{front}.log");
    let file = File::options().create(true).append(true).open(path);
    Stdio::from(file.expect("the log file is opened"))
}

/// Returns a new attempt's id, which begins with the number of the entry VM that it is sent to.
fn new_attempt(front: usize) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{front}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the number of the entry VM that an attempt was sent to.
pub(super) fn front_of(attempt: &str) -> Option<usize> {
    attempt.split_once('-')?.0.parse().ok()
}

/// Threads that send requests until they are stopped.
pub(super) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Callers {
    /// Stops the callers and returns the outcomes of their requests.
    pub(super) fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        let outcomes =
            self.threads.into_iter().map(|it| it.join().expect("a caller does not fail"));
        outcomes.flatten().collect()
    }
}
