//! Invariants over random histories of coordinators, engines and a store.
//!
//! `MANGOCROSS_CASES` sets the number of histories of each test; a failure names its seed.

mod world;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use mangocross_types::FenceMode;
use world::Faults;
use world::World;

/// Histories of each test, unless set otherwise.
const CASES_DEFAULT: u64 = 200;
/// Threads that run histories.
const THREADS: u64 = 4;

fn cases() -> u64 {
    std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(CASES_DEFAULT)
}

fn run_histories(engines: bool) {
    let (requests, takeovers) = (AtomicU64::new(0), AtomicU64::new(0));
    let preloads = AtomicU64::new(0);
    let run = |seed| {
        let fence_mode = if seed % 2 == 0 { FenceMode::Honoured } else { FenceMode::Ignored };
        let mut world = World::new(seed, Faults { engines, fence_mode });
        world.run();
        requests.fetch_add(world.requests, Ordering::Relaxed);
        takeovers.fetch_add(world.takeovers, Ordering::Relaxed);
        preloads.fetch_add(world.preloads, Ordering::Relaxed);
    };
    thread::scope(|scope| {
        for first in 0..THREADS {
            scope.spawn(move || (first..cases()).step_by(THREADS as usize).for_each(run));
        }
    });
    println!(
        "{} histories: {requests:?} requests, {takeovers:?} takeovers, {preloads:?} preloads",
        cases()
    );
    assert!(requests.into_inner() > cases(), "the histories contain hardly any requests");
    assert!(preloads.into_inner() > cases(), "the histories contain hardly any preloads");
}

#[test]
fn no_request_is_aborted_without_engine_faults() {
    run_histories(false);
}

#[test]
fn health_leases_and_assignments_stay_valid_under_engine_faults() {
    run_histories(true);
}
