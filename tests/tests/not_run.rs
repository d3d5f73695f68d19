//! Run outcomes reported to callers match the effects counted by the service, under every fault
//! on the path of a claim.

use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::RelayMode;
use mangocross_tests::new_key;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use standins::ServiceFaults;
use standins::StoreFaults;

const SEED: u64 = 42;
const ATTEMPTS: u16 = 2;

/// A fault on the path of a claim.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    StoreDown,
    StoreFrozen,
    StoreGarbles,
    StoreCut,
    StoreAnswersDropped,
    ServiceRefuses,
    ServiceRefusesAnother,
    ServiceSwaps,
    ServiceSilent,
    ServiceCut,
    ServiceAnswersDropped,
}

/// The faults, and the outcome reported to the first attempt under each.
const FAULTS: &[(Fault, RunOutcome)] = &[
    (Fault::StoreDown, RunOutcome::NotRun),
    (Fault::StoreFrozen, RunOutcome::NotRun),
    (Fault::StoreGarbles, RunOutcome::Ran),
    (Fault::StoreCut, RunOutcome::NotRun),
    (Fault::StoreAnswersDropped, RunOutcome::NotRun),
    (Fault::ServiceRefuses, RunOutcome::NotRun),
    (Fault::ServiceRefusesAnother, RunOutcome::Unknown),
    (Fault::ServiceSwaps, RunOutcome::Unknown),
    (Fault::ServiceSilent, RunOutcome::Unknown),
    (Fault::ServiceCut, RunOutcome::Unknown),
    (Fault::ServiceAnswersDropped, RunOutcome::Unknown),
];

fn set(cluster: &Cluster, fault: Fault) {
    let (mut store, mut service) = (StoreFaults::default(), ServiceFaults::default());
    let (mut store_relay, mut service_relay) = (RelayMode::Pass, RelayMode::Pass);
    match fault {
        Fault::None => {}
        Fault::StoreDown => store.down = true,
        Fault::StoreFrozen => store.frozen = true,
        Fault::StoreGarbles => store.garble_write_answers = true,
        Fault::StoreCut => store_relay = RelayMode::Cut,
        Fault::StoreAnswersDropped => store_relay = RelayMode::DropAnswers,
        Fault::ServiceRefuses => service.refuse = true,
        Fault::ServiceRefusesAnother => (service.refuse, service.swap_answers) = (true, true),
        Fault::ServiceSwaps => service.swap_answers = true,
        Fault::ServiceSilent => service.lose_answers = true,
        Fault::ServiceCut => service_relay = RelayMode::Cut,
        Fault::ServiceAnswersDropped => service_relay = RelayMode::DropAnswers,
    }
    cluster.store.faults().set(store);
    cluster.service.faults().set(service);
    cluster.store_relays[0].set(store_relay);
    cluster.service_relay.set(service_relay);
}

fn claim(body: &str) -> CallerRequest {
    CallerRequest::service("town", "claim", "registry/claims", body)
        .header("idempotency-key", &new_key(body))
        .header("x-deadline-ms", "2000")
}

/// Ends all faults and waits until both gateways accept claims again.
fn recover(cluster: &Cluster, name: &str) {
    set(cluster, Fault::None);
    for node in 0..2 {
        let claim = claim(&format!("calm-{name}-{node}"));
        cluster.wait_until("claims are accepted again", || {
            cluster.send_request(node, &claim).outcome() == Some(RunOutcome::Ran)
        });
    }
}

/// Sends one claim several times, first under a fault and then without it; returns the reported
/// outcomes.
fn send_claim(
    cluster: &Cluster,
    fault: Fault,
    body: &str,
    random: &mut fastrand::Rng,
) -> Vec<RunOutcome> {
    let claim = claim(body);
    let send = |node: u16| cluster.send_request(node, &claim).outcome().expect("an outcome");
    set(cluster, fault);
    let mut reported: Vec<RunOutcome> = (0..ATTEMPTS).map(|it| send(it % 2)).collect();
    set(cluster, Fault::None);
    reported.extend((0..ATTEMPTS).map(|_| send(random.u16(..2))));
    reported
}

