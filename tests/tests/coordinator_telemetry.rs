//! Metrics and spans record what a coordinator did, also during faults.

use std::net::UdpSocket;
use std::time::Duration;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_operator::OperatorRequest;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::new_key;
use serde_json::Value;
use standins::EngineFaults;
use standins::StoreFaults;

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const OPERATOR_SPAN_ID: &str = "00f067aa0ba902b7";
const START: &str = "start group letters-1 model letters version v1 members 2";
/// Longest wait for the answer to a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(40);

fn draft() -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", 4, true)
}

fn metrics(cluster: &Cluster) -> String {
    let call = HttpCall::new(HttpMethod::Get, cluster.operator(0), "/metrics");
    let text = HttpClient::open().call(call).unwrap().read_all(1 << 20).unwrap();
    String::from_utf8(text).unwrap()
}

/// Returns a metric, or zero if it does not exist yet.
fn metric(cluster: &Cluster, name: &str) -> u64 {
    let text = metrics(cluster);
    let value = text.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |it| it.parse().expect("a number"))
}

fn spans(cluster: &Cluster, name: &str) -> Vec<Value> {
    let log = cluster.coordinators[0].logged();
    let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    lines.filter(|it| it["span"] == name).collect()
}

#[test]
fn metrics_report_a_lost_member_an_outage_and_a_damaged_poll() {
    let cluster = ClusterBuilder::new(1, &[3]).start();
    cluster.start_group(START, 0, &draft());
    let reaches = |name: &str, least: u64| {
        cluster.wait_until(name, || metric(&cluster, name) >= least);
    };
    for name in [
        r#"groups{state="complete"}"#,
        r#"groups_formed_total{cause="new"}"#,
        r#"orders_total{kind="load",result="taken"}"#,
        r#"probes_total{result="answered"}"#,
        r#"store_calls_total{kind="compare_and_swap",outcome="written"}"#,
        r#"operator_requests_total{code="0"}"#,
        "domains_owned",
        "takeovers_total",
        "established",
    ] {
        reaches(name, 1);
    }
    let member = cluster.engines.values().find(|it| it.faults().count("loads") > 0);
    member.unwrap().faults().set(EngineFaults { dead: true, ..EngineFaults::default() });
    reaches(r#"groups_formed_total{cause="repair"}"#, 1);
    reaches(r#"groups{state="complete"}"#, 1);
    let failed = |it: &str| it.starts_with("probes_total{") && !it.contains("answered");
    assert!(metrics(&cluster).lines().any(failed), "{}", metrics(&cluster));
    let outage = StoreFaults { down: true, ..StoreFaults::default() };
    cluster.store.faults().set(outage);
    reaches(r#"store_calls_total{kind="watch",outcome="unavailable"}"#, 1);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(b"no frame", cluster.coordinator(0)).unwrap();
    reaches(r#"frames_dropped_total{of="poll",reason="short"}"#, 1);
}

#[test]
fn spans_of_a_command_join_the_operators_trace() {
    let cluster = ClusterBuilder::new(1, &[2]).start();
    let request = OperatorRequest {
        command_id: "c-1".parse().expect("a valid id"),
        text: START.to_owned(),
        configuration: None,
        based_on: None,
        dry_run: false,
    };
    let traceparent = format!("00-{TRACE_ID}-{OPERATOR_SPAN_ID}-01");
    let call = HttpCall::new(HttpMethod::Post, cluster.operator(0), "/v1/operator");
    // A command waits until its change is in force, which takes a few polls.
    let timeouts = HttpTimeouts::default().idle(COMMAND_TIMEOUT).total(COMMAND_TIMEOUT);
    let call = call.json(&request).header("traceparent", &traceparent).timeouts(timeouts);
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
    cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
    let of_trace = |name: &str| {
        spans(&cluster, name).into_iter().filter(|it| it["trace_id"] == TRACE_ID).collect()
    };
    cluster.wait_until("the command's span is written", || {
        let spans: Vec<Value> = of_trace("operator_request");
        !spans.is_empty()
    });
    let command: Vec<Value> = of_trace("operator_request");
    assert_eq!(command[0]["parent_span_id"], OPERATOR_SPAN_ID);
    let steps: Vec<Value> = of_trace("store_call");
    let writes = |it: &&Value| it["attributes"]["kind"] == "compare_and_swap";
    let write = steps.iter().find(writes).expect("the write of the configuration");
    for step in [write, &of_trace("in_force_wait")[0]] {
        assert_eq!(step["parent_span_id"], command[0]["span_id"], "{step}");
    }
    let load = |it: &Value| it["attributes"]["kind"] == "load";
    cluster.wait_until("the order's span is written", || spans(&cluster, "order").iter().any(load));
    cluster.wait_until("the probe that saw the engine ready is written", || {
        spans(&cluster, "probe").iter().any(|it| it["attributes"]["state"] == "ready")
    });
}

#[test]
fn claims_are_counted_by_outcome() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    let claim = CallerRequest::service("town", "claim", "registry/claims", "flat")
        .header("idempotency-key", &new_key("flat"));
    for _ in 0..2 {
        assert_eq!(cluster.send_request(0, &claim).status, 200);
    }
    let call = HttpCall::new(HttpMethod::Get, cluster.gateway(0), "/metrics");
    let text = HttpClient::open().call(call).unwrap().read_all(1 << 20).unwrap();
    let text = String::from_utf8(text).unwrap();
    for value in [
        r#"claims_total{outcome="granted"} 1"#,
        r#"claims_total{outcome="ran_before"} 1"#,
        r#"claim_store_calls_total{kind="write",outcome="ok"} 2"#,
    ] {
        assert!(text.contains(value), "{value} is missing in:\n{text}");
    }
}
