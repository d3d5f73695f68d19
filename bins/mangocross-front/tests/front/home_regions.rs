//! Tests with requests that must not leave their home regions.

use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::restrict_to;
use crate::platform::wait_for_metric;

/// Number of requests that are sent to find that none reaches another region.
const REQUESTS: usize = 40;

/// Starts servers in two regions and an entry VM, which prefers the first one, with a change to the configuration.
fn start(change: impl FnOnce(&mut serde_json::Value)) -> (Store, [Server; 2], Front) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], change);
    let servers = ["r1", "r2"].map(|it| Server::spawn(&store, it, "records"));
    servers[1].set_zone("zone-b");
    let front = Front::spawn_changed(store.address, |it| {
        it["region"] = json!("north");
        it["zones"] = json!({"zone-a": "north", "zone-b": "south"});
    });
    front.wait_for_status(200, "/booking/x", CALLER_HEADERS);
    wait_for_metric(&front, "front_backend_servers 2");
    (store, servers, front)
}

fn send(front: &Front) -> Vec<u16> {
    (0..REQUESTS).map(|_| front.call("POST", "/lookup/x", CALLER_HEADERS, "{}").0).collect()
}

/// Guards against requests of a restricted route in another region, also when none is left at home.
#[test]
fn requests_of_a_restricted_route_stay_in_their_region() {
    let (_store, [other, home], front) = start(|it| restrict_to(&mut it["routes"][1], &["south"]));
    let (at_home, elsewhere) = (home.arrivals().len(), other.arrivals().len());
    assert_eq!(send(&front), [200; REQUESTS]);
    assert_eq!(other.arrivals().len(), elsewhere);
    assert!(home.arrivals().len() >= at_home + REQUESTS);
    home.unlist();
    wait_for_metric(&front, "front_backend_servers 1");
    let (status, _, body) = front.call("POST", "/lookup/x", CALLER_HEADERS, "{}");
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not run"), "{body}");
    assert_eq!(other.arrivals().len(), elsewhere, "a request left its region");
}

/// Guards against requests in a region that the customer or the route alone allows.
#[test]
fn restrictions_of_customer_and_route_both_apply() {
    let (_store, [other, _home], front) = start(|it| {
        restrict_to(&mut it["routes"][1], &["north", "south"]);
        restrict_to(&mut it["tenants"][0], &["south"]);
    });
    assert_eq!(send(&front), [200; REQUESTS]);
    assert!(other.arrivals().is_empty(), "a request left its region");
}
