//! Claim shards compared with a reference list of all claims, and tests of single rules.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::Claim;
use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimKey;
use mangocross_coordination::ClaimLayout;
use mangocross_coordination::ClaimRequest;
use mangocross_coordination::ClaimShard;
use mangocross_coordination::ClaimState;
use mangocross_coordination::RecordedBody;
use mangocross_coordination::RecordedResponse;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const LAYOUT: ClaimLayout = ClaimLayout { window_s: 10, slots: 3, shards: 1 };
const SEED: u64 = 20_261_203;
const CASES: u64 = 2_000;

/// Reference implementation: a list of every claim ever made.
#[derive(Default)]
struct ReferenceList {
    claims: Vec<(ClaimKey, Claim)>,
}

impl ReferenceList {
    fn begin(&mut self, key: &ClaimKey, requested: &Claim, now_s: u64) -> ClaimDecision {
        let (window, slot) = (key.issued_s() / 10, key.issued_s() / 10 % 3);
        let same_slot = self.claims.iter().filter(|(it, _)| it.issued_s() / 10 % 3 == slot);
        if same_slot.into_iter().any(|(it, _)| it.issued_s() / 10 > window) {
            return ClaimDecision::Expired;
        }
        let Some((_, held)) = self.claims.iter_mut().find(|(it, _)| it == key) else {
            self.claims.push((key.clone(), requested.clone()));
            return ClaimDecision::Granted;
        };
        if held.customer != requested.customer {
            return ClaimDecision::CustomerMismatch;
        }
        if held.request != requested.request {
            return ClaimDecision::RequestMismatch;
        }
        if held.state == ClaimState::Held && held.holder != requested.holder {
            if now_s <= held.freeze_after_s {
                return ClaimDecision::InProgress;
            }
            held.state = ClaimState::Frozen;
        }
        match &held.state {
            ClaimState::Held => ClaimDecision::Granted,
            ClaimState::Frozen if held.holder == requested.holder => ClaimDecision::Overdue,
            ClaimState::Done(answer) => ClaimDecision::Ran(answer.clone()),
            ClaimState::Frozen | ClaimState::Unknown => ClaimDecision::OutcomeUnknown,
        }
    }

    fn finish(&mut self, key: &ClaimKey, holder: &str, state: &ClaimState) {
        let open = |it: &Claim| matches!(it.state, ClaimState::Held | ClaimState::Frozen);
        let found = self
            .claims
            .iter_mut()
            .find(|(it, claim)| it == key && claim.holder.as_str() == holder && open(claim));
        if let Some((_, claim)) = found {
            claim.state = state.clone();
        }
    }
}

fn key(issued_s: u64, name: u64) -> ClaimKey {
    format!("{issued_s}.k{name}").parse().unwrap()
}

fn request(key: &ClaimKey, customer: &str, body: &[u8], holder: &str, now_s: u64) -> ClaimRequest {
    let holder = holder.parse().unwrap();
    let attempt =
        ClaimAttempt::new(key.clone(), holder, Duration::from_secs(5), Instant::now(), now_s);
    attempt.claim_request(&LAYOUT, customer.parse().unwrap(), ClaimDigest::of(&[body]))
}

fn done(body: &[u8]) -> ClaimState {
    ClaimState::Done(RecordedResponse::new(200, Some("text/plain"), body))
}

