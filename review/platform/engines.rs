//! Stand-ins of model workers that form groups.

use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::platform::{HEARTBEAT, Json, Record, Request, Store, answer, lock};

/// Name of the service.
pub const SERVICE: &str = "models";
pub const MODEL: &str = "m0";
/// Members of a group.
pub const GROUP_SIZE: usize = 3;
/// Time to load the model from the weight store, and from the host.
const LOAD: Duration = Duration::from_millis(4000);
const WARM: Duration = Duration::from_millis(1100);
/// Time to join a group of the model of the last one.
const JOIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
/// `stall_ms` of the settings.
const STALL: Duration = Duration::from_millis(6000);
/// Whether a request of a client has come; before the first one, loads take a tenth of the time.
static HAS_TRAFFIC: AtomicBool = AtomicBool::new(false);
/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const EVENTS: u32 = 20;

fn load_time() -> Duration {
    if HAS_TRAFFIC.load(Ordering::SeqCst) { LOAD } else { LOAD / 10 }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

/// A worker's membership.
#[derive(Debug, Clone)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub rank: usize,
    pub phase: Phase,
    /// When the next phase begins, if it does by itself.
    next_at: Option<(Instant, Phase)>,
    lacks_member_since: Option<Instant>,
}

#[derive(Debug)]
struct State {
    is_up: bool,
    born: u64,
    seq: u64,
    beats: u64,
    beat_at: Instant,
    highest_epoch: u64,
    group: Option<Group>,
    staged: bool,
    was_joined: bool,
    staging_until: Option<Instant>,
    running: usize,
}

/// A model worker.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    domain: String,
    port: u16,
    store: Store,
    record: Record,
    all: Arc<Mutex<Vec<Engine>>>,
    state: Arc<Mutex<State>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    pub violations: Arc<Mutex<Vec<String>>>,
}

/// Starts workers of several domains.
pub fn spawn(store: &Store, record: &Record, domains: usize, size: usize) -> Vec<Engine> {
    let all = Arc::new(Mutex::new(Vec::new()));
    let violations = Arc::new(Mutex::new(Vec::new()));
    for at in 0..domains * size {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64);
        let state = State {
            is_up: true, born, seq: 0, beats: 0, beat_at: Instant::now(), highest_epoch: 0, group: None,
            staged: false, was_joined: false, staging_until: None, running: 0,
        };
        let engine = Engine {
            id: format!("m-{}-{}", at / size, at % size),
            domain: format!("d{}", at / size),
            port,
            store: store.clone(),
            record: record.clone(),
            all: Arc::clone(&all),
            state: Arc::new(Mutex::new(state)),
            connections: Arc::default(),
            violations: Arc::clone(&violations),
        };
        lock(&all).push(engine.clone());
        engine.publish();
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || engine.run());
    }
    let engines = lock(&all).clone();
    engines
}

impl Engine {
    pub fn group(&self) -> Option<Group> {
        let state = lock(&self.state);
        state.group.clone().filter(|_| state.is_up)
    }

