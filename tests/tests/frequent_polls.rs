//! A gateway that polls its coordinators at the shortest interval still answers all callers.

use std::thread;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_tests::ClusterBuilder;

const CALLERS: usize = 8;
const CALLS: usize = 1_500;

#[test]
fn gateway_answers_while_polling_at_the_shortest_interval() {
    let cluster = ClusterBuilder::new(1, &[]).gateway_setting("poll_interval_ms", 10).start();
    let gateway = cluster.gateway(0);
    let ask = move || {
        let client = HttpClient::open();
        (0..CALLS).all(|_| {
            let call = HttpCall::new(HttpMethod::Get, gateway, "/health/ready");
            client.call(call).is_ok_and(|it| it.status() == 200)
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(|_| thread::spawn(ask)).collect();
    assert!(callers.into_iter().all(|it| it.join().unwrap()));
}
