//! Streams of a large fleet, whose entry VMs keep to few heads each.

use std::collections::BTreeSet;

use serde_json::json;

use crate::fleet::has_metric;
use crate::fleet::wait_until;
use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;

/// Number of entry VMs; counts travel through the planner.
const ENTRY_VMS: usize = 18;
/// Number of groups of one server each, more than a subset has heads.
const HEADS: usize = 9;
/// Number of heads in a subset.
const SUBSET: usize = 6;
const STREAMS: usize = 60;

fn heads_with_streams(engines: &[Server]) -> BTreeSet<usize> {
    (0..HEADS).filter(|it| !engines[*it].ran().is_empty()).collect()
}

/// Guards against streams that spread over all heads, so that no connection is used twice, and
/// against an entry VM that serves nothing once its subset is gone.
#[test]
fn entry_vm_keeps_to_its_subset_until_it_is_gone() {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| {
        it["services"][0]["engine"]["models"][0]["size"] = json!(1);
    });
    let engines: Vec<Server> =
        (0..HEADS).map(|it| Server::spawn(&store, &format!("e{it}"), "models")).collect();
    let fronts: Vec<Front> =
        (0..ENTRY_VMS).map(|_| Front::spawn_logged(store.address, 60_000, 1.0)).collect();
    let listed = format!("front_entry_vms {ENTRY_VMS}");
    wait_until("all are listed", || fronts.iter().all(|it| has_metric(it, &listed)));
    wait_until("all groups are open", || engines.iter().all(Server::is_open));
    let front = &fronts[0];
    let open = format!("front_groups{{state=\"open\"}} {HEADS}");
    wait_until("the entry VM knows the groups", || has_metric(front, &open));
    for it in 0..STREAMS {
        let headers = CALLER_HEADERS.replace("a1", &format!("stream-{it}"));
        assert_eq!(front.call("POST", "/stream/x", &headers, "{}").0, 200);
    }
    let subset = heads_with_streams(&engines);
    assert!((2..=SUBSET).contains(&subset.len()), "{subset:?}");
    subset.iter().for_each(|it| engines[*it].set_refusing(true));
    front.wait_for_status(200, "/stream/x", CALLER_HEADERS);
    assert!(heads_with_streams(&engines).len() > subset.len());
}
