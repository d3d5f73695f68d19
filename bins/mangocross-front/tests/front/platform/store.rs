//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::Request;
use super::answer;
use super::configuration;
use super::listen;
use super::lock;

/// Maximum number of changes in the answer to a watch.
const CHANGES_MAX: usize = 500;

#[derive(Debug, Default)]
struct State {
    /// Returns to an older copy so far, told in all answers.
    era: u64,
    revision: u64,
    /// When the present era began, unless it is the first one.
    era_began_at: Option<Instant>,
    /// All changes of this era and of the copy that it began with, never compacted.
    journal: Vec<JournalEntry>,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<Value>,
    /// Revision up to which the history is gone.
    compacted: u64,
    next_lease: u64,
    leases: BTreeMap<u64, Lease>,
    is_silent: bool,
    /// Whether all calls are answered with status 503.
    is_refusing: bool,
    /// Delay of each answer to a watch.
    watch_delay: Duration,
    /// Delay of each answer to a range, which shows the keys as they were when the call came.
    range_delay: Duration,
    /// Number of calls by path without `/-/kv-`, including refused ones.
    calls: BTreeMap<String, usize>,
    /// Number of changes in the answers to all watches.
    changes_sent: usize,
    /// Pairs of a server and the name and incarnation of a group in which it was ready.
    memberships: BTreeSet<(String, String)>,
    /// Servers whose process does not run, whatever their entries say.
    down: BTreeSet<String>,
    late_writes: LateWrites,
}

/// Writes that are carried out late and not answered.
#[derive(Debug, Default)]
struct LateWrites {
    prefix: String,
    count: usize,
    delay: Duration,
}

/// A change of a key, from which an older copy is made.
#[derive(Debug, Clone)]
struct JournalEntry {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    value: Option<Vec<u8>>,
    /// Whether a lease removes the key.
    has_lease: bool,
}

#[derive(Debug)]
struct Lease {
    time: Duration,
    end: Instant,
    keys: Vec<String>,
}

/// The stand-in of the store, which serves at `address`.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    pub(crate) address: SocketAddr,
}

/// Another address of the store, for one entry VM.
#[derive(Debug)]
pub(crate) struct Entrance {
    pub(crate) address: SocketAddr,
    is_refusing_reads: Arc<AtomicBool>,
}

/// Addresses at which an entry VM finds servers, by the servers' own addresses.
pub(crate) type Links = BTreeMap<SocketAddr, SocketAddr>;

impl Entrance {
    /// Sets whether ranges and new watches are refused, while leases can be renewed.
    pub(crate) fn set_refusing_reads(&self, is_refusing: bool) {
        self.is_refusing_reads.store(is_refusing, Ordering::Relaxed);
    }
}

impl Store {
    pub(crate) fn spawn() -> Self {
        let state = Arc::new(Mutex::new(State { era: 1, ..State::default() }));
        let served = Arc::clone(&state);
        let address =
            listen(move |request, stream| serve(&served, &request, stream, &Links::new()));
        Self { state, address }
    }

    /// Serves at another address, too.
    pub(crate) fn open_entrance(&self) -> Entrance {
        self.open_entrance_with(Links::new())
    }

    /// Like `open_entrance`, with the addresses in servers' entries replaced by those of links.
    pub(crate) fn open_entrance_with(&self, links: Links) -> Entrance {
        let is_refusing_reads = Arc::new(AtomicBool::new(false));
        let (state, is_refusing) = (Arc::clone(&self.state), Arc::clone(&is_refusing_reads));
        let address = listen(move |request, stream| {
            let is_read =
                ["/-/kv-range", "/-/kv-watch"].iter().any(|it| request.target.starts_with(it));
            match is_read && is_refusing.load(Ordering::Relaxed) {
                true => answer(stream, 503, "", "{}"),
                false => serve(&state, &request, stream, &links),
            }
        });
        Entrance { address, is_refusing_reads }
    }

