//! Tests with more streams than the only group can take.

use std::cell::RefCell;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::platform::CALLER_HEADERS;
use crate::platform::Front;
use crate::platform::Server;
use crate::platform::Store;
use crate::platform::wait_for_metric;
use crate::platform::wait_until;

/// Priority of the usual streaming route.
const STREAM_PRIORITY: u8 = 1;
/// Time that the callers wait.
const DEADLINE: Duration = Duration::from_secs(3);
/// Streams that are sent at a time to the first entry VM.
const CROWD: usize = 12;
/// Crowds after which streams would have been refused in favour of others.
const CROWDS_MAX: usize = 4;

/// Starts a group that completes a stream a second, with a second streaming route, and two entry VMs.
fn start(batch_priority: u8) -> (Store, Vec<Server>, [Front; 2]) {
    let store = Store::spawn();
    store.configure_with(3, &["k1"], |it| {
        let mut batch = it["routes"][0].clone();
        batch["name"] = json!("batch");
        batch["path_prefix"] = json!("/batch/");
        batch["priority"] = json!(batch_priority);
        it["routes"].as_array_mut().expect("routes").push(batch);
        let engine = &mut it["services"][0]["engine"];
        engine["step_ms"] = json!(10.0);
        engine["usual"] = json!({"prompt": 100, "answer": 400});
    });
    let engines = ["e1", "e2"].map(|it| Server::spawn(&store, it, "models"));
    engines.iter().for_each(|it| it.set_event_pause(Duration::from_millis(200)));
    let fronts = [(); 2].map(|()| Front::spawn_logged(store.address, 60_000, 1.0));
    for it in &fronts {
        it.wait_for_status(200, "/stream/x", CALLER_HEADERS);
        wait_for_metric(it, "front_entry_vms 2");
    }
    (store, engines.into(), fronts)
}

/// Sends a stream of the second route; returns status, head and body.
fn send_batch(front: &Front, attempt: &str) -> (u16, String, String) {
    let deadline = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
    let headers = CALLER_HEADERS.replace("a1", attempt) + &deadline;
    front.call("POST", "/batch/x", &headers, "{}")
}

/// Sends a crowd to the first entry VM and, meanwhile, a stream to the second; returns its answer.
fn send_crowd(fronts: &[Front; 2], round: usize) -> (u16, String, String) {
    thread::scope(|scope| {
        for it in 0..CROWD {
            scope.spawn(move || send_batch(&fronts[0], &format!("a-{round}-{it}")));
        }
        // Counts are exchanged every 100 ms.
        thread::sleep(Duration::from_millis(300));
        send_batch(&fronts[1], &format!("b-{round}"))
    })
}

fn not_admitted(front: &Front) -> Vec<Value> {
    let lines = front.log_lines().into_iter();
    lines.filter(|it| it["message"] == "stream not admitted").collect()
}

/// Guards against an entry VM that admits streams though another one has received more than the group
/// can take: it refuses them at once, says that they have not run, and when to come back.
#[test]
fn entry_vm_refuses_streams_by_the_demand_at_another_one() {
    let (_store, engines, fronts) = start(STREAM_PRIORITY + 1);
    let answers = RefCell::new(Vec::new());
    wait_until("a stream is refused by the demand at another entry VM", || {
        let round = answers.borrow().len();
        answers.borrow_mut().push(send_crowd(&fronts, round));
        not_admitted(&fronts[1]).iter().any(|it| it["source"] == "reports")
    });
    let refused = answers.into_inner().into_iter().filter(|it| it.0 == 503);
    for (_, head, body) in refused {
        assert!(body.contains("not run"), "{body}");
        let mut lines = head.lines().filter_map(|it| it.split_once(": "));
        let after = lines.find(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
        let after: f64 = after.and_then(|it| it.1.parse().ok()).expect("a time to come back");
        assert!(after <= DEADLINE.as_secs_f64() / 3.0, "{after}");
    }
    for line in fronts.iter().flat_map(not_admitted) {
        let attempt = line["request"].as_str().expect("an attempt");
        assert!(engines.iter().all(|it| !it.arrived().iter().any(|it| it == attempt)), "{line}");
        for field in ["ratio", "draw", "demand_per_s", "capacity_per_s", "counts_age_ms"] {
            assert!(line[field].is_number(), "{field}: {line}");
        }
    }
    let metrics = fronts[1].metrics();
    let counted =
        |it: &str| it.starts_with("front_not_admitted_total{") && it.contains("priority=\"2\"");
    assert!(metrics.lines().any(counted), "{metrics}");
}

/// Guards against a change for deployments that do not ask for it: few entry VMs, and the same priority
/// on all routes.
#[test]
fn streams_do_not_compete_where_all_routes_have_one_priority() {
    let (_store, _engines, fronts) = start(STREAM_PRIORITY);
    (0..CROWDS_MAX).for_each(|round| {
        send_crowd(&fronts, round);
    });
    assert!(fronts.iter().all(|it| not_admitted(it).is_empty()));
    let metrics = fronts[0].metrics();
    assert!(!metrics.contains("front_capacity_short"), "{metrics}");
}
