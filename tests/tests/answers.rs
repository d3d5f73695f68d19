//! Each caller receives the complete answer to its own request, or an explicit error.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use mangocross_http::HttpClient;
use mangocross_http::HttpResponse;
use mangocross_tests::Answer;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Relay;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use standins::EngineFaults;

const GROUP_1: &str = "start group letters-1 model letters version v1 members 1 in domain-1";
const GROUP_2: &str = "start group letters-2 model letters version v1 members 1 in domain-2";
/// Most requests sent until the faulty engine accepts one.
const REQUESTS_MAX: u32 = 24;

fn draft(max_tokens: u32) -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", max_tokens, true)
}

/// Returns a request with a distinct prefix; prefixes spread requests over the groups.
fn question(number: u32) -> CallerRequest {
    let text = format!("question {number}");
    CallerRequest::question("town", "draft", "letters", 20, &text)
}

/// Starts a cluster with two groups of one member each.
fn two_groups(builder: ClusterBuilder) -> Cluster {
    let cluster = builder.start();
    cluster.start_group(GROUP_1, 0, &draft(1));
    cluster.operate(0, GROUP_2).unwrap();
    let mut number = 0;
    cluster.wait_until("the second group answers", || {
        number += 1;
        cluster.send_request(0, &question(number));
        cluster.engine("vm-2-1").faults().count("generations") > 0
    });
    cluster
}

/// Sends requests until the faulty engine of the first group accepts one; all must be complete.
fn assert_all_complete(cluster: &Cluster, faults: EngineFaults) {
    let references: Vec<String> =
        (0..REQUESTS_MAX).map(|it| cluster.send_request(0, &question(it)).text()).collect();
    let faulty = cluster.engine("vm-1-1").faults();
    let before = faulty.count("generations");
    faulty.set(faults.clone());
    for (number, reference) in (0..).zip(references) {
        let answer = cluster.send_request(0, &question(number));
        assert!(answer.is_complete(), "{faults:?}: {answer:?}");
        assert_eq!(answer.token_indexes(), (0..20).collect::<Vec<_>>(), "{faults:?}");
        assert_eq!(answer.text(), reference, "{faults:?}");
        if faulty.count("generations") > before {
            faulty.set(EngineFaults::default());
            return;
        }
    }
    panic!("no request went to the faulty engine");
}

#[test]
fn broken_stream_resumes_at_another_group() {
    let cluster = two_groups(ClusterBuilder::new(1, &[1, 1]));
    let after = Some(7);
    assert_all_complete(&cluster, EngineFaults { cut_after: after, ..EngineFaults::default() });
    assert_all_complete(&cluster, EngineFaults { swap_after: after, ..EngineFaults::default() });
    assert_all_complete(&cluster, EngineFaults { repeat_token: after, ..EngineFaults::default() });
    assert_all_complete(&cluster, EngineFaults { skip_token: after, ..EngineFaults::default() });
    // Each time the other engine was asked only for the remaining tokens.
    assert_eq!(cluster.engine("vm-2-1").faults().count("resumptions"), 4);
}

#[test]
fn stream_fails_over_from_a_silent_engine() {
    let cluster = two_groups(ClusterBuilder::new(1, &[1, 1]));
    assert_all_complete(
        &cluster,
        EngineFaults { silent_after: Some(7), ..EngineFaults::default() },
    );
    assert_all_complete(
        &cluster,
        EngineFaults { silent_after: Some(0), ..EngineFaults::default() },
    );
}

#[test]
fn stream_fails_over_from_a_straggler() {
    let builder = ClusterBuilder::new(1, &[1, 1]).gateway_setting("token_gap_mean_ms", 100);
    let cluster = two_groups(builder);
    assert_all_complete(&cluster, EngineFaults { straggler: true, ..EngineFaults::default() });
    let cancels = || cluster.engine("vm-1-1").faults().count("cancels");
    cluster.wait_until("the straggler receives a cancel", || cancels() > 0);
}