/// Runs one history; the bytes of each step choose the operation and its arguments.
fn matches_reference_list(steps: Vec<u64>) -> bool {
    let mut reference = ReferenceList::default();
    let mut shards = vec![ClaimShard::default(); 3];
    let mut now_s = 100;
    steps.into_iter().all(|step| {
        let [a, b, c, d, e, f, ..] = step.to_le_bytes();
        now_s += u64::from(a % 4 == 0) * u64::from(b);
        let key = key(now_s.saturating_sub(u64::from(c % 40)), u64::from(d % 3));
        let holder = format!("a-{}", e % 4);
        let slot = usize::try_from(LAYOUT.window(&key) % 3).unwrap();
        let digest = key.digest();
        match f % 4 {
            0 | 1 => {
                let customer = if b % 8 == 0 { "bank" } else { "town" };
                let body: &[u8] = if b % 8 == 1 { b"other" } else { b"body" };
                let requested = request(&key, customer, body, &holder, now_s);
                shards[slot].begin(&requested, now_s)
                    == reference.begin(&key, &requested.claim, now_s)
            }
            2 => {
                let state = if b % 2 == 0 { ClaimState::Unknown } else { done(&[b]) };
                shards[slot].finish(digest, &holder.parse().unwrap(), &state);
                reference.finish(&key, &holder, &state);
                true
            }
            _ => serde_json::from_str::<ClaimShard>(&serde_json::to_string(&shards[slot]).unwrap())
                .is_ok_and(|it| it == shards[slot]),
        }
    })
}

#[test]
fn shard_decisions_match_a_reference_list_of_all_claims() {
    let cases = std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok());
    let cases = cases.unwrap_or(CASES);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(cases)
        .quickcheck(matches_reference_list as fn(Vec<u64>) -> bool);
}

#[test]
fn key_carries_its_issue_time_in_seconds() {
    assert_eq!(key(1_796_000_000, 1).issued_s(), 1_796_000_000);
    for text in ["", "17", ".x", "17.", "+17.x", "x.17", "99999999999999999999.x"] {
        assert!(text.parse::<ClaimKey>().is_err(), "{text}");
    }
}

#[test]
fn key_from_the_future_gets_no_claim_but_finds_an_existing_one() {
    let mut shard = ClaimShard::default();
    let ahead = request(&key(1_000, 1), "town", b"", "a-1", 100);
    assert_eq!(shard.begin(&ahead, 100), ClaimDecision::TooFarAhead);
    assert!(shard.is_empty());
    let by_another_clock = request(&key(1_000, 1), "town", b"", "a-2", 1_000);
    assert_eq!(shard.begin(&by_another_clock, 1_000), ClaimDecision::Granted);
    assert_eq!(shard.begin(&ahead, 100), ClaimDecision::InProgress);
}

#[test]
fn full_shard_refuses_and_stays_below_a_megabyte() {
    let mut shard = ClaimShard::default();
    let body = vec![1; 2_048];
    let granted = (0..10_000).take_while(|number| {
        let key = key(1_000, *number);
        let holder = format!("a-{number}");
        let requested = request(&key, "town", b"", &holder, 1_000);
        shard.begin(&requested, 1_000) == ClaimDecision::Granted
    });
    let granted = granted.count() as u64;
    assert!(granted > 1_000, "{granted}");
    for number in 0..granted {
        let holder = format!("a-{number}").parse().unwrap();
        shard.finish(key(1_000, number).digest(), &holder, &done(&body));
    }
    assert!(serde_json::to_string(&shard).unwrap().len() < 1_000_000);
    let last = shard.claim(key(1_000, granted - 1).digest()).unwrap();
    let ClaimState::Done(answer) = &last.state else { panic!("{last:?}") };
    assert_eq!(answer.body, RecordedBody::NotKept);
}

#[test]
fn recorded_body_is_exact_or_not_kept() {
    for body in [b"text".as_slice(), b"", b"\xff\x00\xfe"] {
        assert_eq!(RecordedResponse::new(200, None, body).body.bytes(), Some(body));
    }
    assert_eq!(RecordedResponse::new(200, None, &[b'a'; 4_096]).body.bytes(), None);
}

#[test]
fn attempt_may_not_send_once_either_clock_passes_its_time_limit() {
    let now = Instant::now();
    let holder = "a-1".parse().unwrap();
    let attempt = ClaimAttempt::new(key(100, 1), holder, Duration::from_secs(5), now, 100);
    assert!(attempt.may_send(now, 100));
    let ten_minutes = Duration::from_secs(600);
    assert!(!attempt.may_send(now + ten_minutes, 100), "the wall clock stood still");
    assert!(!attempt.may_send(now, 700), "the monotonic clock stood still");
}
