//! Stand-ins of model workers, which take orders, form groups and write event streams.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::store::ADDRESS_MARK;
use crate::store::Store;
use crate::util::Json;
use crate::util::Request;
use crate::util::answer;

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const STALL: Duration = Duration::from_millis(5000);
const FORM_TIME: Duration = Duration::from_millis(300);
const REJOIN_TIME: Duration = Duration::from_millis(200);
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const EVENTS: usize = 10;

pub struct Model {
    pub name: &'static str,
    pub size: usize,
    pub share: f64,
    pub load_s: f64,
    pub warm_s: f64,
}

pub const MODELS: [Model; 2] = [
    Model { name: "m0", size: 4, share: 0.67, load_s: 16.0, warm_s: 1.6 },
    Model { name: "m1", size: 2, share: 0.33, load_s: 12.0, warm_s: 1.1 },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Joining,
    Ready,
    Opening,
    Open,
    Closing,
    Broken,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    rank: usize,
    pub phase: Phase,
}

/// What a cut does to the connections of an entry VM to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    None,
    /// Nothing arrives or is answered.
    Silent,
    /// Connections are reset, and new ones refused.
    Refused,
}

pub struct Worker {
    pub id: String,
    pub domain: String,
    zone: String,
    born: u64,
    seq: u64,
    beats: u64,
    last_beat: Instant,
    is_listed: bool,
    pub is_cut_from_store: bool,
    /// For each entry VM.
    pub cuts: Vec<Cut>,
    model: Option<String>,
    staged: Vec<String>,
    epoch_max: u64,
    pub group: Option<Group>,
    running: usize,
}

pub struct World {
    pub workers: Mutex<BTreeMap<String, Worker>>,
    pub store: Arc<Store>,
    record: Mutex<File>,
    began: Instant,
    pub has_traffic: Mutex<bool>,
    pub violations: Mutex<Vec<String>>,
}

