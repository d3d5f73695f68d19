//! Requests to a service with servers in more than one zone.

use std::process::Stdio;

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::wait_until;

const REQUESTS: usize = 20;

/// Sends requests that may run once. Others are sent to a second server if the first is slow.
fn book(front: &Front, count: usize) {
    for it in 0..count {
        let headers = CALLER_HEADERS.replace("a1", &format!("booking-{it}"));
        front.call("POST", "/booking/x", &headers, "{}");
    }
}

fn bookings(server: &Server) -> usize {
    server.ran().iter().filter(|it| it.starts_with("booking-")).count()
}

/// Starts a front and two servers of a plain service, the second one in another zone.
fn start() -> (Store, Front, Server, Server) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| {
        it["services"][0]["engine"]["delays"] = json!([
            {"from": "zone-a", "target_version": "zone-b", "delay_ms": 0.5},
            {"from": 7},
        ]);
    });
    let (near, far) =
        (Server::spawn(&store, "r1", "records"), Server::spawn(&store, "r2", "records"));
    let mut entry = store.read("servers/r2").expect("an entry");
    entry["zone"] = json!("zone-b");
    store.put("servers/r2", &entry);
    let front = Front::spawn(&store, 60_000, Stdio::null());
    front.wait_for_status(200, "/lookup/x", CALLER_HEADERS);
    (store, front, near, far)
}

/// Guards against traffic between zones while the servers of the own zone are enough, and against
/// requests that stay in a zone without servers.
#[test]
fn requests_leave_the_zone_once_it_has_no_server() {
    let (store, front, near, far) = start();
    book(&front, REQUESTS);
    assert_eq!(bookings(&far), 0, "{}", front.metrics());
    assert!(bookings(&near) == REQUESTS);
    let mut entry = store.read("servers/r1").expect("an entry");
    entry["state"] = json!("draining");
    store.put("servers/r1", &entry);
    wait_until("the other zone serves", || {
        book(&front, 1);
        bookings(&far) > 0
    });
    book(&front, REQUESTS);
    assert!(bookings(&far) > REQUESTS);
    let metrics = front.metrics();
    let has = |start: &str| metrics.lines().any(|it| it.starts_with(start));
    assert!(has(r#"front_left_zone_total{reason="no server"} "#), "{metrics}");
    assert!(has(r#"front_left_zone_bytes_total{reason="no server"} "#), "{metrics}");
}
