//! Limits hold across all entry VMs, and a full gateway refuses requests at once.

use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::Configuration;
use mangocross_types::RequestsPerSecond;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;

const LIMIT_PER_SECOND: u32 = 5;

fn draft(max_tokens: u32) -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", max_tokens, true)
}

fn status(cluster: &Cluster, path: &str) -> u16 {
    let call = HttpCall::new(HttpMethod::Get, cluster.gateway(0), path);
    HttpClient::open().call(call).unwrap().status()
}

#[test]
fn customer_limit_holds_over_two_gateways() {
    let cluster = ClusterBuilder::new(2, &[1]).start();
    let mut configuration: Configuration = cluster.configuration();
    let town = configuration.customers.iter_mut().find(|it| it.id.as_str() == "town").unwrap();
    town.requests_per_second = RequestsPerSecond(LIMIT_PER_SECOND);
    cluster.replace_configuration(configuration);
    let started = Instant::now();
    let call = |customer: &str| CallerRequest::service(customer, "status", "registry/status", "");
    let mut accepted = 0;
    for number in 0..200 {
        let answer = cluster.send_request(number % 2, &call("town"));
        if answer.status == 200 {
            accepted += 1;
        } else {
            let refusal = answer.refusal().unwrap();
            assert_eq!(refusal.code, ResultCode::CustomerLimit);
            assert_eq!(refusal.outcome, RunOutcome::NotRun);
            assert!(answer.header("retry-after").is_some());
        }
        assert_eq!(cluster.send_request(number % 2, &call("bank")).status, 200);
    }
    // A burst of one second's worth, and twice the rate until the gateways learn of each other.
    let elapsed_s = started.elapsed().as_secs_f64();
    let most = f64::from(LIMIT_PER_SECOND) * (2.0 + 2.0 * elapsed_s);
    assert!(f64::from(accepted) <= most.ceil(), "{accepted} accepted in {elapsed_s} s");
    assert!(accepted < 200);
}

#[test]
fn full_gateway_refuses_at_once_and_stays_healthy() {
    let cluster = ClusterBuilder::new(1, &[1]).gateway_setting("in_flight_max", 1).start();
    let line = "start group letters-1 model letters version v1 members 1";
    cluster.start_group(line, 0, &draft(1));
    let call = draft(30_000).call(cluster.gateway(0), Duration::from_secs(40));
    let mut held = HttpClient::open().call(call).unwrap();
    held.read_exact(&mut [0; 16]).unwrap();
    let answer = cluster.send_request(0, &draft(1));
    let refusal = answer.refusal().unwrap();
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(status(&cluster, "/health/live"), 200);
    assert_eq!(status(&cluster, "/health/ready"), 200);
    drop(held);
    cluster.wait_until("the gateway has capacity again", || {
        cluster.send_request(0, &draft(1)).is_complete()
    });
}
