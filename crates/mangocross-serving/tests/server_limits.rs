//! Limits that servers name: the requests of all entry VMs together keep to them.

use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::EngineStatus;
use mangocross_serving::LimitChange;
use mangocross_serving::LimitNotice;
use mangocross_serving::LimitReport;
use mangocross_serving::Moment;
use mangocross_serving::RequestCounts;
use mangocross_serving::RequestShares;
use mangocross_serving::ServerLimits;
use mangocross_types::RequestRate;
use mangocross_types::ServiceId;

const SECOND: Duration = Duration::from_secs(1);
/// Time between two steps of a simulated fleet.
const STEP: Duration = Duration::from_millis(25);
/// Time over which the requests that a server gets are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time at the end of a run over which the mean rate is measured.
const RATE_TIME: Duration = Duration::from_secs(20);

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).expect("a rate")
}

fn limited(per_s: f64) -> LimitNotice {
    LimitNotice::Limited(rate(per_s))
}

fn service() -> ServiceId {
    "models".parse().expect("a valid id")
}

fn server(born_unix_ms: u64) -> BackendServer {
    BackendServer {
        vm: "i-1".parse().expect("a valid id"),
        service: service(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "zone-a".parse().expect("a valid name"),
        slots: 4,
        is_leaving: false,
        engine: EngineStatus { born_unix_ms, ..EngineStatus::default() },
    }
}

/// Demand of a fleet at one limited server.
struct Fleet {
    entry_vms: usize,
    limit_per_s: f64,
    /// Chance that an entry VM has a request for the server in a step.
    demand: fn(vm: usize, now: Moment) -> f64,
}

impl Fleet {
    /// Returns the highest number of requests in a window, and the number in `RATE_TIME`.
    fn run(&self, seed: u64) -> (usize, usize) {
        let mut random = fastrand::Rng::with_seed(seed);
        let listed = server(7);
        let share = 1.0 / self.entry_vms as f64;
        let mut limits: Vec<ServerLimits> =
            (0..self.entry_vms).map(|_| ServerLimits::default()).collect();
        for it in &mut limits {
            let draws = (share, random.f64());
            it.record_answer((&listed.vm, 7), limited(self.limit_per_s), at(0), at(1), draws);
        }
        let mut sent: Vec<Moment> = Vec::new();
        let mut now = at(1);
        while now < at(30_000) {
            now = now + STEP;
            for (vm, it) in limits.iter_mut().enumerate() {
                it.refresh(now, |_| share);
                if random.f64() < (self.demand)(vm, now) && it.has_room(&listed, now) {
                    it.record_request(&listed.vm, now);
                    sent.push(now);
                }
            }
        }
        let windows = sent.iter().enumerate().map(|(first, begin)| {
            sent[first..].iter().take_while(|it| it.since(*begin) < WINDOW).count()
        });
        let late = sent.iter().filter(|it| now.since(**it) < RATE_TIME).count();
        (windows.max().unwrap_or_default(), late)
    }

    fn allowed(&self) -> f64 {
        1.5 * self.limit_per_s * WINDOW.as_secs_f64() + 5.0
    }
}

/// Each entry VM always has a request for the server.
#[test]
fn busy_fleet_uses_the_limit_and_keeps_to_it() {
    for entry_vms in [1, 6, 30, 100, 295] {
        for limit_per_s in [0.3, 2.4, 4.2, 11.0] {
            let fleet = Fleet { entry_vms, limit_per_s, demand: |_, _| 1.0 };
            for seed in 0..3 {
                let (busiest, late) = fleet.run(seed);
                let case = format!("{entry_vms} VMs, {limit_per_s}/s, seed {seed}");
                assert!(busiest as f64 <= fleet.allowed(), "{case}: {busiest} in a window");
                let expected = limit_per_s * RATE_TIME.as_secs_f64();
                // Many VMs with rare slots send like a Poisson process.
                let spread = 3.0 * expected.sqrt() + 1.0;
                assert!(
                    (late as f64 - expected).abs() <= spread,
                    "{case}: {late} in {RATE_TIME:?}"
                );
            }
        }
    }
}

/// All entry VMs turn to a server at once that had next to nothing to do.
#[test]
fn burst_at_an_idle_server_keeps_to_its_limit() {
    for entry_vms in [6, 30, 100, 295] {
        for limit_per_s in [2.4, 11.0] {
            let demand = |_, now: Moment| if now < at(15_000) { 0.0 } else { 1.0 };
            let fleet = Fleet { entry_vms, limit_per_s, demand };
            for seed in 0..3 {
                let (busiest, _) = fleet.run(seed);
                let case = format!("{entry_vms} VMs, {limit_per_s}/s, seed {seed}");
                assert!(busiest as f64 <= fleet.allowed(), "{case}: {busiest} in a window");
            }
        }
    }
}

#[test]
fn limit_ends_with_an_answer_to_a_later_request_that_names_none() {
    let mut limits = ServerLimits::default();
    let listed = server(7);
    let key = (&listed.vm, 7);
    let draws = (1.0, 0.5);
    assert_eq!(limits.record_answer(key, limited(0.5), at(0), at(10), draws), LimitChange::Begun);
    assert!(!limits.has_room(&listed, at(10)));
    // The request was sent before the answer that named the limit came.
    let unlimited = LimitNotice::Unlimited;
    assert_eq!(limits.record_answer(key, unlimited, at(5), at(20), draws), LimitChange::None);
    assert!(limits.is_limited(&listed));
    let unreadable = LimitNotice::Unreadable;
    assert_eq!(limits.record_answer(key, unreadable, at(25), at(30), draws), LimitChange::None);
    assert!(limits.is_limited(&listed));
    assert_eq!(limits.record_answer(key, unlimited, at(30), at(40), draws), LimitChange::Ended);
    assert!(limits.has_room(&listed, at(40)));
}

#[test]
fn limit_holds_for_one_life_of_a_server() {
    let mut limits = ServerLimits::default();
    let listed = server(7);
    let draws = (1.0, 1.0);
    limits.record_answer((&listed.vm, 7), limited(0.5), at(0), at(10), draws);
    assert!(!limits.has_room(&server(6), at(10)), "an entry of an earlier life");
    assert!(limits.has_room(&server(8), at(10)), "a later life");
    limits.record_answer((&listed.vm, 8), limited(0.5), at(11), at(12), draws);
    let late = limits.record_answer((&listed.vm, 7), LimitNotice::Unlimited, at(20), at(21), draws);
    assert_eq!(late, LimitChange::None);
    assert!(limits.is_limited(&server(8)));
}

/// Nothing would be heard of the end of the limit if nothing were sent.
#[test]
fn server_that_takes_nothing_is_asked_again_seldom() {
    let mut limits = ServerLimits::default();
    let listed = server(7);
    limits.record_answer((&listed.vm, 7), limited(0.0), at(0), at(0), (1.0, 1.0));
    assert!(!limits.has_room(&listed, at(3_900)));
    assert!(limits.has_room(&listed, at(4_000)));
}

#[test]
fn newest_word_of_a_limit_is_in_force() {
    let mut limits = ServerLimits::default();
    let draws = (1.0, 0.5);
    let report = |limit: Option<f64>, age_ms| LimitReport {
        vm: server(7).vm,
        born_unix_ms: 7,
        limit: limit.map(rate),
        age_ms,
    };
    let told = limits.record_report(&report(Some(2.0), 100), at(1_000), draws);
    assert_eq!(told, LimitChange::Begun);
    assert_eq!(limits.reports(at(1_000)), [report(Some(2.0), 100)]);
    assert_eq!(limits.record_report(&report(None, 200), at(1_010), draws), LimitChange::None);
    assert_eq!(limits.record_report(&report(None, 20), at(1_020), draws), LimitChange::Ended);
    // The end is told for a while, so that late reports of the limit do not bring it back.
    assert_eq!(limits.reports(at(1_030)), [report(None, 30)]);
    assert_eq!(limits.record_report(&report(Some(2.0), 200), at(1_040), draws), LimitChange::None);
    limits.expire(at(20_000), |_| true);
    assert!(limits.is_empty());
}

#[test]
fn entry_vms_share_a_limit_by_their_requests() {
    let counts =
        |entry_vms, requests| RequestCounts { entry_vms, requests: vec![(service(), requests)] };
    let mut shares = RequestShares::default();
    let own = counts(1, 29);
    let share = |it: &RequestShares, now| it.share(&own, &service(), 3, now);
    assert!((share(&shares, at(0)) - 1.0 / 3.0).abs() < 1e-9, "nothing is known of the others");
    shares.record(Arc::from("front-2"), counts(1, 9), at(0));
    assert!((share(&shares, at(0)) - 0.5).abs() < 1e-9, "one of them counts like the mean");
    shares.record(Arc::from("front-3"), counts(1, 0), at(0));
    assert!((share(&shares, at(0)) - 30.0 / 41.0).abs() < 1e-9);
    let sum = shares.sum(&own, at(0));
    assert_eq!(sum, counts(3, 38));
    let mut told = RequestShares::default();
    told.record(Arc::from("planner"), sum, at(0));
    assert!((share(&told, at(0)) - 30.0 / 41.0).abs() < 1e-9);
    assert!((share(&told, at(0) + 4 * SECOND) - 1.0 / 3.0).abs() < 1e-9, "the sum has expired");
}