    /// Ends the process for good; nothing listens at its address any more.
    pub fn crash(&self) {
        lock(&self.state).is_up = false;
        thread::sleep(Duration::from_millis(5));
        for it in lock(&self.connections).drain(..) {
            let _ = it.shutdown(std::net::Shutdown::Both);
        }
        self.record.note(&format!("worker {} crashes", self.id));
        // The platform removes the entry after three heartbeats of silence.
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            while engine.store.is_away() {
                thread::sleep(Duration::from_millis(20));
            }
            engine.store.remove(&format!("servers/{}", engine.id));
        });
    }

    fn find(&self, id: &str) -> Option<Engine> {
        lock(&self.all).iter().find(|it| it.id == id).cloned()
    }

    fn status(state: &State, domain: &str) -> String {
        let is_loaded = state.group.as_ref().is_some_and(|it| it.phase != Phase::Joining);
        let models = if is_loaded { format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]") } else { "[]".to_owned() };
        let staged = if state.staged { format!("[\"{MODEL}\"]") } else { "[]".to_owned() };
        let group = state.group.as_ref().map_or(String::new(), |it| {
            let phase = format!("{:?}", it.phase).to_lowercase();
            format!(",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{phase}\"}}", it.name, it.epoch, it.rank)
        });
        format!("\"stage\":\"both\",\"models\":{models},\"staged\":{staged},\"domain\":\"{domain}\",\"born\":{}{group}", state.born)
    }

    fn publish(&self) {
        let mut state = lock(&self.state);
        if !state.is_up {
            return;
        }
        state.beats += 1;
        state.beat_at = Instant::now();
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{},{}}}",
            self.port, state.beats, Self::status(&state, &self.domain)
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Changes phases when their time has come, and writes the entry.
    fn run(&self) {
        loop {
            thread::sleep(Duration::from_millis(10));
            let lacks_member = self.group().is_some_and(|it| it.rank == 0 && !self.is_whole(&it));
            let mut state = lock(&self.state);
            if !state.is_up {
                return;
            }
            let now = Instant::now();
            let mut is_changed = false;
            if state.staging_until.is_some_and(|it| now >= it) {
                (state.staging_until, state.staged) = (None, true);
                is_changed = true;
            }
            let running = state.running;
            let mut has_joined = false;
            if let Some(group) = state.group.as_mut() {
                if let Some((at, phase)) = group.next_at && now >= at && (phase != Phase::Ready || running == 0 || group.phase == Phase::Joining) {
                    has_joined = group.phase == Phase::Joining;
                    (group.phase, group.next_at) = (phase, None);
                    is_changed = true;
                }
                let serves = matches!(group.phase, Phase::Open | Phase::Closing);
                group.lacks_member_since = match serves && lacks_member {
                    true => group.lacks_member_since.or(Some(now)),
                    false => None,
                };
                if group.lacks_member_since.is_some_and(|it| now.duration_since(it) >= STALL) {
                    group.phase = Phase::Broken;
                    is_changed = true;
                }
            }
            if has_joined {
                (state.was_joined, state.staged) = (true, true);
            }
            let is_due = now.duration_since(state.beat_at) >= HEARTBEAT;
            drop(state);
            if is_changed || is_due {
                self.publish();
            }
        }
    }

    fn is_whole(&self, group: &Group) -> bool {
        group.members.iter().all(|id| {
            let member = self.find(id).and_then(|it| it.group());
            member.is_some_and(|it| it.name == group.name && it.epoch == group.epoch && it.phase != Phase::Joining)
        })
    }

    fn accept(&self, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        while lock(&self.state).is_up {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    lock(&self.connections).push(stream.try_clone().expect("a connection"));
                    let this = self.clone();
                    thread::spawn(move || this.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(request) = Request::read(&mut stream, &mut rest) {
            let attempt = format!("Attempt-Id: {}\r\n", request.header("attempt-id"));
            if request.header("expect-instance") != self.id {
                answer(&mut stream, 421, "", "");
            } else if request.target == "/-/report" {
                let state = lock(&self.state);
                let report = format!(
                    "{{\"busy\":{},\"seq\":{},\"queued_count\":0,\"running_count\":{},\"kv_used\":0,\"kv_total\":1000000,\"handles\":0,\"pace\":1.0,{}}}",
                    state.staging_until.is_some(), state.seq, state.running, Self::status(&state, &self.domain)
                );
                drop(state);
                answer(&mut stream, 200, "Content-Type: application/json\r\n", &report);
            } else if request.target == "/-/order" {
                let order = Json::parse(&request.body);
                let status = self.order(&order);
                if status == 202 {
                    self.record.note(&format!("worker {}: {} {} {} -> 202", self.id, order.get("operation").text(), order.get("group").text(), order.get("epoch").number()));
                    self.publish();
                }
                answer(&mut stream, status, "", "");
            } else if self.group().is_none_or(|it| it.rank != 0 || it.phase != Phase::Open) {
                answer(&mut stream, if self.group().is_some_and(|it| it.rank == 0) { 503 } else { 421 }, &format!("Not-Executed: 1\r\n{attempt}"), "");
            } else if !self.stream(&request, &mut stream) {
                return;
            }
        }
    }

    /// Answers with a stream; returns false if it was cut.
    fn stream(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(group) = self.group() else { return false };
        HAS_TRAFFIC.store(true, Ordering::SeqCst);
        lock(&self.state).running += 1;
        let attempt = request.header("attempt-id");
        let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}.1\r\n\r\n", self.id);
        self.record.note(&format!("worker {} begins to run {attempt} after event {after}, in {} {}", self.id, group.name, group.epoch));
        let mut is_sound = stream.write_all(head.as_bytes()).is_ok();
        for id in after + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let stalled_at = Instant::now();
            while is_sound && !self.is_whole(&group) {
                thread::sleep(Duration::from_millis(20));
                is_sound = stalled_at.elapsed() < STALL;
            }
            let event = format!("id: {id}\ndata: {attempt}\n\n");
            is_sound = is_sound && write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_ok();
            if !is_sound {
                break;
            }
        }
        is_sound = is_sound && stream.write_all(b"0\r\n\r\n").is_ok();
        self.record.note(&format!("worker {}: the run of {attempt} ends, whole: {is_sound}", self.id));
        lock(&self.state).running -= 1;
        is_sound
    }

    /// Carries out an order; returns the status of the answer.
    fn order(&self, order: &Json) -> u16 {
        let (name, epoch) = (order.get("group").text().to_owned(), order.get("epoch").number());
        let operation = order.get("operation").text();
        // What this worker leaves by a join is judged before the state is locked.
        let left = self.group();
        let mut state = lock(&self.state);
        if matches!(order.get("expected"), Json::Number(it) if *it as u64 != state.seq) {
            return 409;
        }
        let now = Instant::now();
        let is_own = state.group.as_ref().is_some_and(|it| it.name == name && it.epoch == epoch);
        match operation {
            "join" => {
                let members: Vec<String> = order.get("members").list().iter().map(|it| it.text().to_owned()).collect();
                if is_own {
                    let is_same = state.group.as_ref().is_some_and(|it| it.members == members);
                    return if is_same { 200 } else { 412 };
                }
                if epoch < state.highest_epoch {
                    return 412;
                }
                let time = match (state.was_joined, state.staged) {
                    (true, _) => JOIN,
                    (false, true) => WARM,
                    (false, false) => load_time(),
                };
                let rank = members.iter().position(|it| *it == self.id).unwrap_or(0);
                state.highest_epoch = epoch;
                state.seq += 1;
                state.group = Some(Group {
                    name: name.clone(), epoch, members, rank, phase: Phase::Joining,
                    next_at: Some((now + time, Phase::Ready)), lacks_member_since: None,
                });
                drop(state);
                if let Some(left) = left.filter(|it| it.name != name) {
                    self.judge(&left, &name, epoch);
                }
                202
            }
            "stage" => {
                if state.staged {
                    return 200;
                }
                if state.staging_until.is_some() {
                    return 409;
                }
                state.seq += 1;
                state.staging_until = Some(now + load_time());
                202
            }
            "open" | "close" if !is_own => 409,
            "open" | "close" => {
                let Some(group) = state.group.as_mut() else { return 409 };
                let (from, to, next) = match operation {
                    "open" => (Phase::Ready, Phase::Ready, (now + FORM, Phase::Open)),
                    _ => (Phase::Open, Phase::Closing, (now, Phase::Ready)),
                };
                if group.rank != 0 || group.phase != from {
                    return if operation == "open" && group.phase == Phase::Open { 200 } else { 409 };
                }
                if group.next_at.is_some() {
                    return 200;
                }
                (group.phase, group.next_at) = (to, Some(next));
                state.seq += 1;
                202
            }
            "leave" => {
                if !is_own {
                    return 200;
                }
                state.group = None;
                state.seq += 1;
                202
            }
            _ => 400,
        }
    }

    /// Notes a join of another group while the head of the group that this worker leaves is open or
    /// closing, or stands still and isn't broken yet.
    fn judge(&self, left: &Group, name: &str, epoch: u64) {
        let Some(head) = left.members.first().and_then(|it| self.find(it)) else { return };
        let Some(of_head) = head.group() else { return };
        let is_same = of_head.name == left.name && of_head.epoch == left.epoch;
        if is_same && matches!(of_head.phase, Phase::Open | Phase::Closing) {
            let text = format!("worker {} takes a join of {name} {epoch} while {} {} of head {} is {:?}", self.id, left.name, left.epoch, head.id, of_head.phase);
            self.record.note(&format!("TWO: {text}"));
            lock(&self.violations).push(text);
        }
    }
}
