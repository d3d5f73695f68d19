//! Which group a request goes to.

use std::time::Duration;

use mangocross_policy::Candidate;
use mangocross_policy::PrefixHash;
use mangocross_policy::choose_group;

fn candidate(name: &str, load: u32) -> Candidate {
    Candidate::new(name.parse().unwrap(), 0, load)
}

#[test]
fn prefix_goes_to_its_holder_until_the_holder_is_loaded_more() {
    let prefix = Some(PrefixHash(7));
    for seed in 0..200 {
        let near = [candidate("a", 2).holds_prefix(true), candidate("b", 0)];
        assert_eq!(choose_group(&near, prefix, seed).unwrap().group.as_str(), "a");
        let far = [candidate("a", 20).holds_prefix(true), candidate("b", 0)];
        let chosen = choose_group(&far, prefix, seed).unwrap().group.clone();
        let both_choices_fell_on_a = choose_group(&far, None, seed).unwrap().group == chosen;
        assert!(chosen.as_str() == "b" || both_choices_fell_on_a);
    }
}

#[test]
fn straggler_and_full_group_are_left_out_while_others_remain() {
    let slow = Some(Duration::from_secs(5));
    let fast = Some(Duration::from_millis(300));
    let groups = [
        candidate("slow", 0).first_token(slow),
        candidate("full", 0).at_limit(true),
        candidate("a", 5).first_token(fast),
        candidate("b", 5).first_token(fast),
    ];
    let chosen = |seed| choose_group(&groups, None, seed).unwrap().group.clone();
    let count = |name: &str| (0..1000).filter(|seed| chosen(*seed).as_str() == name).count();
    assert_eq!(count("full"), 0);
    assert!(count("slow") > 0, "its recovery must be seen");
    assert!(count("slow") < 40);
    assert!(choose_group(&groups[1..2], None, 1).is_some());
    assert!(choose_group(&[], None, 1).is_none());
}
