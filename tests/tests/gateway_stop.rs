//! A planned stop of an entry VM's processes interrupts no request.

use std::io::Read;
use std::time::Duration;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_tests::Caller;
use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;

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
