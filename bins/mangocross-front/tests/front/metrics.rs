//! Tests of the metrics endpoint.

use std::collections::HashMap;
use std::process::Stdio;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

#[test]
fn metrics_follow_the_text_format() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let _engines = ["e1", "e2", "e3", "e4"].map(|it| Server::spawn(&store, it, "models"));
    let _records = Server::spawn(&store, "r1", "records");
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    front.wait_for_status(404, "/nowhere/x", CALLER_HEADERS);
    let text = front.metrics();
    let mut types: HashMap<&str, &str> = HashMap::new();
    for line in text.lines() {
        if let Some(line) = line.strip_prefix("# TYPE ") {
            let (name, kind) = line.split_once(' ').expect("a name and a type");
            assert!(types.insert(name, kind).is_none(), "{name} twice");
            assert_eq!(kind == "counter", name.ends_with("_total"), "{line}");
        } else if !line.starts_with('#') {
            let name = line.split(['{', ' ']).next().unwrap_or_default();
            let of_histogram =
                ["_bucket", "_sum", "_count"].iter().find_map(|it| name.strip_suffix(it));
            let is_typed = types.contains_key(name)
                || of_histogram.is_some_and(|it| types.get(it) == Some(&"histogram"));
            assert!(is_typed, "no type before {line}");
            let value = line.rsplit(' ').next().unwrap_or_default();
            assert!(value.parse::<f64>().is_ok(), "{line}");
        }
    }
    let has = |line: &str| assert!(text.lines().any(|it| it == line), "{line} is not in\n{text}");
    has("front_configuration_version 3");
    has("front_backend_servers 5");
    has("front_entry_vms 1");
    has("front_requests_waiting 0");
    has(r#"front_groups{state="broken"} 0"#);
    has(r#"front_requests_total{code="1006",status="404"} 1"#);
    let starts = |start: &str| assert!(text.lines().any(|it| it.starts_with(start)), "{start}");
    starts(r#"front_groups{state="open"} "#);
    starts(r#"front_requests_total{code="0",status="200"} "#);
    starts(r#"front_retries_left{service="records"} "#);
    starts("front_requests_in_progress ");
    starts("front_configuration_age_seconds ");
    starts("front_first_byte_seconds_bucket{");
    starts(r#"front_store_call_seconds_count{call="watch",outcome="answered"} "#);
    starts(r#"front_store_call_seconds_count{call="lease",outcome="answered"} "#);
}
