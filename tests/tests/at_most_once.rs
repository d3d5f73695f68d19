//! A non-idempotent request runs at most once when its gateway is killed, frozen or cut from the
//! store, and a retry through another gateway reports the correct run outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use mangocross_coordination::ClaimKey;
use mangocross_coordination::ClaimLayout;
use mangocross_http::CallError;
use mangocross_tests::Answer;
use mangocross_tests::Caller;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::RelayMode;
use mangocross_tests::new_key;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_store::HttpStore;
use peer_store::read_json;
use peer_store::swap_json;
use standins::ServiceFaults;
use standins::StoreFaults;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

fn start() -> Cluster {
    ClusterBuilder::new(2, &[]).start()
}

fn claim(name: &str) -> CallerRequest {
    claim_within(name, 20_000)
}

fn claim_within(name: &str, deadline_ms: u64) -> CallerRequest {
    CallerRequest::service("town", "claim", "registry/claims", name)
        .header("idempotency-key", &new_key(name))
        .header("x-deadline-ms", &deadline_ms.to_string())
}

fn send_in_background(
    gateway: SocketAddr,
    request: &CallerRequest,
) -> JoinHandle<Result<Answer, CallError>> {
    let request = request.clone();
    thread::spawn(move || Caller::open(ANSWER_TIMEOUT).send(gateway, &request))
}

/// Makes the service run arriving calls only after its faults are cleared.
fn hold_calls(cluster: &Cluster) {
    cluster.service.faults().set(ServiceFaults { hold: true, ..ServiceFaults::default() });
}

fn code(answer: &Answer) -> Option<ResultCode> {
    answer.refusal().map(|it| it.code)
}

fn assert_unknown(answer: &Answer, expected: ResultCode) {
    assert_eq!(answer.outcome(), Some(RunOutcome::Unknown), "{answer:?}");
    assert_eq!(code(answer), Some(expected), "{answer:?}");
}

/// Retries through a gateway until the answer reports that the request ran.
fn retry_until_ran(cluster: &Cluster, node: u16, request: &CallerRequest) -> Answer {
    let mut last = None;
    cluster.wait_until("the request ran", || {
        let answer = cluster.send_request(node, request);
        let ran = answer.outcome() == Some(RunOutcome::Ran);
        last = Some(answer);
        ran
    });
    last.expect("an answer")
}

#[test]
fn retry_during_a_slow_first_attempt_returns_its_recorded_answer() {
    let cluster = start();
    hold_calls(&cluster);
    let claim = claim("slow");
    let first = send_in_background(cluster.gateway(0), &claim);
    cluster.wait_until("the call arrived", || cluster.service.faults().count("calls") == 1);
    assert_unknown(&cluster.send_request(1, &claim), ResultCode::ClaimInProgress);
    cluster.service.faults().set(ServiceFaults::default());
    let first = first.join().unwrap().expect("the gateway answers");
    assert_eq!(first.outcome(), Some(RunOutcome::Ran));
    let retry = retry_until_ran(&cluster, 1, &claim);
    assert_eq!((retry.status, &retry.body), (first.status, &first.body));
    assert_eq!(cluster.service.faults().count("calls"), 1);
    assert_eq!(cluster.service.effects("slow"), 1);
}

#[test]
fn gateway_killed_after_the_send_leaves_an_unknown_outcome() {
    let mut cluster = start();
    hold_calls(&cluster);
    let claim = claim("killed");
    let first = send_in_background(cluster.gateway(0), &claim);
    cluster.wait_until("the call arrived", || cluster.service.faults().count("calls") == 1);
    cluster.gateways[0].kill();
    assert!(first.join().unwrap().is_err());
    assert_unknown(&cluster.send_request(1, &claim), ResultCode::ClaimInProgress);
    cluster.service.faults().set(ServiceFaults::default());
    cluster.wait_until("the call ran", || cluster.service.effects("killed") == 1);
    cluster.gateways[0].restart();
    let ready = |it: &Answer| code(it) != Some(ResultCode::NotFresh);
    let caller = Caller::open(ANSWER_TIMEOUT);
    cluster.wait_until("the gateway serves again", || {
        caller.send(cluster.gateway(0), &claim).is_ok_and(|it| ready(&it))
    });
    assert_unknown(&cluster.send_request(0, &claim), ResultCode::ClaimInProgress);
    assert_eq!(cluster.service.faults().count("calls"), 1);
}

#[test]
fn gateway_frozen_after_the_send_records_its_outcome_when_resumed() {
    let cluster = start();
    hold_calls(&cluster);
    let claim = claim("frozen");
    let first = send_in_background(cluster.gateway(0), &claim);
    cluster.wait_until("the call arrived", || cluster.service.faults().count("calls") == 1);
    cluster.gateways[0].freeze();
    cluster.service.faults().set(ServiceFaults::default());
    cluster.wait_until("the call ran", || cluster.service.effects("frozen") == 1);
    assert_unknown(&cluster.send_request(1, &claim), ResultCode::ClaimInProgress);
    cluster.gateways[0].thaw();
    let first = first.join().unwrap().expect("the gateway answers");
    assert_eq!(first.outcome(), Some(RunOutcome::Ran));
    assert_eq!(retry_until_ran(&cluster, 1, &claim).body, first.body);
    assert_eq!(cluster.service.effects("frozen"), 1);
}

