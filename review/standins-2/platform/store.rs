//! The platform's store, as its page tells it, without faults of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::answer;
use crate::http::listen;
use crate::json::Json;
use crate::json::base64;
use crate::json::unbase64;

#[derive(Debug, Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    history_keys: Vec<String>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    is_silent: bool,
}

/// Addresses of links by the addresses of the servers behind them.
pub type Links = Vec<(SocketAddr, SocketAddr)>;

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, shown(key, &item)));
        self.history_keys.push(key.to_owned());
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
            self.history.push((revision, event));
            self.history_keys.push(key.to_owned());
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let bound = self.items.iter().filter(|(_, it)| it.lease == id && id != 0);
        let keys: Vec<String> = bound.map(|it| it.0.clone()).collect();
        keys.iter().for_each(|it| self.remove(it));
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|it| it.1.1 < now).map(|it| *it.0).collect();
        ended.into_iter().for_each(|it| { self.end_lease(it); });
    }
}

fn shown(key: &str, it: &Item) -> String {
    let Item { value, revision, created, lease } = it;
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{created},"lease":{lease}}}"#)
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let served = Arc::clone(&state);
        let address = listen(address, move |request, stream| serve(&served, request, stream, &Mutex::default()));
        Self { state, address }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what the operator or a server writes.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
    }

    /// Listens at an address of its own for a machine whose way to the servers leads over links.
    pub fn enter_through(&self, links: Arc<Mutex<Links>>) -> Self {
        let served = Arc::clone(&self.state);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = listen(address, move |request, stream| serve(&served, request, stream, &links));
        Self { state: Arc::clone(&self.state), address }
    }

    #[allow(dead_code)]
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Sets whether the store leaves all calls unanswered.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }
}

/// Replaces the addresses of servers in an answer by those of their links.
fn through_links(body: String, links: &Links) -> String {
    const VALUE: &str = "\"value\":\"";
    if links.is_empty() {
        return body;
    }
    let mut out = String::new();
    let mut rest = body.as_str();
    while let Some(at) = rest.find(VALUE) {
        let (before, value) = rest.split_at(at + VALUE.len());
        let end = value.find('"').unwrap_or(value.len());
        let mut text = String::from_utf8_lossy(&unbase64(&value[..end])).into_owned();
        for (server, link) in links {
            text = text.replace(&format!("\"{server}\""), &format!("\"{link}\""));
        }
        out.push_str(before);
        out.push_str(&base64(text.as_bytes()));
        rest = &value[end..];
    }
    out + rest
}

fn serve(state: &Mutex<State>, request: &Request, stream: &mut TcpStream, links: &Mutex<Links>) -> bool {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    // A call that gets no answer is not carried out here.
    while lock().is_silent {
        thread::sleep(Duration::from_millis(20));
    }
    lock().expire();
    let path = request.target.split('?').next().unwrap_or_default();
    let (status, body) = match path {
        "/-/kv-range" => {
            let (prefix, after) = (request.query("path_prefix"), request.query("after_rev"));
            let state = lock();
            let items = state.items.iter().filter(|it| it.0.starts_with(&prefix) && *it.0 > after);
            let entries: Vec<String> = items.map(|(key, it)| shown(key, it)).collect();
            let (page, revision) = (entries.iter().take(500), state.revision);
            let page: Vec<&str> = page.map(String::as_str).collect();
            let (has_more, page) = (entries.len() > page.len(), page.join(","));
            (200, format!(r#"{{"entries":[{page}],"has_more":{has_more},"store_revision":{revision}}}"#))
        }
        "/-/kv-watch" => {
            let after: u64 = request.query("after_rev").parse().unwrap_or(0);
            let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
            let (prefix, end) = (request.query("path_prefix"), Instant::now() + Duration::from_millis(wait));
            loop {
                let mut state = lock();
                state.expire();
                let all = state.history.iter().zip(&state.history_keys);
                let later = all.filter(|(it, key)| it.0 > after && key.starts_with(&prefix));
                let events: Vec<&str> = later.map(|it| it.0.1.as_str()).collect();
                if !state.is_silent && (!events.is_empty() || Instant::now() >= end) {
                    let (events, revision) = (events.join(","), state.revision);
                    break (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
                }
                drop(state);
                thread::sleep(Duration::from_millis(5));
            }
        }
        "/-/kv-txn" => write(&mut lock(), &String::from_utf8_lossy(&request.body)),
        "/-/kv-lease" => {
            let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            let ttl_ms = body.get("ttl_ms").number().clamp(1000, 600_000);
            let time = Duration::from_millis(ttl_ms);
            let mut state = lock();
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (time, Instant::now() + time));
            (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
        }
        _ => {
            let id: u64 = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
            let mut state = lock();
            let is_known = match path.starts_with("/-/kv-keep/") {
                true => state.leases.get_mut(&id).map(|it| it.1 = Instant::now() + it.0).is_some(),
                false => state.end_lease(id),
            };
            (if is_known { 200 } else { 404 }, "{}".to_owned())
        }
    };
    let body = match path {
        "/-/kv-range" | "/-/kv-watch" => {
            through_links(body, &links.lock().unwrap_or_else(PoisonError::into_inner))
        }
        _ => body,
    };
    answer(stream, status, "Content-Type: application/json\r\nStore-Era: 1\r\n", &body)
}

fn write(state: &mut State, body: &str) -> (u16, String) {
    let body = Json::parse(body).unwrap_or(Json::Null);
    let revision = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
    let rows = body.get("expected").list();
    if rows.iter().any(|it| revision(state, it.get("key").text()) != it.get("revision").number()) {
        let present = |it: &Json| {
            let key = it.get("key").text();
            let absent = || format!(r#"{{"key":"{key}","revision":0}}"#);
            state.items.get(key).map_or_else(absent, |it| shown(key, it))
        };
        let entries: Vec<String> = rows.iter().map(present).collect();
        return (412, format!(r#"{{"entries":[{}]}}"#, entries.join(",")));
    }
    let puts = body.get("puts").list();
    let mut leases = puts.iter().map(|it| it.get("lease").number()).filter(|it| *it != 0);
    if leases.any(|it| !state.leases.contains_key(&it)) {
        return (404, "{}".to_owned());
    }
    body.get("delete_keys").list().iter().for_each(|it| state.remove(it.text()));
    for it in puts {
        state.put(it.get("key").text(), it.get("value").text().to_owned(), it.get("lease").number());
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}
