//! Gateways learn from cache events which prefixes other gateways' requests have cached.

use std::collections::BTreeSet;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_tests::Answer;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use standins::EngineFaults;
use standins::EngineOptions;

const GROUPS: usize = 4;

fn question(text: &str) -> CallerRequest {
    CallerRequest::question("town", "draft", "letters", 2, text)
}

/// Returns a gateway's metric, or zero if it does not exist yet.
fn metric(cluster: &Cluster, node: u16, name: &str) -> u64 {
    let call = HttpCall::new(HttpMethod::Get, cluster.gateway(node), "/metrics");
    let text = HttpClient::open().call(call).unwrap().read_all(1 << 20).unwrap();
    let text = String::from_utf8(text).unwrap();
    let value = text.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |it| it.parse().expect("a number"))
}

fn group(answer: &Answer) -> String {
    assert!(answer.is_complete(), "{}", answer.body);
    answer.header("x-group").expect("a group").to_owned()
}

/// Starts four groups of one member and waits until both gateways use all of them.
fn start() -> Cluster {
    let options = |vm| EngineOptions { cached_prefixes_max: 2, ..EngineOptions::new(vm) };
    let cluster = ClusterBuilder::new(2, &[4]).engine_options(options).start();
    for number in 1..=GROUPS {
        let line = format!("start group letters-{number} model letters version v1 members 1");
        cluster.operate(0, &line).expect("the group is accepted");
    }
    for node in [0, 1] {
        cluster.wait_until("all groups have a health lease", || {
            metric(&cluster, node, "proofs_held") == GROUPS as u64
        });
    }
    cluster
}

#[test]
fn gateways_route_by_cache_events_of_other_gateways_and_tolerate_gaps() {
    let cluster = start();
    let first = group(&cluster.send_request(0, &question("flat 1")));
    // Only the first gateway has sent a request, so the second one learnt the prefix from events.
    cluster.wait_until("the second gateway applies the event", || {
        metric(&cluster, 1, "prefixes_told") > 0
    });
    assert_eq!(group(&cluster.send_request(1, &question("flat 1"))), first);
    assert_eq!(metric(&cluster, 1, r#"attempts_total{prefix="told"}"#), 1);
    assert_eq!(metric(&cluster, 1, "cache_event_gaps_total"), 0);
    // Events are lost and late from now on; answers stay complete, and gaps are detected.
    let faults = EngineFaults {
        cache_event_lose_each: 2,
        cache_event_lag_ms: 300,
        ..EngineFaults::default()
    };
    for engine in cluster.engines.values() {
        engine.faults().set(faults.clone());
    }
    let mut number = 0;
    cluster.wait_until("a gap is detected", || {
        number += 1;
        group(&cluster.send_request(0, &question(&format!("flat {number}"))));
        metric(&cluster, 1, "cache_event_gaps_total") > 0
    });
    // A restarted engine publishes a new epoch and is used again.
    let vm = cluster.engines.keys().next().expect("an engine").to_string();
    cluster.engine(&vm).restart_empty();
    let mut used = BTreeSet::new();
    cluster.wait_until("all groups are used", || {
        number += 1;
        used.insert(group(&cluster.send_request(1, &question(&format!("house {number}")))));
        used.len() == GROUPS
    });
}
