//! Checks that each decision is logged with its inputs, their age or version, and the outcome.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;

use rustix::process::Signal;
use serde_json::Map;
use serde_json::Value;

use crate::platform;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Log messages and the required fields of each, besides time, level, process and VM.
const LOG_POINTS: [(&str, &[&str]); 19] = [
    ("started", &["version", "settings"]),
    ("callers served", &["in_progress", "connections"]),
    ("configuration in force", &["version", "replaced", "revision", "routes", "keys"]),
    ("backend server seen", &["server", "address", "service", "is_leaving", "revision"]),
    ("backend server unlisted", &["server", "is_after_outage", "revision"]),
    ("planner's key taken", &["revision"]),
    ("planner's term changed", &["is_planner"]),
    ("plan written", &["domain", "expected", "reasons", "revision"]),
    ("order given", &["server", "order", "orders_accepted", "outcome", "term"]),
    ("readiness changed", &["is_ready", "reason"]),
    ("stream sent", &["request", "identity", "server", "detail", "age_ms", "left_out"]),
    ("request sent", &["request", "identity", "server", "detail", "age_ms", "left_out"]),
    ("stream broke", &["request", "server", "detail", "age_ms", "left_out"]),
    ("stream resumed", &["request", "server", "detail", "age_ms", "left_out"]),
    ("store lost", &["error"]),
    ("store regained", &["away_ms"]),
    ("settings reloaded without a change", &[]),
    ("stopping", &["in_progress"]),
    ("stopped", &[]),
];
/// Required fields of a request's last line.
const FINAL_FIELDS: [&str; 11] = [
    "request",
    "identity",
    "route",
    "customer",
    "status",
    "code",
    "reason",
    "sent_to",
    "first_byte_ms",
    "age_ms",
    "configuration",
];

type Line = Map<String, Value>;

/// Runs one request of each kind, an outage of the store, a reload and a stop; returns the log.
fn run_scenario() -> Vec<Line> {
    let file = std::env::temp_dir().join(format!("mangocross-log-{}", std::process::id()));
    let log = File::create(&file).expect("a file for the log");
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let engines = ["e1", "e2", "e3", "e4"].map(|it| Server::spawn(&store, it, "models"));
    let plain_servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let mut front = Front::spawn(&store, 4_000, Stdio::from(log));
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    platform::call(front.ready, "GET", "/-/ready", "", "");
    for head in engines.iter().filter(|it| !it.ran().is_empty()) {
        head.break_streams(1);
    }
    front.wait_for_status(200, "/stream/x", &CALLER_HEADERS.replace("a1", "broken"));
    front.call("GET", "/nowhere/x", &CALLER_HEADERS.replace("a1", "no-route"), "");
    for it in &plain_servers {
        it.set_withholding_answers(true);
    }
    let booking =
        CALLER_HEADERS.replace("a1", "unknown").replace("Model", "Deadline-Ms: 400\r\nModel");
    front.call("POST", "/booking/x", &booking, "{}");
    for it in &plain_servers {
        it.set_withholding_answers(false);
    }
    store.set_silent(true);
    front.wait_for_status(503, "/lookup/x", &CALLER_HEADERS.replace("a1", "no-proof"));
    store.set_silent(false);
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("a1", "proof"));
    store.configure(4, &["k1", "k2"]);
    store.remove("servers/r1");
    front.wait_for_status(200, "/lookup/x", &CALLER_HEADERS.replace("k1", "k2"));
    front.signal(Signal::HUP);
    front.terminate();
    assert!(front.exited_successfully());
    read(&file)
}

fn read(file: &PathBuf) -> Vec<Line> {
    let text = std::fs::read_to_string(file).expect("the log");
    std::fs::remove_file(file).expect("the log is removed");
    let parse = |it: &str| serde_json::from_str(it).unwrap_or_else(|error| panic!("{error}: {it}"));
    text.lines().map(parse).collect()
}

fn message(line: &Line) -> &str {
    line["message"].as_str().unwrap_or_default()
}

#[test]
fn each_log_point_has_its_fields() {
    let lines = run_scenario();
    let mut fields: HashMap<&str, HashSet<&str>> = HashMap::new();
    for line in &lines {
        for name in ["time_unix_ms", "level", "process", "vm"] {
            assert!(line.contains_key(name) || message(line) == "started", "{name}: {line:?}");
        }
        fields.entry(message(line)).or_default().extend(line.keys().map(String::as_str));
    }
    for (point, wanted) in LOG_POINTS {
        let Some(found) = fields.get(point) else { panic!("no line has the message {point:?}") };
        let missing: Vec<&&str> = wanted.iter().filter(|it| !found.contains(**it)).collect();
        assert!(missing.is_empty(), "{point:?} lacks {missing:?}");
    }
    let last = |id: &str| {
        let is_last =
            |it: &&Line| it["message"].as_str().is_some_and(|it| it.starts_with("request "));
        let mut own = lines.iter().filter(|it| it.get("request").is_some_and(|it| it == id));
        own.rfind(|it| is_last(it) && message(it) != "request sent").expect("a last line")
    };
    let ends = [
        ("a1", "request served", 200, "answered"),
        ("broken", "request served", 200, "answered"),
        ("no-route", "request failed", 404, "no route"),
        ("unknown", "request failed", 504, "time is over"),
        ("no-proof", "request failed", 503, "configuration not proved fresh"),
    ];
    for (id, what, status, reason) in ends {
        let line = last(id);
        assert_eq!(
            (message(line), &line["status"], &line["reason"]),
            (what, &status.into(), &reason.into()),
            "{id}"
        );
        for name in FINAL_FIELDS {
            assert!(line.contains_key(name), "{id} lacks {name}");
        }
    }
    assert!(last("a1")["first_byte_ms"].is_u64());
    assert!(last("no-route")["first_byte_ms"].is_null());
}