    /// Forgets the history, so that all watches end and all keys are to be read again.
    pub(crate) fn compact(&self) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns a value as text; `None` if the key is missing.
    pub(crate) fn text(&self, key: &str) -> Option<String> {
        let state = lock(&self.state);
        state.items.get(key).map(|(value, _)| String::from_utf8_lossy(value).into_owned())
    }

    /// Writes a value unconditionally and without a lease.
    pub(crate) fn put(&self, key: &str, value: &Value) {
        lock(&self.state).put(key, value.to_string().into_bytes());
    }

    /// Writes any bytes unconditionally and without a lease.
    pub(crate) fn put_bytes(&self, key: &str, value: Vec<u8>) {
        lock(&self.state).put(key, value);
    }

    /// Writes the operators' configuration, with these keys of a customer.
    pub(crate) fn configure(&self, version: u64, keys: &[&str]) {
        self.put("op/config", &configuration(version, keys));
    }

    /// Writes a configuration with changes to the usual one.
    pub(crate) fn configure_with(
        &self,
        version: u64,
        keys: &[&str],
        change: impl FnOnce(&mut Value),
    ) {
        let mut configuration = configuration(version, keys);
        change(&mut configuration);
        self.put("op/config", &configuration);
    }

    /// Writes a configuration with a limit on the time for which callers' connections are idle.
    pub(crate) fn configure_idle_timeout(&self, version: u64, keys: &[&str], limit: Duration) {
        self.configure_limits(version, keys, Duration::from_secs(3), limit);
    }

    /// Writes a configuration with limits on the time for which headers arrive, and for which
    /// callers' connections are idle.
    pub(crate) fn configure_limits(
        &self,
        version: u64,
        keys: &[&str],
        header_timeout: Duration,
        idle_timeout: Duration,
    ) {
        self.configure_with(version, keys, |it| {
            it["limits"] = json!({
                "max_header_bytes": 16384, "max_body_bytes": 65536,
                "header_timeout_ms": header_timeout.as_millis() as u64,
                "idle_timeout_ms": idle_timeout.as_millis() as u64,
            });
        });
    }

    pub(crate) fn remove(&self, key: &str) {
        lock(&self.state).remove(key);
    }

    /// Returns a value parsed as JSON; `None` if the key is missing or its value is not JSON.
    pub(crate) fn read(&self, key: &str) -> Option<Value> {
        serde_json::from_slice(&lock(&self.state).items.get(key)?.0).ok()
    }

    /// Returns whether a key exists.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        lock(&self.state).items.contains_key(key)
    }

    /// Records that a server was ready in a group.
    pub(crate) fn note_ready(&self, server: &str, group: &Value) {
        lock(&self.state).memberships.insert((server.to_owned(), membership_of(group)));
    }

    /// Records whether a server's process has ended.
    pub(crate) fn note_down(&self, server: &str, is_down: bool) {
        let mut state = lock(&self.state);
        match is_down {
            true => state.down.insert(server.to_owned()),
            false => state.down.remove(server),
        };
    }

    /// Returns whether a server's process has ended.
    pub(crate) fn is_down(&self, server: &str) -> bool {
        lock(&self.state).down.contains(server)
    }

    /// Returns whether a server was ever ready in a group.
    pub(crate) fn was_ready(&self, server: &str, group: &Value) -> bool {
        lock(&self.state).memberships.contains(&(server.to_owned(), membership_of(group)))
    }

    /// Sets the delay of each answer to a watch.
    pub(crate) fn set_watch_delay(&self, delay: Duration) {
        lock(&self.state).watch_delay = delay;
    }

    /// Sets the delay of each answer to a range, which shows the keys from before the delay.
    pub(crate) fn set_range_delay(&self, delay: Duration) {
        lock(&self.state).range_delay = delay;
    }

    /// Sets whether the store refuses all calls.
    pub(crate) fn set_refusing(&self, is_refusing: bool) {
        lock(&self.state).is_refusing = is_refusing;
    }

    /// Returns the number of calls to a path, given without `/-/kv-`.
    pub(crate) fn calls(&self, path: &str) -> usize {
        lock(&self.state).calls.get(path).copied().unwrap_or_default()
    }

    /// Returns the number of changes in the answers to all watches.
    pub(crate) fn changes_sent(&self) -> usize {
        lock(&self.state).changes_sent
    }

    /// Is silent for a while and comes back from a copy of this age, in the next era.
    ///
    /// All leases and their keys are gone. What operators and servers wrote since is written again
    /// `rewritten_after` the return.
    pub(crate) fn return_to_copy(
        &self,
        age: Duration,
        silence: Duration,
        rewritten_after: Duration,
    ) {
        let copied_at = Instant::now().checked_sub(age).expect("a moment after the boot");
        self.set_silent(true);
        thread::sleep(silence);
        let lost = lock(&self.state).return_to_copy(copied_at);
        let state = Arc::clone(&self.state);
        thread::spawn(move || {
            thread::sleep(rewritten_after);
            lock(&state).rewrite(lost);
        });
    }

    /// Returns the number of the present era.
    pub(crate) fn era(&self) -> u64 {
        lock(&self.state).era
    }

    /// Carries out the next writes of keys with a prefix late, and does not answer them.
    pub(crate) fn delay_writes(&self, prefix: &str, count: usize, delay: Duration) {
        lock(&self.state).late_writes = LateWrites { prefix: prefix.to_owned(), count, delay };
    }

    /// Ends the lease that a key is bound to.
    pub(crate) fn end_lease_of(&self, key: &str) {
        let mut state = lock(&self.state);
        let is_bound = |it: &Lease| it.keys.iter().any(|it| it == key);
        let lease = state.leases.iter().find(|(_, it)| is_bound(it)).map(|(id, _)| *id);
        state.end(lease.expect("a lease"));
    }

    /// Sets whether the store leaves all calls unanswered.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        lock(&self.state).is_silent = is_silent;
    }
}

