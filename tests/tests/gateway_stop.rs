//! A planned stop of an entry VM's processes interrupts no request.

use std::io::Read;
use std::thread;
use std::time::Duration;

use mangocross_http::CallErrorKind;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_tests::Caller;
use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::new_key;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use standins::ServiceFaults;

/// Time for which requests are taken after SIGTERM, in milliseconds.
const NOTICE_MS: u64 = 800;
/// Time for which those in flight are waited for after that, in milliseconds.
const STOP_MS: u64 = 1_500;
/// Requests of each kind that are sent after SIGTERM, and the time between two of them.
const LATE_REQUESTS: u64 = 12;
const LATE_INTERVAL_MS: u64 = 150;
/// Tokens of an answer that takes longer than the stop.
const LONG_TOKENS: u32 = 30_000;

fn draft(max_tokens: u32) -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", max_tokens, true)
}

#[test]
fn planned_stop_finishes_streams_and_serves_until_the_notice_time_ends() {
    let builder = ClusterBuilder::new(2, &[1]).gateway_setting("notice_ms", 1_500);
    let mut cluster = builder.start();
    let line = "start group letters-1 model letters version v1 members 1";
    cluster.start_group(line, 0, &draft(1));
    let call = draft(1_000).call(cluster.gateway(0), Duration::from_secs(60));
    let mut stream = HttpClient::open().call(call).unwrap();
    let mut text = vec![0; 16];
    stream.read_exact(&mut text).unwrap();
    cluster.gateways[0].terminate();
    cluster.coordinators[0].terminate();
    let ready = || {
        let call = HttpCall::new(HttpMethod::Get, cluster.gateway(0), "/health/ready");
        HttpClient::open().call(call).unwrap().status()
    };
    cluster.wait_until("the gateway is not ready", || ready() == 503);
    assert!(
        cluster.send_request(0, &draft(4)).is_complete(),
        "refused before the load balancer could notice"
    );
    // While the other coordinator takes over, no group may have a health lease for a moment.
    cluster.wait_until("new requests are refused", || {
        let answer = cluster.send_request(0, &draft(1));
        let refusal = answer.refusal();
        assert!(refusal.as_ref().is_none_or(|it| it.outcome == RunOutcome::NotRun));
        refusal.is_some_and(|it| it.code == ResultCode::Stopping)
    });
    stream.read_to_end(&mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "the stream was interrupted");
    assert!(text.contains("\"token_index\":999}"));
    assert!(cluster.gateways[0].wait(), "the gateway failed");
    let caller = Caller::open(Duration::from_secs(10));
    cluster.wait_until("the other entry VM serves", || {
        caller.send(cluster.gateway(1), &draft(4)).is_ok_and(|it| it.is_complete())
    });
}

/// Guards against requests that were taken before a planned stop, or until the load balancer had noticed
/// it, and were cut at its end without an answer.
#[test]
fn planned_stop_answers_all_that_it_has_taken() {
    let builder = ClusterBuilder::new(2, &[1]).gateway_setting("notice_ms", NOTICE_MS);
    let mut cluster = builder.gateway_setting("stop_ms", STOP_MS).start();
    let line = "start group letters-1 model letters version v1 members 1";
    cluster.start_group(line, 0, &draft(1));
    let held = ServiceFaults { hold_answers: true, ..ServiceFaults::default() };
    cluster.service.faults().set(held);
    let claim = |name: &str| {
        let claim = CallerRequest::service("town", "claim", "registry/claims", name);
        claim.header("idempotency-key", &new_key(name))
    };
    let status = CallerRequest::service("town", "status", "registry/status", "place of 17");
    let caller = Caller::open(Duration::from_secs(30));
    let to = cluster.gateway(0);
    let send = |request: CallerRequest| {
        let caller = caller.clone();
        thread::spawn(move || caller.send(to, &request))
    };
    let mut sent = vec![send(claim("before")), send(status.clone()), send(draft(LONG_TOKENS))];
    cluster.wait_until("the call ran", || cluster.service.effects("before") == 1);
    cluster.gateways[0].terminate();
    for number in 0..LATE_REQUESTS {
        sent.extend([send(claim(&format!("late-{number}"))), send(status.clone())]);
        sent.push(send(draft(LONG_TOKENS)));
        thread::sleep(Duration::from_millis(LATE_INTERVAL_MS));
    }
    for (number, answer) in sent.into_iter().enumerate() {
        let answer = answer.join().expect("a caller does not fail");
        // One that came when nothing was accepted any more was not read.
        let answer = match answer {
            Err(error) if error.kind == CallErrorKind::Connect => continue,
            it => it.unwrap_or_else(|it| panic!("{number}: {it}")),
        };
        assert!(answer.outcome().is_some(), "{number}: {answer:?}");
        let is_stream = answer.header("content-type") == Some("text/event-stream");
        let is_ended = answer.is_complete() || answer.refusal().is_some();
        assert!(!is_stream || is_ended, "{number}: {answer:?}");
    }
    assert!(cluster.gateways[0].wait(), "the gateway failed");
    let effects = |name: &str| cluster.service.effects(name);
    assert!((0..LATE_REQUESTS).all(|it| effects(&format!("late-{it}")) <= 1));
}
