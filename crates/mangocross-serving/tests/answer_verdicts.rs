//! Walks the whole table of what an answer may become for the caller.

use mangocross_serving::AnswerAuthor;
use mangocross_serving::AnswerFacts;
use mangocross_serving::AnswerVerdict;
use mangocross_serving::PeerVerdict;
use mangocross_serving::UnusableAnswer;
use mangocross_serving::promises_not_run;

/// Statuses that tell a caller that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn authors() -> [Option<AnswerAuthor>; 5] {
    [
        None,
        Some(AnswerAuthor::Server),
        Some(AnswerAuthor::OwnNotRun),
        Some(AnswerAuthor::OwnCutOff),
        Some(AnswerAuthor::OwnUnknown),
    ]
}

/// Returns all combinations of a status and what else a head says.
fn all_facts() -> impl Iterator<Item = AnswerFacts> {
    (0..1000_u16).flat_map(|status| {
        (0..16_u8).map(move |bits| AnswerFacts {
            status,
            matches_attempt: bits & 1 != 0,
            is_signed: bits & 2 != 0,
            states_not_run: bits & 4 != 0,
            is_encoded: bits & 8 != 0,
        })
    })
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Guards against callers that get a success which is no server's, or a promise that no server made.
#[test]
fn what_is_passed_on_of_a_server_is_true() {
    assert!((0..1000).all(|it| promises_not_run(it) == PROMISES.contains(&it)));
    for facts in all_facts() {
        let verdict = facts.verdict();
        match verdict {
            AnswerVerdict::Success => {
                assert!(is_success(facts.status) && facts.is_signed, "{facts:?}");
                assert!(facts.matches_attempt && !facts.is_encoded, "{facts:?}");
                assert!(!facts.states_not_run, "{facts:?}");
            }
            AnswerVerdict::Failure => {
                assert!((300..600).contains(&facts.status), "{facts:?}");
                assert!(!PROMISES.contains(&facts.status) && facts.matches_attempt, "{facts:?}");
            }
            AnswerVerdict::NotRun => {
                assert!(facts.states_not_run && facts.matches_attempt, "{facts:?}");
                assert!(!is_success(facts.status), "{facts:?}");
            }
            AnswerVerdict::Unusable(it) => {
                assert!([502, 504].contains(&it.code().http_status()), "{facts:?}");
            }
        }
    }
}

/// Guards against servers' answers that are withheld although nothing speaks against them.
#[test]
fn sound_answers_are_passed_on() {
    let sound = |status: u16, is_signed: bool| AnswerFacts {
        status,
        matches_attempt: true,
        is_signed,
        states_not_run: false,
        is_encoded: false,
    };
    for status in 200..300 {
        assert_eq!(sound(status, true).verdict(), AnswerVerdict::Success);
    }
    for status in (300..600).filter(|it| !PROMISES.contains(it)) {
        for is_signed in [false, true] {
            assert_eq!(sound(status, is_signed).verdict(), AnswerVerdict::Failure, "{status}");
        }
    }
    for status in PROMISES {
        let stated = AnswerFacts { states_not_run: true, ..sound(status, false) };
        assert_eq!(stated.verdict(), AnswerVerdict::NotRun);
    }
}

/// Guards against requests that are sent to another entry VM although a server may have run them, and
/// against promises of another entry VM that it has not marked as its own.
#[test]
fn only_a_mark_tells_that_another_entry_vm_has_not_run_a_request() {
    for facts in all_facts() {
        for author in authors() {
            let case = format!("{author:?} {facts:?}");
            let is_own_not_run =
                matches!(author, Some(AnswerAuthor::OwnNotRun | AnswerAuthor::OwnCutOff));
            match facts.peer_verdict(author) {
                PeerVerdict::CutOff => assert_eq!(author, Some(AnswerAuthor::OwnCutOff), "{case}"),
                PeerVerdict::OtherConfiguration => {
                    assert_eq!(author, Some(AnswerAuthor::OwnNotRun), "{case}");
                }
                PeerVerdict::Answer => {
                    assert!(is_own_not_run || !PROMISES.contains(&facts.status), "{case}");
                    assert!(!is_success(facts.status) || facts.is_signed, "{case}");
                    assert!((200..600).contains(&facts.status), "{case}");
                }
                PeerVerdict::Unusable(it) => {
                    assert!([502, 504].contains(&it.code().http_status()), "{case}");
                }
            }
        }
    }
}

/// Guards against refusals of another entry VM that do not reach the caller as refusals.
#[test]
fn marked_refusals_are_passed_on() {
    let refusal = |status: u16| AnswerFacts {
        status,
        matches_attempt: true,
        is_signed: false,
        states_not_run: false,
        is_encoded: false,
    };
    let own = Some(AnswerAuthor::OwnNotRun);
    assert_eq!(refusal(503).peer_verdict(own), PeerVerdict::Answer);
    assert_eq!(refusal(413).peer_verdict(own), PeerVerdict::Answer);
    assert_eq!(refusal(404).peer_verdict(own), PeerVerdict::OtherConfiguration);
    assert_eq!(refusal(404).peer_verdict(Some(AnswerAuthor::Server)), PeerVerdict::Answer);
    let unmarked = PeerVerdict::Unusable(UnusableAnswer::Unmarked);
    assert_eq!(refusal(404).peer_verdict(None), unmarked);
    for author in authors() {
        assert_eq!(author.map(|it| it.to_string().parse()), author.map(Ok));
    }
}