impl State {
    /// Returns to the copy of a moment; returns the keys of others that differed from it.
    fn return_to_copy(&mut self, copied_at: Instant) -> Vec<(String, Option<Vec<u8>>)> {
        self.journal.retain(|it| it.at <= copied_at);
        self.revision = self.journal.last().map_or(0, |it| it.revision);
        let mut items = BTreeMap::new();
        for it in &self.journal {
            match &it.value {
                Some(value) if !it.has_lease => {
                    items.insert(it.key.clone(), (value.clone(), it.revision));
                }
                _ => drop(items.remove(&it.key)),
            }
        }
        let is_of_others = |key: &&String| key.starts_with("op/") || key.starts_with("servers/");
        let keys: BTreeSet<&String> = self.items.keys().chain(items.keys()).collect();
        let value = |items: &BTreeMap<String, (Vec<u8>, u64)>, key: &String| {
            items.get(key).map(|(value, _)| value.clone())
        };
        let is_lost = |key: &&String| value(&self.items, key) != value(&items, key);
        let lost = keys.into_iter().filter(is_of_others).filter(is_lost);
        let lost = lost.map(|key| (key.clone(), value(&self.items, key))).collect();
        self.history.retain(|it| it["revision"].as_u64() <= Some(self.revision));
        self.compacted = self.compacted.min(self.revision);
        self.items = items;
        self.leases.clear();
        self.next_lease = 0;
        self.era += 1;
        self.era_began_at = Some(Instant::now());
        self.is_silent = false;
        lost
    }

    /// Writes keys again that were lost, unless they have been written since.
    fn rewrite(&mut self, lost: Vec<(String, Option<Vec<u8>>)>) {
        let era_began_at = self.era_began_at;
        for (key, value) in lost {
            let is_written = |it: &JournalEntry| it.key == key && Some(it.at) > era_began_at;
            if self.journal.iter().any(is_written) {
                continue;
            }
            match value {
                Some(value) => self.put(&key, value),
                None => self.remove(&key),
            }
        }
    }

    fn record(&mut self, key: &str, value: Option<Vec<u8>>) {
        let (at, revision) = (Instant::now(), self.revision);
        let entry = JournalEntry { at, revision, key: key.to_owned(), value, has_lease: false };
        self.journal.push(entry);
    }

