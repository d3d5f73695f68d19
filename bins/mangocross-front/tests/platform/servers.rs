//! Backend servers: engines that form groups, and a plain service.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::Request;
use super::Store;
use super::answer;
use super::listen;
use super::lock;

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
}

/// A backend server that keeps its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    id: String,
    service: String,
    store: Store,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Server {
    pub(crate) fn spawn(store: &Store, id: &str, service: &str) -> Self {
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
            address,
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

    /// Lets the next streams stop in the middle of an event.
    pub(crate) fn break_streams(&self, count: u32) {
        lock(&self.state).breaks_streams = count;
    }

    /// Lets requests run without an answer.
    pub(crate) fn mute(&self) {
        lock(&self.state).is_mute = true;
    }

    fn status(&self) -> Value {
        let state = lock(&self.state);
        let models: Vec<Value> =
            state.model.iter().map(|it| json!({"name": it, "version": 1})).collect();
        json!({"service": self.service, "address": self.address, "zone": "zone-a", "slots": 4,
            "state": "ready", "seq": state.orders, "born": 1000, "models": models,
            "domain": if self.service == "models" { json!("d0") } else { Value::Null },
            "staged": state.model.iter().collect::<Vec<_>>(), "group": state.group})
    }

    fn publish(&self) {
        self.store.put(&format!("servers/{}", self.id), &self.status());
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) {
        match request.target.as_str() {
            "/-/report" => answer(stream, 200, "", &self.status().to_string()),
            "/-/order" => self.order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) {
        let order: Value = serde_json::from_slice(&request.body).expect("JSON");
        {
            let mut state = lock(&self.state);
            if order["expected"].as_u64() != Some(state.orders) {
                answer(stream, 409, "", "");
                return;
            }
            state.orders += 1;
            match order["operation"].as_str() {
                Some("join") => {
                    let members = order["members"].as_array().cloned().unwrap_or_default();
                    let rank = members.iter().position(|it| *it == json!(self.id));
                    state.model = order["model"].as_str().map(str::to_owned);
                    state.group = json!({"name": order["group"], "epoch": order["epoch"],
                        "rank": rank, "state": "ready"});
                }
                Some("open") => state.group["state"] = json!("open"),
                Some("leave") => state.group = Value::Null,
                Some("stage") => state.model = order["model"].as_str().map(str::to_owned),
                _ => {}
            }
        }
        answer(stream, 202, "", "");
        self.publish();
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let (breaks, is_mute) = {
            let mut state = lock(&self.state);
            state.ran.push(attempt.clone());
            let breaks = state.breaks_streams > 0;
            state.breaks_streams = state.breaks_streams.saturating_sub(1);
            (breaks, state.is_mute)
        };
        if is_mute {
            thread::sleep(Duration::from_secs(60));
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