impl World {
    pub fn new(store: Arc<Store>, record: File) -> Arc<Self> {
        Arc::new(Self {
            workers: Mutex::default(),
            store,
            record: Mutex::new(record),
            began: Instant::now(),
            has_traffic: Mutex::new(false),
            violations: Mutex::default(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} s  {text}");
    }

    pub fn add(self: &Arc<Self>, id: &str, domain: &str, zone: &str, entry_vms: usize) {
        let worker = Worker {
            id: id.to_owned(),
            domain: domain.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            seq: 0,
            beats: 0,
            last_beat: Instant::now(),
            is_listed: false,
            is_cut_from_store: false,
            cuts: vec![Cut::None; entry_vms],
            model: None,
            staged: Vec::new(),
            epoch_max: 0,
            group: None,
            running: 0,
        };
        self.workers.lock().unwrap().insert(id.to_owned(), worker);
    }

    /// Writes entries at each worker's heartbeat, and removes those that have been silent for three.
    pub fn keep_entries(self: &Arc<Self>) {
        let this = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut workers = this.workers.lock().unwrap();
                for (at, worker) in workers.values_mut().enumerate() {
                    // Each worker has its own phase.
                    let phase = HEARTBEAT.mul_f64((at * 37 % 101) as f64 / 101.0);
                    let beats = this.began.elapsed().saturating_sub(phase).as_millis()
                        / HEARTBEAT.as_millis();
                    let is_due = worker.beats < beats as u64;
                    worker.beats = beats as u64;
                    if is_due && !worker.is_cut_from_store {
                        this.publish(worker);
                    }
                    if worker.is_listed && worker.last_beat.elapsed() > HEARTBEAT * 3 {
                        worker.is_listed = false;
                        this.store.remove(&format!("servers/{}", worker.id));
                        this.note(&format!("entry of {} removed", worker.id));
                    }
                }
            }
        });
    }

    fn publish(&self, worker: &mut Worker) {
        if worker.is_cut_from_store {
            return;
        }
        if !worker.is_listed && worker.beats > 3 {
            self.note(&format!("entry of {} written, {}", worker.id, shown(&worker.group)));
        }
        (worker.is_listed, worker.last_beat) = (true, Instant::now());
        let state = worker.state();
        let entry = format!(
            r#"{{"service":"models","address":"{ADDRESS_MARK}","zone":"{}","version":"v1","slots":20,"state":"ready","cold_remaining_ms":0,{state},"seq":{}}}"#,
            worker.zone, worker.beats
        );
        self.store.put(&format!("servers/{}", worker.id), &entry);
    }

    /// Serves the connections of one entry VM to a worker.
    pub fn serve(self: &Arc<Self>, id: &str, entry_vm: usize, listener: TcpListener) {
        let (this, id) = (Arc::clone(self), id.to_owned());
        thread::spawn(move || {
            let address = listener.local_addr().expect("an address");
            let mut listener = Some(listener);
            let mut open: Vec<TcpStream> = Vec::new();
            loop {
                let cut = this.workers.lock().unwrap()[&id].cuts[entry_vm];
                if cut == Cut::Refused {
                    drop(listener.take());
                    open.drain(..).for_each(|it| drop(it.shutdown(Shutdown::Both)));
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                let Some(bound) = &listener else {
                    listener = bind(address);
                    continue;
                };
                let _ = bound.set_nonblocking(true);
                match bound.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        open.extend(stream.try_clone());
                        if open.len() > 256 {
                            open.drain(..128);
                        }
                        let (this, id) = (Arc::clone(&this), id.clone());
                        thread::spawn(move || this.serve_connection(&id, entry_vm, stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(3));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(3)),
                }
            }
        });
    }

    fn is_cut(&self, id: &str, entry_vm: usize) -> bool {
        self.workers.lock().unwrap()[id].cuts[entry_vm] != Cut::None
    }

    fn serve_connection(&self, id: &str, entry_vm: usize, mut stream: TcpStream) {
        while let Some(request) = Request::read(&mut stream) {
            if self.is_cut(id, entry_vm) {
                // What is sent into a cut is lost with its connection.
                while self.is_cut(id, entry_vm) {
                    thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            let goes_on = if request.header("expect-instance") != id {
                answer(&mut stream, 421, "", "")
            } else {
                match request.path() {
                    "/-/report" => {
                        let body = self.workers.lock().unwrap()[id].report();
                        answer(&mut stream, 200, "Content-Type: application/json\r\n", &body)
                    }
                    "/-/order" => {
                        let status = self.order(id, &request);
                        answer(&mut stream, status, "", "")
                    }
                    _ => self.write_stream(id, entry_vm, &request, &mut stream),
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    fn order(&self, id: &str, request: &Request) -> u16 {
        let Some(order) = Json::parse(&request.body) else { return 400 };
        let operation = order.get("operation").text().to_owned();
        let name = order.get("group").text().to_owned();
        let epoch = order.get("epoch").number().unwrap_or(0);
        let status = self.carry_out(id, &operation, &name, epoch, &order);
        self.note(&format!("order at {id}: {operation} {name} {epoch}: {status}"));
        status
    }

    fn carry_out(&self, id: &str, operation: &str, name: &str, epoch: u64, order: &Json) -> u16 {
        let mut workers = self.workers.lock().unwrap();
        let worker = &workers[id];
        let own = worker.group.clone();
        let is_own = own.as_ref().is_some_and(|it| it.name == name && it.epoch == epoch);
        let members: Vec<String> =
            order.get("members").list().iter().map(|it| it.text().to_owned()).collect();
        let is_done = match (operation, &own) {
            ("join", Some(it)) => is_own && it.members == members,
            ("open", Some(it)) => is_own && matches!(it.phase, Phase::Opening | Phase::Open),
            ("stage", _) => worker.staged.iter().any(|it| it == order.get("model").text()),
            _ => false,
        };
        if is_done {
            return 200;
        }
        if order.get("expected").number().is_some_and(|it| it != worker.seq) {
            return 409;
        }
        match operation {
            "join" => {
                let is_other_list = is_own && own.as_ref().is_some_and(|it| it.members != members);
                let Some(rank) = members.iter().position(|it| it == id) else { return 409 };
                if epoch < worker.epoch_max || is_other_list {
                    return 412;
                }
                self.check_join(&workers, id, &own, name);
                let model = order.get("model").text().to_owned();
                let has_traffic = *self.has_traffic.lock().unwrap();
                let worker = workers.get_mut(id).expect("a worker");
                let time = worker.join_time(&model, has_traffic);
                worker.seq += 1;
                worker.epoch_max = epoch;
                worker.staged = vec![model.clone()];
                worker.model = Some(model);
                let phase = Phase::Joining;
                worker.group = Some(Group { name: name.to_owned(), epoch, members, rank, phase });
                self.publish(worker);
                drop(workers);
                self.later(id, time, Phase::Joining, Phase::Ready);
            }
            "open" => {
                let is_ready = is_own
                    && own.as_ref().is_some_and(|it| it.rank == 0 && it.phase == Phase::Ready);
                if !is_ready {
                    return 409;
                }
                self.set_phase(&mut workers, id, Phase::Opening);
                drop(workers);
                self.later(id, FORM_TIME, Phase::Opening, Phase::Open);
            }
            "close" => {
                let is_open = is_own && own.as_ref().is_some_and(|it| it.phase == Phase::Open);
                if !is_open {
                    return 409;
                }
                self.set_phase(&mut workers, id, Phase::Closing);
                drop(workers);
                self.finish_closing(id);
            }
            "leave" => {
                if !is_own {
                    return 409;
                }
                let worker = workers.get_mut(id).expect("a worker");
                worker.seq += 1;
                worker.group = None;
                self.publish(worker);
            }
            "stage" => {
                let model = order.get("model").text().to_owned();
                let has_traffic = *self.has_traffic.lock().unwrap();
                let worker = workers.get_mut(id).expect("a worker");
                worker.seq += 1;
                let time = load_time(&model, has_traffic);
                let (this, id) = (self.this(), id.to_owned());
                drop(workers);
                thread::spawn(move || {
                    thread::sleep(time);
                    let mut workers = this.workers.lock().unwrap();
                    let worker = workers.get_mut(&id).expect("a worker");
                    worker.staged = vec![model];
                    this.publish(worker);
                });
            }
            _ => return 400,
        }
        202
    }

    /// The rule: no join of another group while the head of the present one is open or closing, or
    /// stands still and isn't broken yet.
    fn check_join(
        &self,
        workers: &BTreeMap<String, Worker>,
        id: &str,
        own: &Option<Group>,
        name: &str,
    ) {
        let Some(own) = own.as_ref().filter(|it| it.name != name) else { return };
        let head = &own.members[0];
        let of_head = workers[head].group.as_ref();
        let of_head = of_head.filter(|it| it.name == own.name && it.epoch == own.epoch);
        if of_head.is_some_and(|it| matches!(it.phase, Phase::Open | Phase::Closing)) {
            let text = format!(
                "TWO: {id} takes a join of {name} while {head}, the head of its group {} {}, is {:?}",
                own.name,
                own.epoch,
                of_head.map(|it| it.phase)
            );
            self.note(&text);
            self.violations.lock().unwrap().push(text);
        }
    }

    fn set_phase(&self, workers: &mut BTreeMap<String, Worker>, id: &str, phase: Phase) {
        let worker = workers.get_mut(id).expect("a worker");
        worker.seq += 1;
        worker.group.iter_mut().for_each(|it| it.phase = phase);
        self.publish(worker);
    }

    /// Changes the phase after a time, unless another order came.
    fn later(&self, id: &str, time: Duration, from: Phase, to: Phase) {
        let (this, id) = (self.this(), id.to_owned());
        let seq = this.workers.lock().unwrap()[&id].seq;
        thread::spawn(move || {
            thread::sleep(time);
            let mut workers = this.workers.lock().unwrap();
            let worker = workers.get_mut(&id).expect("a worker");
            let is_same = worker.seq == seq && worker.group.as_ref().is_some_and(|it| it.phase == from);
            if is_same {
                worker.group.iter_mut().for_each(|it| it.phase = to);
                this.publish(worker);
            }
        });
    }

    fn finish_closing(&self, id: &str) {
        let (this, id) = (self.this(), id.to_owned());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut workers = this.workers.lock().unwrap();
                let worker = workers.get_mut(&id).expect("a worker");
                let phase = worker.group.as_ref().map(|it| it.phase);
                if phase != Some(Phase::Closing) {
                    return;
                }
                if worker.running == 0 {
                    worker.group.iter_mut().for_each(|it| it.phase = Phase::Ready);
                    this.publish(worker);
                    return;
                }
            }
        });
    }

    fn this(&self) -> Arc<Self> {
        WORLD.lock().unwrap().clone().expect("the world")
    }

    /// Runs a request at the head of a group; returns whether the connection goes on.
    fn write_stream(
        &self,
        id: &str,
        entry_vm: usize,
        request: &Request,
        stream: &mut TcpStream,
    ) -> bool {
        let attempt = request.header("attempt-id").to_owned();
        let head = format!("Attempt-Id: {attempt}\r\n");
        let is_open = {
            let mut workers = self.workers.lock().unwrap();
            let worker = workers.get_mut(id).expect("a worker");
            let phase = worker.group.as_ref().map(|it| it.phase);
            let is_model = worker.model.as_deref() == Some(request.header("model"));
            let is_open = phase == Some(Phase::Open) && is_model;
            worker.running += usize::from(is_open);
            is_open
        };
        if !is_open {
            return answer(stream, 503, &format!("{head}Not-Executed: 1\r\n"), "");
        }
        self.note(&format!("request {attempt} runs at {id}"));
        let first: usize = request.header("last-event-id").parse().unwrap_or(0);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{head}Server-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut goes_on = stream.write_all(text.as_bytes()).is_ok();
        for number in first + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            if !goes_on || self.is_cut(id, entry_vm) || !self.is_complete(id) {
                goes_on = false;
                break;
            }
            let event = format!("id: {number}\ndata: part {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            goes_on = stream.write_all(chunk.as_bytes()).is_ok();
        }
        goes_on = goes_on && stream.write_all(b"0\r\n\r\n").is_ok();
        self.workers.lock().unwrap().get_mut(id).expect("a worker").running -= 1;
        goes_on
    }

    /// Waits while the group of a head lacks a member; returns whether it is complete again.
    fn is_complete(&self, id: &str) -> bool {
        let end = Instant::now() + STALL;
        loop {
            let mut workers = self.workers.lock().unwrap();
            let Some(own) = workers[id].group.clone() else { return false };
            let is_in = |it: &String| {
                let group = workers[it].group.as_ref();
                group.is_some_and(|it| it.name == own.name && it.epoch == own.epoch)
            };
            if own.members.iter().all(is_in) {
                return true;
            }
            if Instant::now() > end {
                let worker = workers.get_mut(id).expect("a worker");
                worker.group.iter_mut().for_each(|it| it.phase = Phase::Broken);
                self.publish(worker);
                self.note(&format!("{id}, the head of {} {}, is broken", own.name, own.epoch));
                return false;
            }
            drop(workers);
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The one world, for threads that outlive a call.
pub static WORLD: Mutex<Option<Arc<World>>> = Mutex::new(None);

impl Worker {
    fn join_time(&self, model: &str, has_traffic: bool) -> Duration {
        let spec = MODELS.iter().find(|it| it.name == model).expect("a model");
        if self.model.as_deref() == Some(model) {
            REJOIN_TIME
        } else if self.staged.iter().any(|it| it == model) {
            Duration::from_secs_f64(spec.warm_s)
        } else {
            load_time(model, has_traffic)
        }
    }

    /// Returns what the worker says of itself wherever it reports its models.
    fn state(&self) -> String {
        let models = self.model.iter();
        let models: Vec<String> =
            models.map(|it| format!(r#"{{"name":"{it}","version":1,"adapters":[]}}"#)).collect();
        let staged: Vec<String> = self.staged.iter().map(|it| format!("\"{it}\"")).collect();
        let group = self.group.as_ref().map_or("null".to_owned(), |it| {
            let phase = match it.phase {
                Phase::Joining => "joining",
                Phase::Ready | Phase::Opening => "ready",
                Phase::Open => "open",
                Phase::Closing => "closing",
                Phase::Broken => "broken",
            };
            format!(
                r#"{{"name":"{}","epoch":{},"rank":{},"state":"{phase}"}}"#,
                it.name, it.epoch, it.rank
            )
        });
        format!(
            r#""stage":"both","models":[{}],"domain":"{}","staged":[{}],"group":{group},"born":{}"#,
            models.join(","),
            self.domain,
            staged.join(","),
            self.born
        )
    }

    fn report(&self) -> String {
        format!(
            r#"{{{},"busy":false,"seq":{},"queued_count":0,"running_count":{},"kv_used":0,"kv_total":1860000,"handles":0}}"#,
            self.state(),
            self.seq,
            self.running
        )
    }
}

fn load_time(model: &str, has_traffic: bool) -> Duration {
    let spec = MODELS.iter().find(|it| it.name == model).expect("a model");
    Duration::from_secs_f64(if has_traffic { spec.load_s } else { spec.load_s / 10.0 })
}

pub fn shown(group: &Option<Group>) -> String {
    let Some(it) = group else { return "in no group".to_owned() };
    format!("{:?} in {} {} at rank {}", it.phase, it.name, it.epoch, it.rank)
}

fn bind(address: SocketAddr) -> Option<TcpListener> {
    let bound = TcpListener::bind(address);
    if bound.is_err() {
        thread::sleep(Duration::from_millis(5));
    }
    bound.ok()
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}
