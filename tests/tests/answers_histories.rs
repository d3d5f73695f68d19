//! Over generated histories of faults, a caller receives a prefix of its own answer, and all of it
//! if the answer is marked as complete.
//!
//! `MANGOCROSS_CASES=1000000 cargo test -p mangocross-tests --release --test answers_histories`
//! runs many more histories; a failure reports its seed.

use std::net::SocketAddr;
use std::time::Instant;

use mangocross_coordination::HealthLeaseTable;
use mangocross_coordination::LeasedGroup;
use mangocross_coordination::ResponseProgress;
use mangocross_types::AttemptId;
use mangocross_types::FencingNumber;
use mangocross_types::HealthLease;
use mangocross_types::Incarnation;
use mangocross_types::Priority;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;
use peer_engine::FinishReason;
use peer_engine::GenerateEvent;
use peer_engine::GenerateLine;
use peer_engine::GenerateRequest;
use peer_engine::LineChecker;

const CASES: u64 = 5_000;
const ATTEMPTS_MAX: u32 = 4;

/// The answer that a caller received.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    tokens: Vec<String>,
    complete: bool,
    outcome: RunOutcome,
}

fn cases() -> u64 {
    std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(CASES)
}

fn text(index: u32) -> String {
    format!("t{index}")
}

fn attempt_id(number: u32) -> AttemptId {
    format!("a-{number}").parse().unwrap()
}

/// Returns a group with a health lease that was just recorded.
fn group() -> LeasedGroup {
    let lease = HealthLease {
        group: "g-1".parse().unwrap(),
        domain: "d-1".parse().unwrap(),
        incarnation: Incarnation(1),
        fencing_number: FencingNumber(1),
        model: "m-1".parse().unwrap(),
        model_version: "v1".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        remaining_ms: 1_000,
        accepts_new: true,
        load: 0,
        load_age_ms: 0,
    };
    let (mut table, now) = (HealthLeaseTable::default(), Instant::now());
    table.record(&lease, now);
    table.get(&lease.group, now).unwrap().clone()
}

fn request(number: u32, max_tokens: u32, resume_from: TokenIndex) -> GenerateRequest {
    GenerateRequest {
        request_id: "r-1".parse().unwrap(),
        attempt_id: attempt_id(number),
        group: "g-1".parse().unwrap(),
        incarnation: Incarnation(1),
        model_version: "v1".parse().unwrap(),
        prompt: String::new(),
        max_tokens,
        resume_from,
        priority: Priority(0),
    }
}

/// Returns the lines that an engine without faults sends.
fn lines(request: &GenerateRequest) -> Vec<GenerateLine> {
    let attempt_id = &request.attempt_id;
    let mut lines: Vec<GenerateLine> = (request.resume_from.0..request.max_tokens)
        .map(|it| GenerateLine::Token {
            attempt_id: attempt_id.clone(),
            token_index: TokenIndex(it),
            text: text(it),
        })
        .collect();
    let (end, tokens) = (FinishReason::Length, request.max_tokens);
    lines.push(GenerateLine::End { attempt_id: attempt_id.clone(), end, tokens });
    lines
}

/// Corrupts the lines of an engine: late, swapped, repeated, skipped and truncated ones.
fn corrupt(lines: &mut Vec<GenerateLine>, number: u32, random: &mut fastrand::Rng) {
    for _ in 0..random.usize(..3) {
        if lines.is_empty() {
            return;
        }
        let at = random.usize(..lines.len());
        match random.u8(..6) {
            0 => lines.truncate(at),
            1 => drop(lines.remove(at)),
            2 => lines.insert(at, lines[at].clone()),
            3 => {
                let other = random.usize(..lines.len());
                lines.swap(at, other);
            }
            4 => {
                // A line of another attempt, with the position that is expected now.
                let late = match lines[at].clone() {
                    GenerateLine::Token { token_index, .. } => GenerateLine::Token {
                        attempt_id: attempt_id(number + 1),
                        token_index,
                        text: "of another".into(),
                    },
                    GenerateLine::End { end, tokens, .. } => {
                        GenerateLine::End { attempt_id: attempt_id(number + 1), end, tokens }
                    }
                };
                lines.insert(at, late);
            }
            _ => {
                if let GenerateLine::End { tokens, .. } = &mut lines[at] {
                    *tokens += 1;
                }
            }
        }
    }
}

