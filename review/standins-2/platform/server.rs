//! Backend servers: engines that form groups, and a plain service. Without a fault they are sound.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Request;
use crate::http::answer;
use crate::http::listen;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 12;

/// What a server does with a request instead of its usual work; `None` for the usual work, else whether
/// the connection is kept.
type Fault = dyn Fn(&Server, &Request, &mut TcpStream) -> Option<bool> + Send + Sync;

#[derive(Debug, Clone, Default)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
    members: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    seq: u64,
    beats: u64,
    group: Option<Group>,
    model: Option<String>,
    staged: Option<String>,
    highest_epoch: u64,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    pub address: SocketAddr,
    born_ms: u128,
    store: Store,
    pub record: Record,
    state: Arc<Mutex<State>>,
    fault: Arc<Mutex<Option<Arc<Fault>>>>,
}

impl Server {
    /// Starts a server. Its entry changes when more than its number of writes does.
    pub fn start(store: &Store, record: &Record, id: &str, service: &'static str, zone: &'static str) -> Self {
        let cell: Arc<Mutex<Option<Server>>> = Arc::default();
        let served = Arc::clone(&cell);
        let address = listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |request, stream| {
            let server = served.lock().unwrap_or_else(PoisonError::into_inner).clone();
            server.is_some_and(|it| it.serve(request, stream))
        });
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let server = Self {
            id: id.to_owned(),
            service,
            zone,
            address,
            born_ms,
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
            fault: Arc::default(),
        };
        *cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(server.clone());
        server.publish(&mut server.lock());
        server
    }

    /// Sets what the server does instead of its usual work.
    pub fn set_fault(
        &self,
        fault: Option<impl Fn(&Server, &Request, &mut TcpStream) -> Option<bool> + Send + Sync + 'static>,
    ) {
        let fault = fault.map(|it| Arc::new(it) as Arc<Fault>);
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_engine(&self) -> bool {
        self.service == "llm"
    }

    fn engine_fields(&self, state: &State) -> String {
        if !self.is_engine() {
            return format!(r#""born":{}"#, self.born_ms);
        }
        let model = |it: &String| format!(r#"{{"name":"{it}","version":1,"adapters":[]}}"#);
        let models = state.model.as_ref().map(model).unwrap_or_default();
        let staged = state.staged.as_ref().map(|it| format!("\"{it}\"")).unwrap_or_default();
        let group = state.group.as_ref().map_or("null".to_owned(), |it| {
            let Group { name, epoch, rank, state, .. } = it;
            format!(r#"{{"name":"{name}","epoch":{epoch},"rank":{rank},"state":"{state}"}}"#)
        });
        let born = self.born_ms;
        format!(r#""born":{born},"stage":"both","domain":"d0","models":[{models}],"staged":[{staged}],"group":{group}"#)
    }

    fn publish(&self, state: &mut State) {
        state.beats += 1;
        let (fields, beats) = (self.engine_fields(state), state.beats);
        let Self { service, address, zone, .. } = self;
        let value = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"seq":{beats},{fields}}}"#
        );
        self.store.put(&format!("servers/{}", self.id), &value);
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let is_named = |it: &str| it == self.id;
        if !request.header("Expect-Instance").is_none_or(is_named) {
            return answer(stream, 421, &format!("Instance-Id: {}\r\n", self.id), "");
        }
        match request.target.as_str() {
            "/-/report" => {
                let state = self.lock();
                let (fields, seq) = (self.engine_fields(&state), state.seq);
                drop(state);
                let body = format!(
                    r#"{{"busy":false,"seq":{seq},"queued_count":0,"running_count":0,"kv_used":0,"kv_total":90000,"handles":0,"pace":1.0,{fields}}}"#
                );
                answer(stream, 200, "Content-Type: application/json\r\n", &body)
            }
            "/-/order" => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                answer(stream, status, "Content-Type: application/json\r\n", "{}")
            }
            _ => self.run(request, stream),
        }
    }

    fn order(&self, body: &str) -> u16 {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut state = self.lock();
        if body.get("expected") != &Json::Null && body.get("expected").number() != state.seq {
            return 409;
        }
        let (name, epoch) = (body.get("group").text().to_owned(), body.get("epoch").number());
        let is_named = |it: &Group| it.name == name && it.epoch == epoch;
        match body.get("operation").text() {
            "join" => {
                let members: Vec<String> =
                    body.get("members").list().iter().map(|it| it.text().to_owned()).collect();
                if epoch < state.highest_epoch {
                    return 412;
                }
                if let Some(it) = state.group.as_ref().filter(|it| is_named(it)) {
                    return if it.members == members { 200 } else { 412 };
                }
                let Some(rank) = members.iter().position(|it| *it == self.id) else { return 409 };
                state.highest_epoch = epoch;
                let model = body.get("model").text().to_owned();
                let wait_ms = if state.model.as_ref() == Some(&model) { 200 } else { 400 };
                (state.model, state.staged) = (Some(model.clone()), Some(model));
                state.group = Some(Group { name: name.clone(), epoch, rank, state: "joining", members });
                self.go_on(&mut state, (name, epoch), wait_ms, "joining", "ready")
            }
            "open" => match state.group.as_ref().filter(|it| is_named(it)).map(|it| (it.rank, it.state)) {
                Some((0, "open")) => 200,
                Some((0, "ready")) => self.go_on(&mut state, (name, epoch), 50, "ready", "open"),
                _ => 409,
            },
            "close" => match state.group.as_ref().filter(|it| is_named(it)).map(|it| (it.rank, it.state)) {
                Some((0, "ready")) => 200,
                Some((0, "open")) => self.go_on(&mut state, (name, epoch), 50, "open", "ready"),
                _ => 409,
            },
            "leave" => {
                if !state.group.as_ref().is_some_and(is_named) {
                    return 200;
                }
                state.group = None;
                state.seq += 1;
                self.publish(&mut state);
                200
            }
            "stage" => {
                state.staged = Some(body.get("model").text().to_owned());
                state.seq += 1;
                self.publish(&mut state);
                202
            }
            _ => 400,
        }
    }

    /// Begins a change of the group's state that is complete after a while.
    fn go_on(
        &self,
        state: &mut State,
        group: (String, u64),
        wait_ms: u64,
        from: &'static str,
        to: &'static str,
    ) -> u16 {
        state.seq += 1;
        self.publish(state);
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(wait_ms));
            let mut state = server.lock();
            let is_same = |it: &&mut Group| (it.name.as_str(), it.epoch) == (group.0.as_str(), group.1);
            if let Some(it) = state.group.as_mut().filter(is_same).filter(|it| it.state == from) {
                it.state = to;
                server.publish(&mut state);
            }
        });
        202
    }

    /// Returns whether the server is the head of an open group.
    pub fn is_open(&self) -> bool {
        self.lock().group.as_ref().is_some_and(|it| it.state == "open")
    }

    /// Returns the headers of an answer that the server signs.
    pub fn signed_headers(&self, request: &Request) -> String {
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        format!("Attempt-Id: {attempt}\r\nServer-Seal: {}.{}\r\n", self.id, self.born_ms)
    }

    /// Records that the server begins to work on a request.
    pub fn begin(&self, request: &Request) {
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        self.record.add(&format!("run {attempt} at {} {} {}", self.id, request.method, request.target));
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        if self.is_engine() && !self.is_open() {
            return answer(stream, 503, &format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n"), "");
        }
        let fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(is_kept) = fault.and_then(|it| it(self, request, stream)) {
            return is_kept;
        }
        self.begin(request);
        let headers = self.signed_headers(request);
        if !self.is_engine() {
            thread::sleep(Duration::from_millis(20));
            let body = format!("the answer to {attempt}");
            return answer(stream, 200, &format!("{headers}Content-Type: text/plain\r\n"), &body);
        }
        let after: u64 = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: 1\r\n{headers}\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        for id in after + 1..=EVENTS {
            thread::sleep(Duration::from_millis(30));
            let event = event(attempt, id);
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns an event of the answer to an attempt.
pub fn event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: token {id} for {attempt}\n\n")
}