#[test]
fn gateway_cut_from_the_store_before_its_claim_sends_nothing() {
    let mut cluster = start();
    for frozen in [true, false] {
        let name = if frozen { "before-frozen" } else { "before-killed" };
        let claim = claim(name);
        let connections = cluster.store_relays[0].accepted();
        cluster.store_relays[0].set(RelayMode::Silent);
        let first = send_in_background(cluster.gateway(0), &claim);
        cluster.wait_until("the gateway connects to the store", || {
            cluster.store_relays[0].accepted() > connections + 1
        });
        if frozen {
            cluster.gateways[0].freeze();
        } else {
            cluster.gateways[0].kill();
        }
        let retry = retry_until_ran(&cluster, 1, &claim);
        cluster.store_relays[0].set(RelayMode::Pass);
        if frozen {
            cluster.gateways[0].thaw();
        }
        if let Ok(first) = first.join().unwrap() {
            let reported = first.outcome().expect("an outcome");
            let replayed = reported == RunOutcome::Ran && first.body == retry.body;
            assert!(replayed || reported != RunOutcome::Ran, "{first:?}");
        }
        assert_eq!(cluster.service.effects(name), 1);
    }
    assert_eq!(cluster.service.faults().count("calls"), 2);
}

#[test]
fn claim_with_a_lost_store_answer_is_released_and_a_retry_runs() {
    let cluster = start();
    let claim = claim("lost");
    cluster.store_relays[0].set(RelayMode::DropAnswers);
    let first = cluster.send_request(0, &claim);
    assert_eq!(first.outcome(), Some(RunOutcome::NotRun), "{first:?}");
    assert!(first.refusal().is_some_and(|it| it.retry_after_ms.is_some()), "{first:?}");
    assert_eq!(cluster.service.effects("lost"), 0);
    cluster.store_relays[0].set(RelayMode::Pass);
    retry_until_ran(&cluster, 1, &claim);
    retry_until_ran(&cluster, 0, &claim);
    assert_eq!(cluster.service.effects("lost"), 1);
}

#[test]
fn unrecorded_outcome_is_unknown_through_another_gateway() {
    let mut cluster = start();
    cluster.service.faults().set(ServiceFaults { hold_answers: true, ..ServiceFaults::default() });
    let claim = claim("unrecorded");
    let first = send_in_background(cluster.gateway(0), &claim);
    cluster.wait_until("the call ran", || cluster.service.effects("unrecorded") == 1);
    cluster.store_relays[0].set(RelayMode::Silent);
    cluster.service.faults().set(ServiceFaults::default());
    let first = first.join().unwrap().expect("the gateway answers");
    assert_eq!(first.outcome(), Some(RunOutcome::Ran));
    cluster.gateways[0].kill();
    assert_unknown(&cluster.send_request(1, &claim), ResultCode::ClaimInProgress);
    assert_eq!(cluster.service.effects("unrecorded"), 1);
}

#[test]
fn planned_stop_waits_until_the_outcome_is_recorded() {
    let mut cluster = ClusterBuilder::new(2, &[]).gateway_setting("notice_ms", 1).start();
    cluster.service.faults().set(ServiceFaults { hold_answers: true, ..ServiceFaults::default() });
    let claim = claim("stopped");
    let first = send_in_background(cluster.gateway(0), &claim);
    cluster.wait_until("the call ran", || cluster.service.effects("stopped") == 1);
    cluster.store_relays[0].set(RelayMode::Silent);
    cluster.service.faults().set(ServiceFaults::default());
    let first = first.join().unwrap().expect("the gateway answers");
    assert_eq!(first.outcome(), Some(RunOutcome::Ran));
    cluster.gateways[0].terminate();
    cluster.store_relays[0].set(RelayMode::Pass);
    assert!(cluster.gateways[0].wait());
    let retry = cluster.send_request(1, &claim);
    assert_eq!((retry.outcome(), &retry.body), (Some(RunOutcome::Ran), &first.body));
}