/// Relays attempts until one is complete, as the gateway does.
fn relay(max_tokens: u32, idempotent: bool, random: &mut fastrand::Rng) -> Received {
    let mut progress = ResponseProgress::new(idempotent, ATTEMPTS_MAX);
    let mut tokens = Vec::new();
    let mut number = 0;
    while progress.may_attempt() {
        number += 1;
        let request = request(number, max_tokens, progress.next_token());
        progress.begin_attempt(&group());
        if random.u8(..8) == 0 {
            progress.record_failure(RunOutcome::NotRun);
            continue;
        }
        let mut lines = lines(&request);
        corrupt(&mut lines, number, random);
        let mut checker = LineChecker::new(&request);
        for line in &lines {
            match checker.check(&serde_json::to_vec(line).unwrap()) {
                Ok(GenerateEvent::Token { token_index, text }) => {
                    if progress.record_token(token_index) {
                        tokens.push(text);
                    }
                }
                Ok(GenerateEvent::End(_)) => {
                    return Received { tokens, complete: true, outcome: progress.outcome() };
                }
                Err(_) => break,
            }
        }
        progress.record_failure(RunOutcome::Unknown);
    }
    Received { tokens, complete: false, outcome: progress.outcome() }
}

/// Relays one attempt and accepts every line unchecked.
fn relay_unchecked(max_tokens: u32, random: &mut fastrand::Rng) -> Received {
    let mut lines = lines(&request(1, max_tokens, TokenIndex(0)));
    corrupt(&mut lines, 1, random);
    let mut tokens = Vec::new();
    for line in lines {
        match line {
            GenerateLine::Token { text, .. } => tokens.push(text),
            GenerateLine::End { .. } => {
                return Received { tokens, complete: true, outcome: RunOutcome::Ran };
            }
        }
    }
    Received { tokens, complete: true, outcome: RunOutcome::Ran }
}

#[test]
fn tokens_are_delivered_once_and_in_order() {
    let (mut complete, mut unchecked_wrong) = (0, 0);
    for seed in 0..cases() {
        let mut random = fastrand::Rng::with_seed(seed);
        let max_tokens = random.u32(1..12);
        let expected: Vec<String> = (0..max_tokens).map(text).collect();
        let received = relay(max_tokens, true, &mut random);
        assert!(expected.starts_with(&received.tokens), "seed {seed}: {received:?}");
        if received.complete {
            assert_eq!(received.tokens, expected, "seed {seed}");
            complete += 1;
        }
        if !received.tokens.is_empty() {
            assert_eq!(received.outcome, RunOutcome::Ran, "seed {seed}");
        }
        let unchecked = relay_unchecked(max_tokens, &mut fastrand::Rng::with_seed(seed));
        unchecked_wrong += u64::from(unchecked.tokens != expected);
    }
    println!("{} histories, {complete} complete, {unchecked_wrong} wrong without checks", cases());
    assert!(
        complete > 0 && unchecked_wrong > 0,
        "the histories have no faults, or nothing but faults"
    );
}

#[test]
fn non_idempotent_request_is_retried_only_until_it_may_have_run() {
    for seed in 0..cases() {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut progress = ResponseProgress::new(false, ATTEMPTS_MAX);
        let mut may_have_run = 0;
        while progress.may_attempt() {
            progress.begin_attempt(&group());
            if random.bool() {
                progress.record_failure(RunOutcome::NotRun);
            } else {
                may_have_run += 1;
                if random.bool() {
                    progress.record_token(TokenIndex(0));
                }
                progress.record_failure(RunOutcome::Unknown);
            }
        }
        assert!(may_have_run <= 1, "seed {seed}");
        assert_eq!(progress.outcome() == RunOutcome::NotRun, may_have_run == 0, "seed {seed}");
    }
}
