//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mangocross_http::HttpMethod;
use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;
use mangocross_types::Revision;
use peer_store::Entry;
use serde::Deserialize;
use serde::Serialize;

use crate::FaultControl;
use crate::control::lock;
use crate::control::pause;

/// Largest value, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;
/// Time until status 500 is sent in place of an answer, in milliseconds.
const LOST_ANSWER_MS: u64 = 30_000;
/// Requests handled concurrently, including pending watches.
const IN_FLIGHT_MAX: usize = 4096;

/// Faults of the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Answers every call with status 503 and does not execute it.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Executes writes and sends status 500 after 30 s.
    pub lose_write_answers: bool,
    /// Executes writes and answers them with an error that does not tell the outcome.
    pub garble_write_answers: bool,
    /// Executes no call, and sends status 500 after 30 s.
    pub frozen: bool,
}

/// A running store.
pub struct StoreStandin {
    server: HttpServer,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    data: Mutex<Data>,
    changed: Condvar,
    faults: FaultControl<StoreFaults>,
}

#[derive(Default)]
struct Data {
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
    keys: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct PutBody {
    value: String,
    expected_revision: Revision,
    #[serde(default)]
    lease_id: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct LeaseBody {
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct LeaseAnswer {
    lease_id: u64,
}

#[derive(Debug, Serialize)]
struct PutAnswer {
    revision: Revision,
}

#[derive(Debug, Serialize)]
struct ConflictAnswer {
    current: Option<Entry>,
}

#[derive(Debug, Serialize)]
struct ListAnswer {
    entries: Vec<Entry>,
}

impl StoreStandin {
    /// Binds an address and serves an empty store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        let limits = ServerLimits::default()
            .body_bytes_max(8 * VALUE_BYTES_MAX)
            .in_flight_max(IN_FLIGHT_MAX);
        let server = HttpServer::bind(
            address,
            limits,
            move |it| shared.serve(it),
            |it| it.respond(503, &[], b"too many calls".to_vec()),
        )?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault switches and counts.
    pub fn faults(&self) -> &FaultControl<StoreFaults> {
        &self.state.faults
    }
}

impl State {
    fn serve(&self, request: ServerRequest) {
        let Some(request) = self.faults.answer_control_request(request) else { return };
        let faults = self.faults.get();
        pause(faults.delay_ms);
        if faults.frozen {
            return pause(LOST_ANSWER_MS);
        }
        if faults.down {
            return request.respond(503, &[], b"the store is down".to_vec());
        }
        let path = request.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Some(HttpMethod::Get), ["v1", "kv"]) => self.list(request),
            (Some(HttpMethod::Get), ["v1", "kv", key]) => self.get(request, &decode(key)),
            (Some(HttpMethod::Put), ["v1", "kv", key]) => self.put(request, &decode(key), &faults),
            (Some(HttpMethod::Delete), ["v1", "kv", key]) => self.delete(request, &decode(key)),
            (Some(HttpMethod::Get), ["v1", "watch", key]) => self.watch(request, &decode(key)),
            (Some(HttpMethod::Post), ["v1", "leases"]) => self.grant(request),
            (Some(HttpMethod::Post), ["v1", "leases", id, "renew"]) => self.renew(request, id),
            (Some(HttpMethod::Delete), ["v1", "leases", id]) => self.revoke(request, id),
            _ => request.respond(404, &[], b"no such call".to_vec()),
        }
    }

    fn get(&self, request: ServerRequest, key: &str) {
        self.faults.increment("reads");
        let entry = self.lock_data().entries.get(key).cloned();
        match entry {
            Some(entry) => request.respond_json(200, &entry),
            None => request.respond(404, &[], Vec::new()),
        }
    }

    fn list(&self, request: ServerRequest) {
        self.faults.increment("reads");
        let prefix = decode(request.parameter("prefix").unwrap_or_default());
        let data = self.lock_data();
        let entries = data.entries.values().filter(|it| it.key.starts_with(&prefix));
        let entries = entries.cloned().collect();
        drop(data);
        request.respond_json(200, &ListAnswer { entries });
    }

    fn put(&self, mut request: ServerRequest, key: &str, faults: &StoreFaults) {
        self.faults.increment("writes");
        let body: PutBody = match request.read_json() {
            Ok(body) => body,
            Err(error) => return request.respond(400, &[], error.to_string().into_bytes()),
        };
        if body.value.len() > VALUE_BYTES_MAX {
            return request.respond(413, &[], b"the value is larger than a megabyte".to_vec());
        }
        let outcome = self.lock_data().put(key, body);
        self.changed.notify_all();
        if faults.lose_write_answers {
            return pause(LOST_ANSWER_MS);
        }
        if faults.garble_write_answers {
            return request.respond(500, &[], b"?".to_vec());
        }
        match outcome {
            Ok(revision) => request.respond_json(200, &PutAnswer { revision }),
            Err(current) => {
                self.faults.increment("conflicts");
                request.respond_json(409, &ConflictAnswer { current });
            }
        }
    }

    fn delete(&self, request: ServerRequest, key: &str) {
        self.faults.increment("writes");
        let expected = number_parameter(&request, "expected_revision");
        let mut data = self.lock_data();
        let current = data.entries.get(key).cloned();
        if current.as_ref().map_or(0, |it| it.revision.0) != expected {
            drop(data);
            return request.respond_json(409, &ConflictAnswer { current });
        }
        data.entries.remove(key);
        drop(data);
        self.changed.notify_all();
        request.respond(200, &[], Vec::new());
    }

    fn watch(&self, request: ServerRequest, key: &str) {
        self.faults.increment("watches");
        let after = Revision(number_parameter(&request, "after_revision"));
        let limit = Duration::from_millis(number_parameter(&request, "timeout_ms"));
        let deadline = Instant::now() + limit;
        let mut data = self.lock_data();
        loop {
            let entry = data.entries.get(key).filter(|it| it.revision > after).cloned();
            if let Some(entry) = entry {
                drop(data);
                return request.respond_json(200, &entry);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                drop(data);
                return request.respond(204, &[], Vec::new());
            }
            let waited = self.changed.wait_timeout(data, remaining);
            data = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    fn grant(&self, mut request: ServerRequest) {
        self.faults.increment("writes");
        let ttl_ms = match request.read_json::<LeaseBody>() {
            Ok(body) => body.ttl_ms,
            Err(error) => return request.respond(400, &[], error.to_string().into_bytes()),
        };
        let mut data = self.lock_data();
        data.last_lease_id += 1;
        let lease_id = data.last_lease_id;
        let ttl = Duration::from_millis(ttl_ms);
        let lease = Lease { ttl, expires_at: Instant::now() + ttl, keys: Vec::new() };
        data.leases.insert(lease_id, lease);
        drop(data);
        request.respond_json(200, &LeaseAnswer { lease_id });
    }

    fn renew(&self, request: ServerRequest, id: &str) {
        self.faults.increment("writes");
        let lease_id: u64 = id.parse().unwrap_or_default();
        let mut data = self.lock_data();
        let renewed =
            data.leases.get_mut(&lease_id).map(|it| it.expires_at = Instant::now() + it.ttl);
        drop(data);
        match renewed {
            Some(()) => request.respond_json(200, &LeaseAnswer { lease_id }),
            None => request.respond(404, &[], Vec::new()),
        }
    }

    fn revoke(&self, request: ServerRequest, id: &str) {
        self.faults.increment("writes");
        let lease_id: u64 = id.parse().unwrap_or_default();
        if let Some(lease) = self.lock_data().leases.get_mut(&lease_id) {
            lease.expires_at = Instant::now();
        }
        // Locking removes the expired lease and its entries.
        drop(self.lock_data());
        self.changed.notify_all();
        request.respond(200, &[], Vec::new());
    }

    /// Locks the data after removing expired leases and their entries.
    fn lock_data(&self) -> std::sync::MutexGuard<'_, Data> {
        let mut data = lock(&self.data);
        data.remove_expired(Instant::now());
        data
    }
}

impl Data {
    fn put(&mut self, key: &str, body: PutBody) -> Result<Revision, Option<Entry>> {
        let current = self.entries.get(key).cloned();
        if current.as_ref().map_or(Revision(0), |it| it.revision) != body.expected_revision {
            return Err(current);
        }
        if let Some(lease_id) = body.lease_id {
            let lease = self.leases.get_mut(&lease_id).ok_or(current)?;
            lease.keys.push(key.to_owned());
        }
        self.revision = Revision(self.revision.0 + 1);
        let entry = Entry { key: key.to_owned(), value: body.value, revision: self.revision };
        self.entries.insert(key.to_owned(), entry);
        Ok(self.revision)
    }

    fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, it)| it.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            for key in self.leases.remove(&id).map(|it| it.keys).unwrap_or_default() {
                self.entries.remove(&key);
            }
        }
    }
}

fn number_parameter(request: &ServerRequest, name: &str) -> u64 {
    request.parameter(name).and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Decodes a percent-encoded path segment or query value.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = rest.next().and_then(|it| char::from(it).to_digit(16)).unwrap_or_default();
        let low = rest.next().and_then(|it| char::from(it).to_digit(16)).unwrap_or_default();
        bytes.push((high * 16 + low) as u8);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
