//! Differences between two texts of a document.

use std::fmt::Write;

use mangocross_types::Configuration;
use mangocross_types::GroupSpec;
use peer_entry::Delta;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Size and seed of the generated cases.
const GEN_SIZE: usize = 100;
const SEED: u64 = 17;
/// Larger than any text of these tests.
const BYTES_MAX: usize = 1024 * 1024;

fn text(items: &[u8]) -> String {
    items.iter().fold(String::from("["), |mut text, item| {
        write!(text, "{{\"id\":{item}}},").expect("memory");
        text
    })
}

#[test]
fn difference_reproduces_the_newer_text() {
    fn property(older: Vec<u8>, newer: Vec<u8>) -> bool {
        let (older, newer) = (text(&older), text(&newer));
        Delta::between(&older, &newer).apply(&older, BYTES_MAX) == Some(newer)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(5_000)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn difference_of_arbitrary_texts_reproduces_the_newer_one() {
    fn property(older: String, newer: String) -> bool {
        Delta::between(&older, &newer).apply(&older, BYTES_MAX) == Some(newer)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(2_000)
        .quickcheck(property as fn(String, String) -> bool);
}

#[test]
fn difference_from_another_text_is_refused() {
    fn property(older: Vec<u8>, newer: Vec<u8>, other: Vec<u8>) -> bool {
        let (older, newer, other) = (text(&older), text(&newer), text(&other));
        let made = Delta::between(&older, &newer).apply(&other, BYTES_MAX);
        made.is_none_or(|it| it == newer)
    }
    type Property = fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(5_000)
        .quickcheck(property as Property);
    let delta = Delta::between("[{1},{2}", "[{1},{3}");
    assert_eq!(delta.apply("[{1},{2}", 4), None);
    assert_eq!(delta.apply("", BYTES_MAX), None);
}

#[test]
fn change_of_one_group_among_many_has_a_small_difference() {
    let group = |number: usize| GroupSpec {
        id: format!("group-{number}").parse().unwrap(),
        model: "letters".parse().unwrap(),
        model_version: "v1".parse().unwrap(),
        size: mangocross_types::GroupSize(16),
        desired: mangocross_types::DesiredState::Serving,
        domain: None,
        customers: Vec::new(),
        kinds: Vec::new(),
    };
    let mut configuration =
        Configuration { groups: (0..438).map(group).collect(), ..Configuration::default() };
    let older = serde_json::to_string(&configuration).unwrap();
    configuration.groups[200].desired = mangocross_types::DesiredState::Drained;
    configuration.groups.remove(17);
    let newer = serde_json::to_string(&configuration).unwrap();
    let delta = Delta::between(&older, &newer);
    assert_eq!(delta.apply(&older, BYTES_MAX).as_deref(), Some(newer.as_str()));
    let size = serde_json::to_string(&delta).unwrap().len();
    println!("{} bytes of the document, {size} of the difference", newer.len());
    assert!(size * 50 < newer.len(), "{size} of {} bytes", newer.len());
}
