//! Backend servers: engines that form groups, and a plain service.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::Request;
use super::Store;
use super::answer;
use super::listen;
use super::lock;

/// Time for which an engine stands still without a member before it is broken.
const STALL: Duration = Duration::from_millis(6000);
/// Start of a server's first life.
const BORN: u64 = 1000;
/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 5;

#[derive(Debug, Default)]
struct State {
    orders: u64,
    group: Value,
    model: Option<String>,
    /// Attempts that ran, in order.
    ran: Vec<String>,
    /// The next streams stop in the middle of their third event.
    breaks_streams: u32,
    /// Requests get no answer.
    is_mute: bool,
    /// Requests are turned away unrun.
    is_full: bool,
    /// Starts of the server; its entry tells them apart.
    starts: u64,
    /// Members of the group, the head first.
    members: Vec<Value>,
    /// Entries of the members at the time when the group was opened.
    opened_with: Vec<(String, Value)>,
    /// Time between two events.
    event_pause: Duration,
    /// Promises of the system that it saw broken.
    broken_promises: Vec<String>,
}

/// A backend server that keeps its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    id: String,
    service: String,
    store: Store,
    /// Where others reach it.
    public: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Server {
    pub(crate) fn spawn(store: &Store, id: &str, service: &str) -> Self {
        Self::spawn_behind(store, id, service, |address| address)
    }

    /// Starts a server that others reach through another address.
    pub(crate) fn spawn_behind(
        store: &Store,
        id: &str,
        service: &str,
        public: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let this = Arc::new(Mutex::new(None::<Self>));
        let handler = Arc::clone(&this);
        let address = listen(move |request, stream| {
            let server = lock(&handler).clone();
            if let Some(server) = server {
                server.serve(&request, stream);
            }
        });
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            store: store.clone(),
            public: public(address),
            state,
        };
        *lock(&this) = Some(server.clone());
        server.publish();
        server
    }

    /// Returns the attempts that ran here.
    pub(crate) fn ran(&self) -> Vec<String> {
        lock(&self.state).ran.clone()
    }

    /// Returns whether it heads a group that is open.
    pub(crate) fn is_open(&self) -> bool {
        lock(&self.state).group["state"] == "open"
    }

    /// Lets the next streams stop in the middle of an event.
    pub(crate) fn break_streams(&self, count: u32) {
        lock(&self.state).breaks_streams = count;
    }

    /// Lets requests run without an answer.
    pub(crate) fn mute(&self) {
        self.set_mute(true);
    }

    /// Lets requests run without an answer, or answers again.
    pub(crate) fn set_mute(&self, is_mute: bool) {
        lock(&self.state).is_mute = is_mute;
    }

    /// Lets the server turn requests away unrun.
    pub(crate) fn set_full(&self, is_full: bool) {
        lock(&self.state).is_full = is_full;
    }

    /// Sets the time between two events of a stream.
    pub(crate) fn set_event_pause(&self, pause: Duration) {
        lock(&self.state).event_pause = pause;
    }

    /// Removes the server's entry, as when it crashed.
    pub(crate) fn unlist(&self) {
        lock(&self.state).group = Value::Null;
        self.store.remove(&format!("servers/{}", self.id));
    }

    /// Starts the server again: it knows nothing of before, and is listed.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        state.starts += 1;
        state.orders = 0;
        state.group = Value::Null;
        state.model = None;
        self.publish_state(&state);
    }

    /// Returns the promises of the system that the server saw broken.
    pub(crate) fn broken_promises(&self) -> Vec<String> {
        lock(&self.state).broken_promises.clone()
    }

    fn status(&self, state: &State) -> Value {
        let models: Vec<Value> =
            state.model.iter().map(|it| json!({"name": it, "version": 1})).collect();
        json!({"service": self.service, "address": self.public, "zone": "zone-a", "slots": 4,
            "state": "ready", "seq": state.orders, "born": BORN + state.starts, "models": models,
            "domain": if self.service == "models" { json!("d0") } else { Value::Null },
            "staged": state.model.iter().collect::<Vec<_>>(), "group": state.group})
    }

    fn publish(&self) {
        self.publish_state(&lock(&self.state));
    }

    /// Writes the server's entry before anyone can hear of the state in another way.
    fn publish_state(&self, state: &State) {
        self.store.put(&format!("servers/{}", self.id), &self.status(state));
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) {
        match request.target.as_str() {
            "/-/report" => {
                let status = self.status(&lock(&self.state));
                answer(stream, 200, "", &status.to_string());
            }
            "/-/order" => self.order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) {
        let order: Value = serde_json::from_slice(&request.body).expect("JSON");
        {
            let mut state = lock(&self.state);
            let is_of_group = order["operation"] == "join"
                || order["operation"] == "stage"
                || (order["group"] == state.group["name"]
                    && order["epoch"] == state.group["epoch"]);
            if order["expected"].as_u64() != Some(state.orders) || !is_of_group {
                answer(stream, 409, "", "");
                return;
            }
            state.orders += 1;
            match order["operation"].as_str() {
                Some("join") => {
                    let left = self.open_group_left(&state, &order);
                    state.broken_promises.extend(left);
                    let members = order["members"].as_array().cloned().unwrap_or_default();
                    state.members.clone_from(&members);
                    let rank = members.iter().position(|it| *it == json!(self.id));
                    state.model = order["model"].as_str().map(str::to_owned);
                    state.group = json!({"name": order["group"], "epoch": order["epoch"],
                        "rank": rank, "state": "ready"});
                    self.store.note_ready(&self.id, &state.group);
                }
                Some("open") => {
                    let members = state.members.iter().filter_map(Value::as_str);
                    let entries = members.map(|it| (it.to_owned(), self.entry_of(it, &state)));
                    state.opened_with = entries.collect();
                    // A member that was ready and is lost since is no fault of the system.
                    let absent = state
                        .opened_with
                        .iter()
                        .find(|(it, _)| !self.store.was_ready(it, &state.group))
                        .map(|(it, _)| format!("{} opens without {it}", self.id));
                    state.broken_promises.extend(absent);
                    state.group["state"] = json!("open");
                }
                Some("leave") => state.group = Value::Null,
                Some("stage") => state.model = order["model"].as_str().map(str::to_owned),
                _ => {}
            }
            self.publish_state(&state);
        }
        answer(stream, 202, "", "");
    }

    /// A server joins another group only once the head of its own is out.
    fn open_group_left(&self, state: &State, order: &Value) -> Option<String> {
        if state.group.is_null() || state.group["name"] == order["group"] {
            return None;
        }
        let head = state.members.first()?.as_str()?;
        let group = match head == self.id {
            true => state.group.clone(),
            false => self.store.read(&format!("servers/{head}"))?["group"].clone(),
        };
        let is_open = group["state"] == "open"
            && group["name"] == state.group["name"]
            && group["epoch"] == state.group["epoch"];
        is_open.then(|| format!("{} joins {} while {group} serves", self.id, order["group"]))
    }

    /// Returns the entry of a server, or this one's own state.
    fn entry_of(&self, id: &str, state: &State) -> Value {
        if id == self.id {
            return json!({"group": state.group, "born": BORN + state.starts});
        }
        self.store.read(&format!("servers/{id}")).unwrap_or_default()
    }

    /// Waits while the group lacks a member that it was opened with, for as long as an engine
    /// stands still; returns whether it goes on.
    fn is_whole_in_time(&self) -> bool {
        let end = Instant::now() + STALL;
        while self.lacks_member() {
            if Instant::now() > end {
                lock(&self.state).group["state"] = json!("broken");
                self.publish();
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Returns whether a member has left the group or was started again since it opened.
    fn lacks_member(&self) -> bool {
        let state = lock(&self.state);
        let is_missing = |(id, then): &(String, Value)| {
            let now = self.entry_of(id, &state);
            now["born"] != then["born"] || !is_in(&now, &state.group)
        };
        state.group["state"] == "open" && state.opened_with.iter().any(is_missing)
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let is_closed = |it: &State| self.service == "models" && it.group["state"] != "open";
        let turns_away = {
            let state = lock(&self.state);
            state.is_full || is_closed(&state)
        };
        if turns_away || (self.service == "models" && !self.is_whole_in_time()) {
            let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            answer(stream, 503, &headers, "turned away");
            return;
        }
        let (breaks, is_mute) = {
            let mut state = lock(&self.state);
            state.ran.push(attempt.clone());
            let breaks = state.breaks_streams > 0;
            state.breaks_streams = state.breaks_streams.saturating_sub(1);
            (breaks, state.is_mute)
        };
        if is_mute {
            while lock(&self.state).is_mute {
                thread::sleep(Duration::from_millis(50));
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        assert_eq!(request.header("Tenant"), Some("t1"));
        assert_eq!(request.header("Authorization"), None);
        let headers = format!("Attempt-Id: {attempt}\r\nServer-Seal: {}\r\n", self.id);
        if self.service != "models" {
            answer(stream, 200, &headers, "the whole body");
            return;
        }
        let after = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{headers}\r\n");
        let _ = stream.write_all(head.as_bytes());
        for id in after + 1..=EVENTS {
            thread::sleep(lock(&self.state).event_pause);
            if !self.is_whole_in_time() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            let event = format!("id: {id}\ndata: token\n\n");
            let event = if breaks && id == 3 { &event[..6] } else { &event };
            let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            if breaks && id == 3 {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// Returns whether a server is a member of a group, or of a later incarnation of it.
fn is_in(entry: &Value, group: &Value) -> bool {
    let own = &entry["group"];
    own["name"] == group["name"] && own["epoch"].as_u64() >= group["epoch"].as_u64()
}
