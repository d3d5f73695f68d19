//! Tests with versions of the configuration that cannot be read.

use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::has_metric;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::call;
use crate::platform::start_engines;
use crate::platform::start_plain;
use crate::platform::wait_until;
use crate::relays::follows_store;
use crate::relays::start_fleet_of;

const UNREADABLE: &str = "front_configuration_unreadable 1";
const READ: &str = "front_configuration_unreadable 0";

fn headers(key: &str) -> String {
    CALLER_HEADERS.replace("k1", key)
}

/// Returns bytes that are no configuration; all but the first two name a version.
fn unreadable(version: u64) -> Vec<Vec<u8>> {
    let without = |field: &str| {
        let mut document = json!({"version": version, "routes": [], "services": [], "tenants": []});
        document[field] = json!("another type");
        document
    };
    vec![
        vec![0xff; 64],
        b"{\"version\": 4, \"routes\": [".to_vec(),
        without("routes").to_string().into_bytes(),
        without("services").to_string().into_bytes(),
    ]
}

/// Checks that requests are refused as not run, with and without a key, on known and unknown routes.
fn assert_refused(front: &Front, servers: &[Server]) {
    let runs = || servers.iter().map(|it| it.ran().len()).sum::<usize>();
    let before = runs();
    for path in ["/lookup/x", "/booking/x", "/stream/x", "/public/x", "/new/x"] {
        let (status, head, body) = front.call("POST", path, &headers("k1"), "{}");
        assert_eq!(status, 503, "{path}: {body}");
        assert!(body.contains("not run") && head.contains("retry-after"), "{path}: {head} {body}");
    }
    assert_eq!(runs(), before, "a request has run");
    assert_eq!(call(front.ready, "GET", "/-/ready", "", "").0, 503, "it says that it is ready");
}

/// Adds a route that needs no key.
fn add_public_route(configuration: &mut Value) {
    let mut route = configuration["routes"][1].clone();
    (route["name"], route["path_prefix"]) = (json!("public"), json!("/public/"));
    route["public"] = json!(true);
    configuration["routes"].as_array_mut().expect("routes").push(route);
}

/// Guards against a key that stays in force since the version that takes it away cannot be read.
#[test]
fn version_that_cannot_be_read_confirms_no_older_one() {
    let (store, servers, front) = start_plain();
    for (number, text) in unreadable(5).into_iter().enumerate() {
        let version = 10 * (number as u64 + 1);
        store.configure_with(version, &["k1"], add_public_route);
        let in_use = format!("front_configuration_version {version}");
        wait_until("it is read", || has_metric(&front, READ) && has_metric(&front, &in_use));
        assert_eq!(front.call("POST", "/lookup/x", &headers("k1"), "{}").0, 200);
        store.configure_bytes(text);
        wait_until("it is not read", || has_metric(&front, UNREADABLE));
        assert_refused(&front, &servers);
        // Later reads of all keys change nothing.
        store.compact();
        thread::sleep(Duration::from_millis(300));
        assert_refused(&front, &servers);
        store.configure_with(version + 1, &["k2"], add_public_route);
        front.wait_for_status(200, "/lookup/x", &headers("k2"));
        assert_eq!(front.call("POST", "/lookup/x", &headers("k1"), "{}").0, 401);
    }
}

/// Guards against entry VMs that learn of such a version from a relay and serve on.
#[test]
fn followers_of_relays_serve_no_older_version_either() {
    let (store, servers, fronts) = start_fleet_of(|it| Front::spawn_logged(it, 60_000, 1.0));
    assert!(fronts.iter().any(|it| !follows_store(it)));
    store.configure_bytes(b"{".to_vec());
    wait_until("none can read it", || fronts.iter().all(|it| has_metric(it, UNREADABLE)));
    for front in &fronts {
        assert_refused(front, &servers);
    }
    store.configure(9, &["k1"]);
    for front in &fronts {
        front.wait_for_status(200, "/lookup/x", &headers("k1"));
    }
}

/// Guards against a process that starts beside such a version and takes its lack for an empty list.
#[test]
fn process_that_starts_beside_such_a_version_refuses() {
    let store = Store::spawn();
    store.configure_bytes(b"{}".to_vec());
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    let front = Front::spawn_logged(store.address, 60_000, 1.0);
    wait_until("it is not read", || has_metric(&front, UNREADABLE));
    assert_refused(&front, &servers);
    store.configure(3, &["k1"]);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
}

/// Guards against an older version that is confirmed since the store came back from a copy with it.
#[test]
fn copy_of_the_store_with_an_older_version_confirms_nothing() {
    let (store, servers, front) = start_plain();
    thread::sleep(Duration::from_millis(1600));
    let text = unreadable(5).pop().expect("a text");
    store.configure_bytes(text);
    wait_until("it is not read", || has_metric(&front, UNREADABLE));
    let never = Duration::from_secs(3600);
    store.return_to_copy(Duration::from_millis(1500), Duration::from_millis(300), never);
    assert_eq!(store.era(), 2);
    thread::sleep(Duration::from_millis(3000));
    assert_refused(&front, &servers);
    store.configure(6, &["k1"]);
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
}