    fn remove(&mut self, key: &str) {
        self.items.remove(key);
        self.revision += 1;
        self.record(key, None);
        let event = json!({"key": key, "revision": self.revision, "removed": true});
        self.history.push(event);
    }

    /// Ends leases that were not renewed in time and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, it)| it.end < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end(id);
        }
    }

    fn end(&mut self, lease: u64) {
        let keys = self.leases.remove(&lease).map(|it| it.keys).unwrap_or_default();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn grant(&mut self, time: Duration) -> u64 {
        self.next_lease += 1;
        let lease = Lease { time, end: Instant::now() + time, keys: Vec::new() };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Returns whether the lease had not ended.
    fn renew(&mut self, lease: u64) -> bool {
        let Some(found) = self.leases.get_mut(&lease) else { return false };
        found.end = Instant::now() + found.time;
        true
    }

    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.record(key, Some(value.clone()));
        let event = item(key, &value, self.revision);
        self.items.insert(key.to_owned(), (value, self.revision));
        self.history.push(event);
    }
}

fn membership_of(group: &Value) -> String {
    format!("{} {}", group["name"], group["epoch"])
}

fn item(key: &str, value: &[u8], revision: u64) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "create_rev": revision, "lease": 0})
}

fn query(request: &Request, name: &str) -> String {
    let pairs = request.target.split_once('?').map(|it| it.1).unwrap_or_default();
    let found = pairs.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
    found.map(|it| it.1.to_owned()).unwrap_or_default()
}

/// Writes an answer that tells the era.
fn answer_in(era: u64, stream: &mut TcpStream, status: u16, body: &str) {
    answer(stream, status, &format!("Store-Era: {era}\r\n"), body);
}

/// Returns an item or an event with the address of a server replaced by that of its link.
fn through_links(mut item: Value, links: &Links) -> Value {
    let replaced = || {
        let value = STANDARD.decode(item["value"].as_str()?).ok()?;
        let mut entry: Value = serde_json::from_slice(&value).ok()?;
        let link = links.get(&entry["address"].as_str()?.parse().ok()?)?;
        entry["address"] = json!(link);
        Some(STANDARD.encode(entry.to_string()))
    };
    if let Some(value) = replaced() {
        item["value"] = json!(value);
    }
    item
}

fn serve(state: &Mutex<State>, request: &Request, stream: &mut TcpStream, links: &Links) {
    while lock(state).is_silent {
        thread::sleep(Duration::from_millis(20));
    }
    let path = request.target.split('?').next().unwrap_or_default();
    let is_refused = {
        let mut state = lock(state);
        state.expire();
        let name = path.strip_prefix("/-/kv-").unwrap_or(path);
        *state.calls.entry(name.to_owned()).or_default() += 1;
        state.is_refusing
    };
    if is_refused {
        answer_in(lock(state).era, stream, 503, "{}");
        return;
    }
    match path {
        "/-/kv-range" => {
            let prefix = query(request, "path_prefix");
            let state = lock(state);
            let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
            let entries = items.map(|(key, it)| through_links(item(key, &it.0, it.1), links));
            let entries: Vec<Value> = entries.collect();
            let body =
                json!({"entries": entries, "has_more": false, "store_revision": state.revision});
            let (era, delay) = (state.era, state.range_delay);
            drop(state);
            thread::sleep(delay);
            answer_in(era, stream, 200, &body.to_string());
        }
        "/-/kv-watch" => watch(state, request, stream, links),
        "/-/kv-txn" => match take_delay(state, request) {
            Some(delay) => {
                thread::sleep(delay);
                write(&mut lock(state), request);
            }
            None => {
                let mut state = lock(state);
                let (status, body) = write(&mut state, request);
                answer_in(state.era, stream, status, &body);
            }
        },
        "/-/kv-lease" => {
            let body: Value = serde_json::from_slice(&request.body).expect("JSON");
            let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1000);
            let mut state = lock(state);
            let lease = state.grant(Duration::from_millis(ttl_ms));
            let body = json!({"lease": lease, "ttl_ms": ttl_ms}).to_string();
            answer_in(state.era, stream, 200, &body);
        }
        _ => {
            let id = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or_default();
            let is_renewal = path.starts_with("/-/kv-keep/");
            let mut state = lock(state);
            let is_found = is_renewal && state.renew(id);
            if !is_renewal {
                state.end(id);
            }
            let status = if is_renewal && !is_found { 404 } else { 200 };
            answer_in(state.era, stream, status, "{}");
        }
    }
}

