//! Tests with entries that another writer left among those of the servers.

use serde_json::Value;
use serde_json::json;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::Store;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;

/// Depth at which a parser without a limit exhausts its stack.
const DEPTH: usize = 20_000;
/// Odd entries that are written at once.
const ENTRIES: usize = 500;

fn headers(attempt: &str) -> String {
    CALLER_HEADERS.replace("a1", attempt)
}

/// Returns a complete entry with one field replaced by JSON text.
fn entry_with(service: &str, field: &str, text: &str) -> String {
    let mut entry = json!({"service": service, "address": "127.0.0.1:1", "zone": "zone-a", "slots": 4,
        "state": "ready", "seq": 1, "born": 1000, "models": [], "domain": "d0", "staged": [],
        "group": {"name": "g1", "epoch": 1, "rank": 0, "state": "ready"}});
    entry[field] = Value::from("REPLACED");
    entry.to_string().replace("\"REPLACED\"", text)
}

/// Returns entries with values that are nested too deeply, too large or out of range.
fn odd_entries(service: &str) -> Vec<Vec<u8>> {
    let entry_with = |field: &str, text: &str| entry_with(service, field, text);
    let arrays = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let epoch = |it: &str| format!(r#"{{"name":"g1","epoch":{it},"rank":0,"state":"ready"}}"#);
    let mut texts = vec![arrays.clone(), objects.clone(), String::new(), "null".to_owned()];
    for field in ["service", "domain", "models", "staged", "group", "other"] {
        texts.extend([&arrays, &objects].map(|it| entry_with(field, it.as_str())));
    }
    for field in ["domain", "seq", "other"] {
        texts.push(entry_with(field, "1e400"));
    }
    for field in ["slots", "born"] {
        texts.extend(["1e400", "-1", "18446744073709551616"].map(|it| entry_with(field, it)));
    }
    for port in ["0", "65536", "-1", "99999999999999999999"] {
        texts.push(entry_with("address", &format!("\"127.0.0.1:{port}\"")));
    }
    for number in ["18446744073709551615", "18446744073709551614", "1e300"] {
        texts.push(entry_with("group", &epoch(number)));
    }
    texts.into_iter().map(String::into_bytes).chain([vec![0xff; 64], vec![0; 64]]).collect()
}

fn write_all(store: &Store, service: &str) -> usize {
    let odd = odd_entries(service);
    for (number, entry) in odd.iter().enumerate() {
        store.put_bytes(&format!("servers/odd-{number}"), entry.clone());
    }
    store.put_bytes(&format!("servers/{}", "x".repeat(190)), odd[0].clone());
    store.put_bytes("servers/ä ö", odd[1].clone());
    odd.len()
}

/// Guards against entry VMs that end, or stop following the store, at an entry of another writer.
#[test]
fn odd_entries_are_left_out_and_the_store_is_followed() {
    let (store, servers, front) = start_plain();
    let (pid, odd) = (front.pid(), write_all(&store, "records"));
    for number in odd..ENTRIES {
        store.put(&format!("servers/odd-{number}"), &json!({"service": 7}));
    }
    store.configure(4, &["k1", "k2"]);
    wait_for_metric(&front, "front_configuration_version 4");
    wait_for_metric(&front, "front_backend_servers 2");
    for number in 0..20 {
        let (status, _, body) =
            front.call("POST", "/booking/x", &headers(&format!("b{number}")), "{}");
        assert_eq!(status, 200, "{body}");
    }
    assert!(servers.iter().any(|it| !it.ran().is_empty()));
    // All keys are read anew.
    store.compact();
    store.configure(5, &["k1"]);
    wait_for_metric(&front, "front_configuration_version 5");
    assert!(has_metric(&front, "front_backend_servers 2"));
    assert_eq!(front.pid(), pid);
    assert!(!front.process_state().contains("ended"), "{}", front.process_state());
}

/// Guards against requests to a server whose entry another writer has overwritten.
#[test]
fn server_whose_entry_turns_odd_is_used_again_once_it_is_sound() {
    let (store, [first, second], front) = start_plain();
    for odd in odd_entries("records") {
        first.publish_again();
        wait_for_metric(&front, "front_backend_servers 2");
        store.put_bytes("servers/r1", odd);
        wait_for_metric(&front, "front_backend_servers 1");
    }
    let before = first.arrived().len();
    for number in 0..10 {
        let attempt = format!("odd-{number}");
        assert_eq!(front.call("POST", "/booking/x", &headers(&attempt), "{}").0, 200);
    }
    assert_eq!(first.arrived().len(), before);
    assert!(!second.arrived().is_empty());
    first.publish_again();
    wait_for_metric(&front, "front_backend_servers 2");
    wait_until("the server is used again", || {
        front.call("POST", "/lookup/x", &headers("again"), "{}");
        first.arrived().len() > before
    });
}

/// Guards against groups that no server joins any more, since an entry names a formation beyond all
/// others.
#[test]
fn groups_are_formed_beside_entries_of_another_writer() {
    let (store, engines, front) = start_engines();
    write_all(&store, "models");
    let head = engines.iter().find(|it| it.is_open()).expect("a head");
    let group = head.group();
    head.set_leaving(true);
    wait_until("the head's group is dissolved", || head.group() != group);
    head.set_leaving(false);
    head.restart();
    wait_until("two groups serve again", || {
        let open = has_metric(&front, r#"front_groups{state="open"} 2"#);
        open && front.call("POST", "/stream/x", &headers("s"), "{}").0 == 200
    });
}