#[test]
fn broken_stream_without_another_group_ends_in_an_error() {
    let builder = ClusterBuilder::new(1, &[1]).gateway_setting("resume_wait_ms", 1_000);
    let cluster = builder.start();
    cluster.start_group(GROUP_1, 0, &draft(1));
    let cut = EngineFaults { cut_after: Some(3), ..EngineFaults::default() };
    cluster.engine("vm-1-1").faults().set(cut);
    let answer = cluster.send_request(0, &draft(20));
    assert!(!answer.is_complete());
    assert_eq!(answer.token_indexes(), (0..3).collect::<Vec<_>>());
    let refusal = answer.refusal().expect("an error event");
    assert_eq!(refusal.code, ResultCode::BackendBroken);
    assert_eq!(refusal.outcome, RunOutcome::Ran);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn refusal_before_the_first_token_reports_the_run_outcome() {
    let cluster = ClusterBuilder::new(1, &[1]).start();
    let answer = cluster.send_request(0, &draft(20));
    assert_eq!(answer.refusal().map(|it| it.code), Some(ResultCode::NoCompleteGroup));
    assert_eq!(answer.outcome(), Some(RunOutcome::NotRun));
    assert!(answer.header("retry-after").is_some());
    cluster.start_group(GROUP_1, 0, &draft(1));
    let cut = EngineFaults { cut_after: Some(0), ..EngineFaults::default() };
    cluster.engine("vm-1-1").faults().set(cut);
    let answer = cluster.send_request(0, &draft(20));
    assert_eq!(answer.status, 502);
    assert_eq!(answer.outcome(), Some(RunOutcome::Unknown));
}

#[test]
fn silence_without_another_group_ends_in_an_error_before_the_deadline() {
    let builder = ClusterBuilder::new(1, &[1]).gateway_setting("first_token_ms", 200);
    let cluster = builder.start();
    cluster.start_group(GROUP_1, 0, &draft(1));
    let silent = EngineFaults { silent_after: Some(0), ..EngineFaults::default() };
    cluster.engine("vm-1-1").faults().set(silent);
    let answer = cluster.send_request(0, &draft(20));
    let refusal = answer.refusal().expect("a refusal");
    assert_eq!(refusal.code, ResultCode::BackendSilent);
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

/// The first-token timeout exceeds the deadline, so that only the lost health lease ends the wait.
#[test]
fn request_without_a_first_token_fails_over_from_a_group_without_a_health_lease() {
    let builder = ClusterBuilder::new(1, &[1, 1]).gateway_setting("first_token_ms", 60_000);
    let cluster = two_groups(builder);
    let group = |answer: &Answer| answer.header("x-group").map(str::to_owned);
    let goes_to_first =
        |it: &u32| group(&cluster.send_request(0, &question(*it))).as_deref() == Some("letters-1");
    let number = (0..REQUESTS_MAX).find(goes_to_first).expect("a question for the first group");
    let frozen = EngineFaults { frozen: true, ..EngineFaults::default() };
    cluster.engine("vm-1-1").faults().set(frozen);
    let answer = cluster.send_request(0, &question(number));
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(group(&answer).as_deref(), Some("letters-2"));
}

#[test]
fn answer_resumes_at_the_next_incarnation_of_its_group() {
    let builder = ClusterBuilder::new(1, &[2]).gateway_setting("resume_wait_ms", 30_000);
    let cluster = builder.start();
    cluster.start_group(GROUP_1, 0, &draft(1));
    let generations = |it: &str| cluster.engine(it).faults().count("generations");
    let serving = if generations("vm-1-1") > 0 { "vm-1-1" } else { "vm-1-2" };
    let silent = EngineFaults { silent_after: Some(5), ..EngineFaults::default() };
    cluster.engine(serving).faults().set(silent.clone());
    let before = generations(serving);
    let answer = std::thread::scope(|scope| {
        let sending = scope.spawn(|| cluster.send_request(0, &draft(20)));
        cluster.wait_until("the answer has started", || generations(serving) > before);
        cluster.engine(serving).faults().set(EngineFaults { frozen: true, ..silent });
        sending.join().unwrap()
    });
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.token_indexes(), (0..20).collect::<Vec<_>>());
}

#[test]
fn silent_connection_is_replaced_by_a_new_one() {
    let cluster = ClusterBuilder::new(1, &[1]).start();
    let relay = Relay::bind(cluster.address(7_900), cluster.engine("vm-1-1").address());
    let mut listed = cluster.listed_vms();
    listed[0].address = relay.address();
    cluster.platform.set_vms(listed);
    cluster.start_group(GROUP_1, 0, &draft(1));
    let (mut answer, mut body) = (open(cluster.gateway(0), &draft(400)), Vec::new());
    read_tokens(&mut answer, &mut body, 3);
    relay.silence_open_connections();
    answer.read_to_end(&mut body).unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(body.contains("data: [DONE]\n"), "{body}");
    let indexes: Vec<u64> = body
        .lines()
        .filter_map(|it| it.split_once("\"token_index\":")?.1.split('}').next()?.parse().ok())
        .collect();
    assert_eq!(indexes[..400], (0..400).collect::<Vec<_>>());
}

#[test]
fn attempt_of_a_disconnected_caller_is_cancelled() {
    let cluster = ClusterBuilder::new(1, &[1]).start();
    cluster.start_group(GROUP_1, 0, &draft(1));
    let mut answer = open(cluster.gateway(0), &draft(30_000));
    read_tokens(&mut answer, &mut Vec::new(), 1);
    drop(answer);
    let counted = |it: &str| cluster.engine("vm-1-1").faults().count(it);
    cluster.wait_until("the engine receives a cancel", || counted("cancels") > 0);
}

/// Starts a request and returns its answer unread.
fn open(gateway: SocketAddr, request: &CallerRequest) -> HttpResponse {
    HttpClient::open().call(request.call(gateway, Duration::from_secs(40))).unwrap()
}

/// Reads until `count` tokens have arrived.
fn read_tokens(answer: &mut HttpResponse, body: &mut Vec<u8>, count: usize) {
    let mut buf = [0; 1024];
    while String::from_utf8_lossy(body).matches("token_index").count() < count {
        let length = answer.read(&mut buf).unwrap();
        assert!(length > 0, "the answer ended early");
        body.extend_from_slice(&buf[..length]);
    }
}