fn watch(state: &Mutex<State>, request: &Request, stream: &mut TcpStream, links: &Links) {
    let after: u64 = query(request, "after_rev").parse().unwrap_or_default();
    let wait_ms = query(request, "wait_ms").parse().unwrap_or_default();
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let delay = lock(state).watch_delay;
    thread::sleep(delay);
    loop {
        let mut state = lock(state);
        state.expire();
        if after < state.compacted || after > state.revision {
            answer_in(state.era, stream, 410, "{}");
            return;
        }
        let is_later = |it: &&Value| it["revision"].as_u64() > Some(after);
        let later = state.history.iter().filter(is_later);
        let events: Vec<Value> = later.take(CHANGES_MAX).cloned().collect();
        if !state.is_silent && (!events.is_empty() || Instant::now() >= end) {
            state.changes_sent += events.len();
            // The next watch after a truncated answer continues from its last change.
            let last = events.last().and_then(|it| it["revision"].as_u64());
            let revision = last.unwrap_or(state.revision);
            let events: Vec<Value> =
                events.into_iter().map(|it| through_links(it, links)).collect();
            let body = json!({"events": events, "store_revision": revision});
            answer_in(state.era, stream, 200, &body.to_string());
            return;
        }
        drop(state);
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the delay after which a write is carried out without an answer.
fn take_delay(state: &Mutex<State>, request: &Request) -> Option<Duration> {
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    let puts = body["puts"].as_array()?;
    let mut state = lock(state);
    let late = &mut state.late_writes;
    let is_late = |it: &Value| it["key"].as_str().is_some_and(|it| it.starts_with(&late.prefix));
    if late.count == 0 || !puts.iter().any(is_late) {
        return None;
    }
    late.count -= 1;
    Some(late.delay)
}

/// Carries out a write; returns the status and body of its answer.
fn write(state: &mut State, request: &Request) -> (u16, String) {
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    state.expire();
    let rows = body["expected"].as_array().cloned().unwrap_or_default();
    let has_expected_revision = |row: &Value| {
        let key = row["key"].as_str().unwrap_or_default();
        state.items.get(key).map_or(0, |it| it.1) == row["revision"].as_u64().unwrap_or_default()
    };
    if !rows.iter().all(has_expected_revision) {
        let present = |row: &Value| {
            let key = row["key"].as_str().unwrap_or_default();
            let found = state.items.get(key);
            found.map_or(json!({"key": key, "revision": 0}), |it| item(key, &it.0, it.1))
        };
        let entries: Vec<Value> = rows.iter().map(present).collect();
        return (412, json!({"entries": entries}).to_string());
    }
    let puts = body["puts"].as_array().cloned().unwrap_or_default();
    let mut leases = puts.iter().filter_map(|it| it["lease"].as_u64()).filter(|it| *it != 0);
    if leases.any(|it| !state.leases.contains_key(&it)) {
        return (404, "{}".to_owned());
    }
    for key in body["delete_keys"].as_array().into_iter().flatten() {
        state.remove(key.as_str().unwrap_or_default());
    }
    for put in puts {
        let value = STANDARD.decode(put["value"].as_str().unwrap_or_default()).expect("base64");
        let key = put["key"].as_str().unwrap_or_default();
        state.put(key, value);
        let State { leases, journal, .. } = &mut *state;
        // A key is bound to the lease of its latest write.
        leases.values_mut().for_each(|it| it.keys.retain(|it| it != key));
        if let Some(lease) = put["lease"].as_u64().and_then(|it| leases.get_mut(&it)) {
            lease.keys.push(key.to_owned());
            journal.iter_mut().last().expect("the change").has_lease = true;
        }
    }
    (200, json!({"revision": state.revision}).to_string())
}