#[test]
fn concurrent_copies_run_once() {
    let cluster = start();
    let caller = Caller::open(ANSWER_TIMEOUT);
    for number in 0..20 {
        let name = format!("copy-{number}");
        let claim = claim(&name);
        let barrier = Arc::new(Barrier::new(4));
        let copies: Vec<_> = (0..4)
            .map(|copy| {
                let (caller, claim) = (caller.clone(), claim.clone());
                let (barrier, gateway) = (Arc::clone(&barrier), cluster.gateway(copy % 2));
                thread::spawn(move || {
                    barrier.wait();
                    caller.send(gateway, &claim).expect("the gateway answers").outcome()
                })
            })
            .collect();
        let reported: Vec<_> = copies.into_iter().map(|it| it.join().unwrap()).collect();
        assert!(reported.contains(&Some(RunOutcome::Ran)), "{reported:?}");
        assert!(!reported.contains(&Some(RunOutcome::NotRun)), "{reported:?}");
        assert_eq!(cluster.service.effects(&name), 1);
    }
}

#[test]
fn idempotency_key_is_bound_to_one_request_of_one_customer() {
    let cluster = start();
    let key = new_key("shared");
    let send = |customer: &str, path: &str, body: &str| {
        let claim = CallerRequest::service(customer, "claim", path, body);
        cluster.send_request(1, &claim.header("idempotency-key", &key))
    };
    assert_eq!(send("town", "registry/claims", "mine").outcome(), Some(RunOutcome::Ran));
    let refused = [
        (send("bank", "registry/claims", "mine"), ResultCode::KeyCustomerMismatch),
        (send("town", "registry/claims", "other"), ResultCode::KeyBodyMismatch),
        (send("town", "registry/certificates", "mine"), ResultCode::KeyBodyMismatch),
    ];
    for (answer, expected) in refused {
        assert_eq!(answer.outcome(), Some(RunOutcome::NotRun), "{answer:?}");
        assert_eq!(code(&answer), Some(expected), "{answer:?}");
    }
    assert_eq!(cluster.service.effects("mine"), 1);
    assert_eq!(cluster.service.effects("other"), 0);
}

#[test]
fn call_with_a_mismatched_or_missing_answer_is_never_repeated() {
    let cluster = start();
    let silent = ServiceFaults { lose_answers: true, ..ServiceFaults::default() };
    let swapped = ServiceFaults { swap_answers: true, ..ServiceFaults::default() };
    let cases = [
        ("silent", silent, ResultCode::BackendSilent),
        ("swapped", swapped, ResultCode::BackendMismatch),
    ];
    for (name, faults, expected) in cases {
        cluster.service.faults().set(faults);
        let claim = claim_within(name, 2_000);
        assert_unknown(&cluster.send_request(0, &claim), expected);
        cluster.service.faults().set(ServiceFaults::default());
        cluster.wait_until("the unknown outcome is recorded", || {
            code(&cluster.send_request(1, &claim)) == Some(ResultCode::OutcomeUnknown)
        });
        assert_eq!(cluster.service.effects(name), 1);
    }
}

#[test]
fn lost_or_garbled_store_answers_lead_to_one_effect() {
    let cluster = start();
    let lost = StoreFaults { lose_write_answers: true, ..StoreFaults::default() };
    let garbled = StoreFaults { garble_write_answers: true, ..StoreFaults::default() };
    for (name, faults) in [("lost-answer", lost), ("garbled-answer", garbled)] {
        cluster.store.faults().set(faults);
        let claim = claim(name);
        let first = cluster.send_request(0, &claim);
        let effects = cluster.service.effects(name);
        match first.outcome().expect("an outcome") {
            RunOutcome::Ran => assert_eq!(effects, 1),
            RunOutcome::NotRun => assert_eq!(effects, 0),
            RunOutcome::Unknown => panic!("only answers of the store were lost: {first:?}"),
        }
        cluster.store.faults().set(StoreFaults::default());
        retry_until_ran(&cluster, 1, &claim);
        assert_eq!(cluster.service.effects(name), 1);
    }
}

#[test]
fn expired_key_is_refused_with_unknown_outcome() {
    let cluster = start();
    let key = new_key("expired");
    let claim = CallerRequest::service("town", "claim", "registry/claims", "expired")
        .header("idempotency-key", &key);
    assert_eq!(cluster.send_request(0, &claim).outcome(), Some(RunOutcome::Ran));
    advance_window(&cluster, &key);
    for node in 0..2 {
        assert_unknown(&cluster.send_request(node, &claim), ResultCode::KeyExpired);
    }
    assert_eq!(cluster.service.effects("expired"), 1);
}

/// Replaces the window in the key's shard by the next one that uses the same slot, so that the key
/// has expired.
fn advance_window(cluster: &Cluster, key: &str) {
    let layout = ClaimLayout::CURRENT;
    let key: ClaimKey = key.parse().unwrap();
    let store = HttpStore::open(cluster.store.address());
    let (shard, revision) =
        read_json::<serde_json::Value>(&store, &layout.store_key(&key)).unwrap();
    assert_eq!(shard.unwrap()["window"], layout.window(&key));
    let newer = serde_json::json!({"window": layout.window(&key) + layout.slots, "claims": {}});
    let swapped = swap_json(&store, &layout.store_key(&key), revision, &newer);
    assert!(swapped.unwrap().is_some());
}