/// Returns the statuses of requests on all routes with a key.
fn statuses(front: &Front, key: &str) -> [u16; 2] {
    ["/lookup/x", "/booking/x"].map(|path| front.call("POST", path, &headers(key), "{}").0)
}

/// Guards against the loss of all service over one part that cannot be read, and against a refusal that
/// says that the part does not exist.
#[test]
fn part_that_cannot_be_read_costs_no_other() {
    type Change = fn(&mut Value);
    let unreadable_route: Change = |it| it["routes"][2]["kind"] = json!("exactly_once");
    // Its servers are there and would answer.
    let unreadable_service: Change = |it| it["services"][1]["max_conns"] = json!("many");
    let unreadable_customer: Change = |it| {
        let other = json!({"name": "t2", "api_keys": ["k2"], "priority": "first"});
        it["tenants"].as_array_mut().expect("customers").push(other);
    };
    let unreadable_limits: Change = |it| it["limits"] = json!({"max_body_bytes": "few"});
    let cases = [
        (unreadable_route, [200, 503], [401, 503]),
        (unreadable_service, [503, 503], [401, 401]),
        (unreadable_customer, [200, 200], [503, 503]),
        (unreadable_limits, [200, 200], [401, 401]),
    ];
    let (store, _servers, front) = start_plain();
    for (number, (change, with_key, with_other_key)) in cases.into_iter().enumerate() {
        let version = 10 + number as u64;
        store.configure_with(version, &["k1"], change);
        let in_use = format!("front_configuration_version {version}");
        wait_until("it is in force", || has_metric(&front, &in_use));
        assert!(has_metric(&front, "front_configuration_unreadable_parts 1"), "{number}");
        assert_eq!(statuses(&front, "k1"), with_key, "{number}");
        assert_eq!(statuses(&front, "k2"), with_other_key, "{number}");
        let (status, _, _) = front.call("POST", "/other/x", &headers("k1"), "{}");
        assert_eq!(status, 404, "{number}");
        assert_eq!(call(front.ready, "GET", "/-/ready", "", "").0, 200, "{number}");
    }
}

/// Returns the paths of all numbers in a document, but for its version.
fn numbers(document: &Value, path: &str) -> Vec<String> {
    match document {
        Value::Number(_) if path != "/version" => vec![path.to_owned()],
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items.flat_map(|(at, it)| numbers(it, &format!("{path}/{at}"))).collect()
        }
        Value::Object(fields) => {
            fields.iter().flat_map(|(name, it)| numbers(it, &format!("{path}/{name}"))).collect()
        }
        _ => Vec::new(),
    }
}

/// Adds the numbers that the usual configuration of the tests lacks.
fn add_numbers(configuration: &mut Value) {
    configuration["limits"] = json!({"max_header_bytes": 16384, "max_body_bytes": 65536,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000});
    configuration["tenants"][0]["priority"] = json!(1);
    configuration["services"][1] =
        json!({"name": "records", "max_conns": 96, "cold_start_s": 2, "cold_per_s": 500.0});
    configuration["services"][0]["engine"]["per_seq_ms"] = json!(0.1);
    configuration["services"][0]["engine"]["models"][0]["pace"] = json!(1.0);
    let split = json!([{"service": "records", "weight": 9}, {"service": "records", "weight": 1}]);
    configuration["routes"][1]["traffic_split"] = split;
}

/// Guards against a process that ends since a number of the configuration is far from the usual.
#[test]
fn no_number_of_the_configuration_ends_the_process() {
    let (store, _engines, front) = start_engines();
    let _plain = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    let mut version = 10;
    let mut paths = Vec::new();
    store.configure_with(version, &["k1"], |it| {
        add_numbers(it);
        paths = numbers(it, "");
    });
    assert!(paths.len() > 30, "{paths:?}");
    for path in &paths {
        for number in [json!(0), json!(u64::MAX), json!(1e300), json!(1e-300), json!(1e9)] {
            version += 1;
            store.configure_with(version, &["k1"], |it| {
                add_numbers(it);
                *it.pointer_mut(path).expect("a number") = number.clone();
            });
            let in_use = format!("front_configuration_version {version}");
            wait_until(&format!("{path}: {number} is in force"), || has_metric(&front, &in_use));
            let case = format!("{path}: {number}");
            assert!(has_metric(&front, "front_configuration_unreadable_parts 0"), "{case}");
            for request in ["/stream/x", "/lookup/x", "/booking/x"] {
                // Some are refused, such as with a timeout of zero.
                let headers = format!("{CALLER_HEADERS}Deadline-Ms: 300\r\n");
                let (status, _, _) = front.call("POST", request, &headers, "{}");
                assert!(status != 0, "{case}: no answer on {request}");
            }
        }
    }
    store.configure(version + 1, &["k1"]);
    for request in ["/stream/x", "/lookup/x", "/booking/x"] {
        front.wait_for_status(200, request, CALLER_HEADERS);
    }
}
