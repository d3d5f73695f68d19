//! Tests of the choice of a group for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use mangocross_policy::Candidate;
use mangocross_policy::PrefixHash;
use mangocross_policy::choose_group;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn candidate(name: &str, own_in_flight: u32, load: u32) -> Candidate {
    Candidate::new(name.parse().unwrap(), own_in_flight, load)
}

fn groups(loads: &[(u8, u8)]) -> Vec<Candidate> {
    let group = |(number, (own, load)): (usize, &(u8, u8))| {
        candidate(&format!("g{number}"), u32::from(*own % 4), u32::from(*load % 32))
    };
    loads.iter().enumerate().map(group).collect()
}

#[test]
fn prefix_goes_to_its_homes_until_they_are_loaded_more() {
    for prefix in (0..50).map(PrefixHash) {
        let even: Vec<Candidate> = groups(&[(0, 5); 10]);
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        for seed in 0..100 {
            let chosen = choose_group(&even, Some(prefix), seed).unwrap();
            *counts.entry(chosen.group.clone()).or_default() += 1;
        }
        assert!(counts.len() <= 2, "prefix {prefix} is spread over {counts:?}");
        let mut loaded = even.clone();
        for home in loaded.iter_mut().filter(|it| counts.contains_key(&it.group)) {
            home.estimated_load = 20;
        }
        let moved =
            |seed| !counts.contains_key(&choose_group(&loaded, Some(prefix), seed).unwrap().group);
        assert!((0..100).filter(|seed| moved(*seed)).count() > 90);
    }
}

#[test]
fn straggler_and_full_group_are_left_out_while_others_remain() {
    let slow = Some(Duration::from_secs(5));
    let fast = Some(Duration::from_millis(300));
    let groups = [
        candidate("slow", 0, 0).first_token(slow),
        candidate("full", 0, 0).at_limit(true),
        candidate("a", 1, 5).first_token(fast),
        candidate("b", 1, 5).first_token(fast),
    ];
    let chosen = |seed| choose_group(&groups, None, seed).unwrap().group.clone();
    let count = |name: &str| (0..1000).filter(|seed| chosen(*seed).as_str() == name).count();
    assert_eq!(count("full"), 0);
    assert!(count("slow") > 0, "its recovery must be noticed");
    assert!(count("slow") < 40);
    assert!(choose_group(&groups[1..2], None, 1).is_some());
    assert!(choose_group(&[], None, 1).is_none());
}

#[test]
fn choice_never_exceeds_the_best_by_more_than_the_stated_slack() {
    fn property(loads: Vec<(u8, u8)>, prefix: Option<u64>, seed: u64) -> bool {
        let groups = groups(&loads);
        let Some(chosen) = choose_group(&groups, prefix.map(PrefixHash), seed) else {
            return groups.is_empty();
        };
        let least = groups.iter().map(|it| it.own_in_flight).min().unwrap();
        chosen.own_in_flight == least
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(property as fn(Vec<(u8, u8)>, Option<u64>, u64) -> bool);
}

/// Sends requests to groups that finish them later, with reports that lag by `LAG`
/// requests, and returns the largest load that any group had.
fn largest_load(seed: u64, choose: impl Fn(&[Candidate], u64) -> usize) -> u32 {
    const GROUPS: usize = 8;
    const LAG: usize = 16;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut loads = vec![vec![0_u32; GROUPS]; LAG];
    let mut current = vec![0_u32; GROUPS];
    let mut in_flight = std::collections::VecDeque::new();
    let mut largest = 0;
    for step in 0..2_000 {
        let reported = &loads[step % LAG];
        let candidate = |it: usize| candidate(&format!("g{it}"), current[it], reported[it]);
        let candidates: Vec<Candidate> = (0..GROUPS).map(candidate).collect();
        let group = choose(&candidates, random.u64(..));
        current[group] += 1;
        largest = largest.max(current[group]);
        in_flight.push_back(group);
        if in_flight.len() > 40 {
            let done = in_flight.remove(random.usize(..40)).unwrap();
            current[done] -= 1;
        }
        loads[step % LAG] = current.clone();
    }
    largest
}

#[test]
fn loads_stay_closer_than_with_round_robin_and_random_choice() {
    for seed in 0..20 {
        let balanced = largest_load(seed, |groups, seed| {
            let chosen = choose_group(groups, None, seed).unwrap();
            groups.iter().position(|it| it.group == chosen.group).unwrap()
        });
        let next = std::cell::Cell::new(0);
        let round_robin = largest_load(seed, |groups, _| {
            next.set(next.get() + 1);
            next.get() % groups.len()
        });
        let random = largest_load(seed, |groups, seed| seed as usize % groups.len());
        assert!(balanced < round_robin, "seed {seed}: {balanced} against {round_robin}");
        assert!(balanced < random, "seed {seed}: {balanced} against {random}");
    }
}