#[test]
fn reported_outcomes_match_effects_under_every_fault() {
    let cluster = ClusterBuilder::new(2, &[]).start();
    let mut random = fastrand::Rng::with_seed(SEED);
    for (fault, first) in FAULTS {
        let body = format!("{fault:?}");
        recover(&cluster, &body);
        let reported = send_claim(&cluster, *fault, &body, &mut random);
        let effects = cluster.service.effects(&body);
        println!("{body}: reported {reported:?}, {effects} effects");
        assert_eq!(reported[0], *first, "{body}: reported {reported:?}");
        assert!(effects <= 1, "{body}: {effects} effects, reported {reported:?}");
        if reported.contains(&RunOutcome::Ran) {
            assert_eq!(effects, 1, "{body}: reported {reported:?}");
        }
        if reported.iter().all(|it| *it == RunOutcome::NotRun) {
            assert_eq!(effects, 0, "{body}: reported {reported:?}");
        }
    }
}

#[test]
fn refusals_without_a_store_report_not_run_and_a_retry_time() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    let faults = [
        (StoreFaults { down: true, ..StoreFaults::default() }, "down"),
        (StoreFaults { frozen: true, ..StoreFaults::default() }, "frozen"),
    ];
    for (faults, name) in faults {
        cluster.store.faults().set(faults);
        let mut retry_times = Vec::new();
        for number in 0..8 {
            let answer = cluster.send_request(0, &claim(&format!("{name}-{number}")));
            let refusal = answer.refusal().expect("a refusal");
            assert_eq!(refusal.outcome, RunOutcome::NotRun, "{refusal:?}");
            let codes = [ResultCode::StoreUnavailable, ResultCode::StoreAnswerLost];
            assert!(codes.contains(&refusal.code), "{refusal:?}");
            assert_eq!(answer.header("x-run-outcome"), Some("not_run"));
            retry_times.push(refusal.retry_after_ms.expect("a retry time"));
        }
        retry_times.sort_unstable();
        retry_times.dedup();
        assert!(retry_times.len() > 1, "all clients retry at the same time: {retry_times:?}");
        cluster.store.faults().set(StoreFaults::default());
        let claim = claim(&format!("{name}-0"));
        cluster.wait_until("claims are accepted again", || {
            cluster.send_request(0, &claim).outcome() == Some(RunOutcome::Ran)
        });
    }
    assert_eq!(cluster.service.faults().count("effects"), 2);
}

#[test]
fn idempotent_calls_are_retried_and_work_during_a_store_outage() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
    let status = CallerRequest::service("town", "status", "registry/status", "place of 17");
    assert_eq!(cluster.send_request(0, &status).outcome(), Some(RunOutcome::Ran));
    cluster.service.faults().set(ServiceFaults { refuse: true, ..ServiceFaults::default() });
    let calls = cluster.service.faults().count("calls");
    let refused = cluster.send_request(0, &status);
    assert_eq!(refused.outcome(), Some(RunOutcome::NotRun), "{refused:?}");
    assert_eq!(cluster.service.faults().count("calls") - calls, 3);
    let swapped = ServiceFaults { swap_answers: true, ..ServiceFaults::default() };
    cluster.service.faults().set(swapped);
    assert_eq!(cluster.send_request(0, &status).outcome(), Some(RunOutcome::Unknown));
}

#[test]
fn missing_or_invalid_keys_are_refused() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    let send = |key: Option<&str>| {
        let claim = CallerRequest::service("town", "claim", "registry/claims", "keys");
        cluster.send_request(
            0,
            &key.into_iter().fold(claim, |it, key| it.header("idempotency-key", key)),
        )
    };
    let cases = [
        (None, ResultCode::KeyMissing),
        (Some("no-time"), ResultCode::KeyInvalid),
        (Some("99999999999.future"), ResultCode::KeyInvalid),
    ];
    for (key, expected) in cases {
        let refusal = send(key).refusal().expect("a refusal");
        assert_eq!((refusal.code, refusal.outcome), (expected, RunOutcome::NotRun), "{refusal:?}");
    }
    assert_eq!(cluster.service.effects("keys"), 0);
}
