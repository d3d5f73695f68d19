//! Runs several processes of the program under random external faults.
//!
//! `MANGOCROSS_SOAK_SEEDS=100-149 cargo test -p mangocross-front --test front soak` runs more
//! seeds, `MANGOCROSS_SOAK_SECONDS` sets how long faults are injected for each seed, and
//! `MANGOCROSS_SOAK_LOGS` the directory for the logs of the entry VMs.

mod checks;
mod deployment;
mod faults;
mod troubles;

use std::ops::RangeInclusive;
use std::time::Duration;

use self::deployment::Deployment;
use self::faults::Faults;

/// Default time for which faults are injected for each seed, in seconds.
const SECONDS_DEFAULT: u64 = 6;
/// Seeds that are run unless `MANGOCROSS_SOAK_SEEDS` is set.
const SEEDS_DEFAULT: RangeInclusive<u64> = 1..=2;
/// Seeds that are multiples of this have sound processes and links; one of them is always run.
const SOUND_SEED: u64 = 5;
/// Seeds that once failed, each with the defect that they revealed.
const REGRESSIONS: [(u64, &str); 2] = [
    (124, "a relay continued a connection after dropping some of its bytes"),
    (132, "the stand-in of an engine continued to serve after a member was removed from its group"),
];

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("MANGOCROSS_SOAK_SEEDS") else { return SEEDS_DEFAULT };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let parse = |it: &str| it.parse().expect("MANGOCROSS_SOAK_SEEDS is a seed or FIRST-LAST");
    parse(first)..=parse(last)
}

fn seconds() -> u64 {
    let text = std::env::var("MANGOCROSS_SOAK_SECONDS");
    text.map_or(SECONDS_DEFAULT, |it| it.parse().expect("MANGOCROSS_SOAK_SECONDS is a number"))
}

/// Runs one seed and returns the violated guarantees.
fn run_seed(seed: u64) -> Vec<String> {
    let mut deployment = Deployment::start();
    deployment.wait_until_served();
    let callers = deployment.start_callers(seed);
    let faults = if seed.is_multiple_of(SOUND_SEED) { Faults::SoundServers } else { Faults::All };
    faults::inject(&mut deployment, seed, faults, Duration::from_secs(seconds()));
    let mut violations = deployment.unserved_within_recovery();
    let mut outcomes = callers.stop();
    let crashing = deployment.crashing_callers.drain(..);
    outcomes.extend(crashing.map(|it| it.join().expect("a caller does not fail")));
    if faults == Faults::SoundServers {
        violations.extend(checks::cut_answers(&outcomes));
    }
    violations.extend(checks::violations(&deployment, &outcomes));
    let served = outcomes.iter().filter(|it| it.status == 200 && it.is_whole).count();
    println!(
        "seed {seed}: {} requests, {served} served, violations: {violations:?}",
        outcomes.len()
    );
    violations
}

#[test]
fn soak_keeps_the_promises() {
    let regressions = REGRESSIONS.iter().map(|(seed, _)| *seed);
    let failed: Vec<(u64, Vec<String>)> = regressions
        .chain([SOUND_SEED])
        .chain(seeds())
        .map(|seed| (seed, run_seed(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
