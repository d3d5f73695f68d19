//! End to end: a request goes from a caller to a complete group and back.

use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::new_key;
use mangocross_types::RunOutcome;

#[test]
fn answer_is_streamed_and_claim_takes_effect_once() {
    let cluster = ClusterBuilder::new(2, &[3]).start();
    let draft = CallerRequest::chat("town", "draft", "letters", 8, true);
    cluster.start_group("start group letters-1 model letters version v1 members 2", 0, &draft);
    let answer = cluster.send_request(0, &draft);
    assert!(answer.is_complete());
    assert_eq!(answer.token_indexes(), (0..8).collect::<Vec<_>>());
    let key = new_key("applicant-17");
    let claim = CallerRequest::service("town", "claim", "registry/claims", "a claim")
        .header("idempotency-key", &key);
    assert_eq!(cluster.send_request(0, &claim).outcome(), Some(RunOutcome::Ran));
    assert_eq!(cluster.send_request(1, &claim).outcome(), Some(RunOutcome::Ran));
    assert_eq!(cluster.service.effects("a claim"), 1);
}
