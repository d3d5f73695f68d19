//! Stand-in of the platform's store: keys, leases, watches, and the entries of the workers.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::util::Json;
use crate::util::Request;
use crate::util::answer;
use crate::util::from_base64;
use crate::util::to_base64;

/// Stands in an entry for the worker's address, which differs for each entry VM.
pub const ADDRESS_MARK: &str = "@ADDRESS@";

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = State { revision: 10, next_lease: 100, ..State::default() };
        let this = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let expiring = Arc::clone(&this);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|it| it.1.0 < now).map(|it| *it.0);
                let ended: Vec<u64> = ended.collect();
                ended.into_iter().for_each(|it| state.end(it));
                drop(state);
                expiring.changed.notify_all();
            }
        });
        this
    }

    /// Serves one entry VM, which finds the worker `ID` at `addresses[ID]`.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, addresses: BTreeMap<String, String>) {
        let (this, addresses) = (Arc::clone(self), Arc::new(addresses));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (this, addresses) = (Arc::clone(&this), Arc::clone(&addresses));
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    while let Some(request) = Request::read(&mut stream) {
                        thread::sleep(Duration::from_millis(4));
                        if !this.call(&request, &mut stream, &addresses) {
                            return;
                        }
                    }
                });
            }
        });
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.items.get(key).map(|it| String::from_utf8_lossy(&it.value).into_owned())
    }

    fn call(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        addresses: &BTreeMap<String, String>,
    ) -> bool {
        let (status, body) = match request.path() {
            "/-/kv-range" => {
                let (prefix, after) = (request.query("path_prefix"), request.query("after_rev"));
                let state = self.state.lock().unwrap();
                let items = state.items.iter();
                let found = items.filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after);
                let found = found.map(|(key, it)| item(key, it, addresses));
                let entries: Vec<String> = found.collect();
                let (entries, revision) = (entries.join(","), state.revision);
                (200, format!(r#"{{"entries":[{entries}],"has_more":false,"store_revision":{revision}}}"#))
            }
            "/-/kv-watch" => (200, self.watch(request, addresses)),
            "/-/kv-txn" => {
                let written = self.state.lock().unwrap().write(&request.body, addresses);
                self.changed.notify_all();
                written
            }
            "/-/kv-lease" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(1000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let (lease, time) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (Instant::now() + time, time));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            path => {
                let id = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let is_renewal = path.starts_with("/-/kv-keep/");
                let found = state.leases.get_mut(&id);
                let is_found = found.map(|it| it.0 = Instant::now() + it.1).is_some();
                if !is_renewal {
                    state.end(id);
                }
                drop(state);
                self.changed.notify_all();
                (if is_renewal && !is_found { 404 } else { 200 }, "{}".to_owned())
            }
        };
        answer(stream, status, "Store-Era: 1\r\nContent-Type: application/json\r\n", &body)
    }

    fn watch(&self, request: &Request, addresses: &BTreeMap<String, String>) -> String {
        let prefix = request.query("path_prefix");
        let after: u64 = request.query("after_rev").parse().unwrap_or(0);
        let wait_ms = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let later = state.history.iter().filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events: Vec<String> = later
                .map(|(revision, key, value)| match value {
                    Some(value) => {
                        let value = value.clone();
                        item(key, &Item { value, revision: *revision, lease: 0 }, addresses)
                    }
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|it| lease != 0 && it.1.lease == lease);
        let keys: Vec<String> = keys.map(|it| it.0.clone()).collect();
        keys.iter().for_each(|it| self.remove(it));
    }

    fn write(&mut self, body: &[u8], addresses: &BTreeMap<String, String>) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let expected = body.get("expected").list();
        let present = |row: &Json| self.items.get(row.get("key").text());
        let fits = |row: &Json| {
            present(row).map_or(0, |it| it.revision) == row.get("revision").number().unwrap_or(0)
        };
        if !expected.iter().all(fits) {
            let row = |row: &Json| match present(row) {
                Some(it) => item(row.get("key").text(), it, addresses),
                None => format!(r#"{{"key":"{}","revision":0}}"#, row.get("key").text()),
            };
            let rows: Vec<String> = expected.iter().map(row).collect();
            return (412, format!(r#"{{"entries":[{}]}}"#, rows.join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|it| lease(it) != 0 && !self.leases.contains_key(&lease(it))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = from_base64(put.get("value").text());
            self.put(put.get("key").text(), value, lease(put));
        }
        body.get("delete_keys").list().iter().for_each(|it| self.remove(it.text()));
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

fn item(key: &str, item: &Item, addresses: &BTreeMap<String, String>) -> String {
    let Item { value, revision, lease } = item;
    let value = match key.strip_prefix("servers/").and_then(|it| addresses.get(it)) {
        Some(address) => {
            to_base64(String::from_utf8_lossy(value).replace(ADDRESS_MARK, address).as_bytes())
        }
        None => to_base64(value),
    };
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{revision},"lease":{lease}}}"#)
}
