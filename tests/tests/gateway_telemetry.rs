//! Metrics and spans record what happened to a request.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_types::Incarnation;
use mangocross_types::Priority;
use mangocross_types::TokenIndex;
use peer_engine::EngineClient;
use peer_engine::GenerateRequest;

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN_ID: &str = "00f067aa0ba902b7";

fn draft() -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", 4, true)
}

#[test]
fn metrics_and_spans_follow_a_request() {
    let cluster = ClusterBuilder::new(1, &[1]).start();
    let line = "start group letters-1 model letters version v1 members 1";
    cluster.start_group(line, 0, &draft());
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    assert!(cluster.send_request(0, &draft().header("traceparent", &traceparent)).is_complete());
    cluster.send_request(0, &CallerRequest::chat("nobody", "draft", "letters", 4, true));
    let call = HttpCall::new(HttpMethod::Get, cluster.gateway(0), "/metrics");
    let text = HttpClient::open().call(call).unwrap().read_all(1 << 20).unwrap();
    let text = String::from_utf8(text).unwrap();
    let answered = r#"requests_total{code="0",customer="town",kind="draft",outcome="ran"} "#;
    let refused = r#"requests_total{code="1004",customer="",kind="",outcome="not_run"} 1"#;
    for value in [answered, refused, "proofs_held 1", "ready 1", "token_gap_seconds_bucket"] {
        assert!(text.contains(value), "{value} is missing in:\n{text}");
    }
    let spans = || {
        let log = cluster.gateways[0].logged();
        let lines = log.lines().filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok());
        lines.filter(|it| it["trace_id"] == TRACE_ID).collect::<Vec<_>>()
    };
    cluster.wait_until("the spans are written", || spans().len() >= 3);
    let spans = spans();
    let named = |name: &str| spans.iter().find(|it| it["span"] == name).expect(name);
    let request = named("caller_request");
    assert_eq!(request["parent_span_id"], CALLER_SPAN_ID);
    assert_eq!(request["attributes"]["outcome"], "ran");
    for name in ["admission", "attempt"] {
        assert_eq!(named(name)["parent_span_id"], request["span_id"], "{name}");
    }
}

#[test]
fn trace_context_is_passed_on_to_an_engine() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let engine = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let head: Vec<String> = lines.map(Result::unwrap).take_while(|it| !it.is_empty()).collect();
        let mut stream = stream;
        stream.write_all(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n").unwrap();
        head
    });
    let request = GenerateRequest {
        request_id: "r-1".parse().unwrap(),
        attempt_id: "a-1".parse().unwrap(),
        group: "g-1".parse().unwrap(),
        incarnation: Incarnation(1),
        model_version: "v1".parse().unwrap(),
        prompt: String::new(),
        max_tokens: 1,
        resume_from: TokenIndex(0),
        priority: Priority(0),
    };
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    let timeouts = HttpTimeouts::default();
    let answer =
        EngineClient::open().generate(address, &request, Some(&traceparent), timeouts, || true);
    assert!(answer.is_err());
    let head = engine.join().unwrap();
    assert!(head.contains(&format!("traceparent: {traceparent}")), "{head:?}");
}
