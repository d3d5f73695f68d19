//! Plays one case of the review: starts the stand-ins and the program, and judges what was seen.
//!
//! Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod front;
mod http;
mod json;
mod link;
mod record;
mod server;
mod store;

mod counted_streams;
mod failed_calls;
mod passed_on;
mod soak;
mod unread;
mod unsealed;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::front::Call;
use crate::front::Front;
use crate::http::Answer;
use crate::link::Cut;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

/// A small deployment.
pub struct Site {
    pub store: Store,
    pub record: Record,
    pub desk: Vec<Server>,
    pub engines: Vec<Server>,
    pub fronts: Vec<Front>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// A claim, which may run once only.
pub const CLAIM: Call<'_> =
    Call { method: "POST", path: "/claims/new", attempt: "warm-claim", deadline_ms: 3000, key: "key-1", headers: "", body: "claim" };
/// A draft, which is streamed and may be resumed.
pub const DRAFT: Call<'_> = Call {
    method: "POST",
    path: "/drafts/new",
    attempt: "warm-draft",
    deadline_ms: 6000,
    key: "key-1",
    headers: "Model: m0\r\nToken-Count: 200,72\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:160\r\n",
    body: "draft",
};
/// A letter, which is streamed and may not be resumed.
pub const LETTER: Call<'_> = Call { path: "/letters/new", attempt: "warm-letter", ..DRAFT };

impl Site {
    /// Starts `fronts` entry VMs, three servers of the application and four engines.
    pub fn start(record: &str, fronts: u8) -> Self {
        Self::start_linked(record, fronts, None)
    }

    /// Like `start`; the first entry VM is started again later, and reaches the servers over links.
    pub fn start_linked(record: &str, fronts: u8, cut: Option<&Cut>) -> Self {
        let record = Record::create(record);
        let folder = std::env::var("REVIEW_FOLDER").unwrap_or_else(|_| http::quit("REVIEW_FOLDER is not set"));
        let store = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)));
        store.put("op/config", &configuration(1, &["key-1", "key-2"]));
        let zone = |it: usize| if it % 2 == 0 { "zone-a" } else { "zone-b" };
        let desk = (0..3).map(|it| Server::start(&store, &record, &format!("i-desk{it}"), "desk", zone(it)));
        let desk: Vec<Server> = desk.collect();
        let engines = (0..4).map(|it| Server::start(&store, &record, &format!("i-llm{it}"), "llm", zone(it)));
        let engines: Vec<Server> = engines.collect();
        let host = front::free_host();
        let first = u8::from(cut.is_some()) + 1;
        let start = |store: &Store, number| Front::start(store, &folder, host, number, number >= first);
        let fronts: Vec<Front> = (first..=fronts).map(|it| start(&store, it)).collect();
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let mut this = Self { store, record, desk, engines, fronts, has_trouble };
        this.fronts.iter().for_each(|it| it.warm(&this.record));
        if let Some(cut) = cut {
            // The others tell each other of entries that change, with their own addresses of the servers;
            // from here on none does.
            thread::sleep(Duration::from_secs(2));
            let servers = this.desk.iter().chain(&this.engines).map(|it| it.address);
            let links = servers.map(|it| (it, cut.link_to(it))).collect();
            let linked = this.store.enter_through(Arc::new(Mutex::new(links)));
            let front = start(&linked, 1);
            front.warm(&this.record);
            this.fronts.insert(0, front);
        }
        this.record.add(if this.has_trouble { "with the disruption" } else { "without the disruption" });
        this
    }

    /// Sends requests from several clients at a time until a moment; returns what they got.
    pub fn send_until(&self, call: &Call<'_>, clients: usize, end: Instant) -> Vec<(String, Answer)> {
        let front = &self.fronts[0];
        let kind = call.path.split('/').nth(1).unwrap_or_default();
        let send = &|client: usize| {
            let mut got = Vec::new();
            while Instant::now() < end {
                let attempt = format!("{kind}-{client}-{}", got.len());
                got.push((attempt.clone(), front.call(&self.record, &Call { attempt: &attempt, ..*call })));
            }
            got
        };
        thread::scope(|scope| {
            let started: Vec<_> = (0..clients).map(|it| scope.spawn(move || send(it))).collect();
            started.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
        })
    }

    /// Returns a head, which answers about half of the streams.
    pub fn head(&self) -> &Server {
        self.engines.iter().find(|it| it.is_open()).unwrap_or_else(|| http::quit("no open group"))
    }

    /// Records the verdict; returns the exit code.
    pub fn judge(&self, rule: &str, broken: &[String]) -> i32 {
        broken.iter().for_each(|it| self.record.add(&format!("{rule}: {it}")));
        let verdict = if broken.is_empty() { "held" } else { "broken" };
        self.record.add(&format!("{rule} {verdict}"));
        println!("{rule} {verdict}: {} times", broken.len());
        i32::from(!broken.is_empty())
    }
}

/// Returns a configuration of the operator's.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-claims","host":"site.example","path_prefix":"/claims/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}},
{{"name":"r-status","host":"site.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false}},
{{"name":"r-drafts","host":"site.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":6000,"target_latency_ms":250,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":200}},
{{"name":"r-letters","host":"site.example","path_prefix":"/letters/","kind":"streaming","timeout_ms":6000,"target_latency_ms":250,"priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":200}}],
"services":[{{"name":"llm","health_path":"/health","max_conns":384,"protocol":"h1","tls":false,"engine":{{"slots":8,"kv_capacity_tokens":2470000,"kv_token_bytes":35136,"link_mbps":400000.0,"stride":6,
"models":[{{"name":"m0","size":2,"share":1.0,"pace":1.0,"load_s":0.4,"warm_s":0.2}}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,
"report_lag_ms":200.0,"loads_per_s":5.5,"loads_at_once":8,"delays":[],"usual":{{"prompt":200,"answer":72}},"keeps":1,"far_x":4.0,"form_ms":50.0}}}},
{{"name":"desk","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"hule930","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else { http::quit("usage: review-2 CASE RECORD") };
    http::watch_time();
    let code = match case.as_str() {
        "unsealed" => unsealed::play(record),
        "counted-streams" => counted_streams::play(record),
        "passed-on" => passed_on::play(record),
        "unread" => unread::play(record),
        "soak" => soak::play(record),
        "failed-calls" => failed_calls::play(record),
        _ => http::quit("no such case"),
    };
    std::process::exit(code);
}
