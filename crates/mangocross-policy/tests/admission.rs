//! Tests of limits over all gateways, shares under overload, and refusals.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::AdmissionDecision;
use mangocross_policy::AdmissionLimiter;
use mangocross_policy::AdmissionRequest;
use mangocross_policy::AdmissionView;
use mangocross_policy::OtherUsage;
use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::CustomerSpec;
use mangocross_types::KindSpec;
use mangocross_types::KindTarget;
use mangocross_types::Priority;
use mangocross_types::Refusal;
use mangocross_types::RequestsPerSecond;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const REPORT_AGE: Duration = Duration::from_secs(1);

fn cases() -> u64 {
    std::env::var("MANGOCROSS_CASES").ok().and_then(|it| it.parse().ok()).unwrap_or(200)
}

fn customer(name: &str, per_second: u32, in_flight_max: u32) -> CustomerSpec {
    CustomerSpec {
        id: name.parse().unwrap(),
        requests_per_second: RequestsPerSecond(per_second),
        in_flight_max,
        priority: Priority(0),
    }
}

fn kind(name: &str, priority: u8) -> KindSpec {
    KindSpec {
        id: name.parse().unwrap(),
        target: KindTarget::Model("m".parse().unwrap()),
        idempotent: true,
        priority: Priority(priority),
        deadline_ms: 10_000,
    }
}

fn configuration(per_second: u32, in_flight_max: u32) -> Configuration {
    Configuration {
        customers: ["large", "small"].map(|it| customer(it, per_second, in_flight_max)).to_vec(),
        kinds: vec![kind("draft", 5), kind("status", 1)],
        ..Configuration::default()
    }
}

fn request(customer: &str, kind: &str) -> AdmissionRequest {
    AdmissionRequest {
        customer: customer.parse().unwrap(),
        kind: kind.parse().unwrap(),
        priority: None,
        time_left: Duration::from_secs(10),
        cost: 1,
    }
}

/// Several gateways that receive each other's reports once a second unless they are cut off.
struct Gateways {
    start: Instant,
    configuration: Configuration,
    limiters: Vec<AdmissionLimiter>,
    others: Vec<BTreeMap<CustomerId, OtherUsage>>,
    cut_off: Vec<bool>,
    capacity: u32,
}

impl Gateways {
    fn new(configuration: Configuration, count: usize, capacity: u32) -> Self {
        Self {
            start: Instant::now(),
            configuration,
            limiters: vec![AdmissionLimiter::default(); count],
            others: vec![BTreeMap::new(); count],
            cut_off: vec![false; count],
            capacity,
        }
    }

    fn decide(&mut self, at: usize, request: &AdmissionRequest, now_ms: u64) -> Option<Refusal> {
        let view = AdmissionView {
            configuration: &self.configuration,
            others: &self.others[at],
            report_age: (!self.cut_off[at]).then_some(REPORT_AGE),
            gateways: self.limiters.len() as u32,
            capacity: self.capacity,
            expected_first_token: Duration::from_millis(300),
            now: self.start + Duration::from_millis(now_ms),
            seed: now_ms,
        };
        match self.limiters[at].decide(request, &view) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse(refusal) => Some(refusal),
        }
    }

    fn finish(&mut self, at: usize, customer: &str, now_ms: u64) {
        let now = self.start + Duration::from_millis(now_ms);
        self.limiters[at].record_end(&customer.parse().unwrap(), now);
    }

    /// Reports the usage of the gateways that are not cut off to each other gateway.
    fn exchange(&mut self, now_ms: u64) {
        let now = self.start + Duration::from_millis(now_ms);
        let id: CustomerId = "large".parse().unwrap();
        let usage: Vec<(u32, u32)> =
            self.limiters.iter_mut().map(|it| it.usage(&id, now)).collect();
        for own in 0..self.limiters.len() {
            let is_reachable = |it: &usize| *it != own && !self.cut_off[*it];
            let rest: Vec<(u32, u32)> =
                (0..usage.len()).filter(is_reachable).map(|it| usage[it]).collect();
            let others = OtherUsage {
                in_flight: rest.iter().map(|it| it.0).sum(),
                demand_per_second: rest.iter().map(|it| it.1).sum(),
                age: REPORT_AGE,
            };
            self.others[own] = BTreeMap::from([(id.clone(), others)]);
        }
    }
}

#[test]
fn rate_over_all_gateways_stays_within_its_bound() {
    for seed in 0..cases() {
        let mut random = fastrand::Rng::with_seed(seed);
        let (count, cut) = (random.usize(2..9), random.usize(..3));
        let limit = random.u32(5..100);
        let mut gateways = Gateways::new(configuration(limit, 100_000), count, 100_000);
        gateways.cut_off.iter_mut().take(cut).for_each(|it| *it = true);
        let shares: Vec<u64> = (0..count).map(|_| random.u64(1..20)).collect();
        let mut admitted = 0.0;
        for now_ms in 0..20_000 {
            if now_ms % 1_000 == 0 {
                gateways.exchange(now_ms);
            }
            for (at, share) in shares.iter().enumerate() {
                if random.u64(..100) < *share {
                    let refused = gateways.decide(at, &request("large", "draft"), now_ms);
                    admitted += f64::from(u8::from(refused.is_none() && now_ms >= 5_000));
                }
            }
        }
        let cut_share = cut.min(count) as f64 / count as f64;
        let bound = 15.0 * f64::from(limit) * (1.0 + cut_share) * 1.1
            + f64::from(limit)
            + 3.0 * count as f64;
        assert!(admitted <= bound, "seed {seed}: {admitted} over {bound}");
        let demand: u64 = shares.iter().map(|it| it * 150).sum();
        let least = 0.85 * (15.0 * f64::from(limit)).min(demand as f64);
        let any_cut_off = cut > 0;
        assert!(any_cut_off || admitted >= least, "seed {seed}: {admitted} under {least}");
    }
}

#[test]
fn in_flight_over_all_gateways_stays_within_its_bound() {
    for seed in 0..cases() {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(2..9);
        let limit = random.u32(8..60);
        let mut gateways = Gateways::new(configuration(100_000, limit), count, 100_000);
        let cut = random.usize(..3).min(count);
        gateways.cut_off.iter_mut().take(cut).for_each(|it| *it = true);
        let mut in_flight: Vec<usize> = Vec::new();
        for now_ms in 0..10_000 {
            if now_ms % 1_000 == 0 {
                gateways.exchange(now_ms);
            }
            let at = random.usize(..count);
            if gateways.decide(at, &request("large", "draft"), now_ms).is_none() {
                in_flight.push(at);
            }
            if !in_flight.is_empty() && random.u32(..100) < 3 {
                let at = in_flight.swap_remove(random.usize(..in_flight.len()));
                gateways.finish(at, "large", now_ms);
            }
            let cut_share = cut as f64 / count as f64;
            let bound = f64::from(limit) * (1.0 + cut_share) * 1.25 + count as f64;
            let has_settled = now_ms >= 5_000;
            assert!(
                !has_settled || in_flight.len() as f64 <= bound,
                "seed {seed}: {} over {bound}",
                in_flight.len()
            );
        }
    }
}

/// Two customers at one gateway, in any order of requests and ends.
#[test]
fn small_customer_within_its_share_is_never_refused_while_a_large_one_is_admitted() {
    fn property(steps: Vec<u8>, capacity: u8) -> bool {
        let capacity = u32::from(capacity % 60) + 4;
        let mut gateways = Gateways::new(configuration(100_000, 100_000), 1, capacity);
        let (mut large, mut small) = (0_u32, 0_u32);
        for (now_ms, step) in steps.iter().enumerate() {
            let now_ms = now_ms as u64;
            let is_admitted = |who: &str, gateways: &mut Gateways| {
                gateways.decide(0, &request(who, "draft"), now_ms).is_none()
            };
            match step % 4 {
                0 if small > 0 => {
                    gateways.finish(0, "small", now_ms);
                    small -= 1;
                }
                1 => {
                    let share = f64::from(large + small + 1) * 0.8 / 2.0;
                    let small_is_within = f64::from(small + 1) <= share.max(1.0);
                    let large_is_over = f64::from(large + 1) > share.max(1.0);
                    let mut copy = Gateways {
                        limiters: gateways.limiters.clone(),
                        ..Gateways::new(gateways.configuration.clone(), 1, capacity)
                    };
                    copy.start = gateways.start;
                    let large_admitted = is_admitted("large", &mut copy);
                    let small_admitted = is_admitted("small", &mut gateways);
                    if small_is_within && large_is_over && large_admitted && !small_admitted {
                        return false;
                    }
                    small += u32::from(small_admitted);
                }
                _ => large += u32::from(is_admitted("large", &mut gateways)),
            }
        }
        let exceeds_capacity = f64::from(large + small) > f64::from(capacity).max(1.0);
        !exceeds_capacity
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(cases())
        .max_tests(cases() * 10)
        .quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn large_customer_leaves_room_for_a_small_one() {
    let mut gateways = Gateways::new(configuration(100_000, 100_000), 1, 100);
    for now_ms in 0..1_000 {
        gateways.decide(0, &request("large", "draft"), now_ms);
    }
    let small = |now_ms| gateways.decide(0, &request("small", "draft"), now_ms).is_none();
    assert_eq!((1_000..1_020).map(small).filter(|it| *it).count(), 15);
}

#[test]
fn other_kinds_are_shed_before_first_kinds() {
    let mut configuration = configuration(100_000, 100_000);
    configuration.policy.first_kinds = vec!["draft".parse().unwrap()];
    let mut gateways = Gateways::new(configuration, 1, 100);
    let mut admitted = |kind: &str, from_ms: u64| {
        let requests = (from_ms..from_ms + 200)
            .map(|now_ms| gateways.decide(0, &request("large", kind), now_ms).is_none());
        requests.filter(|it| *it).count()
    };
    let status = admitted("status", 0);
    let draft = admitted("draft", 200);
    assert!((50..=60).contains(&status), "{status}");
    assert_eq!(status + draft, 100);
}

#[test]
fn first_kinds_of_a_large_customer_do_not_shed_the_other_kinds_of_a_small_one() {
    let mut configuration = configuration(100_000, 100_000);
    configuration.policy.first_kinds = vec!["draft".parse().unwrap()];
    let mut gateways = Gateways::new(configuration, 1, 100);
    for (kind, requested) in [("status", 100), ("draft", 10)] {
        for now_ms in 0..requested {
            gateways.decide(0, &request("large", kind), now_ms);
        }
    }
    let small = |now_ms| gateways.decide(0, &request("small", "status"), now_ms).is_none();
    assert_eq!((200..210).map(small).filter(|it| *it).count(), 10);
}

#[test]
fn refusals_report_not_run_and_spread_the_retries() {
    let mut gateways = Gateways::new(configuration(1, 100), 1, 100);
    let refusals: Vec<Refusal> = (0..200)
        .filter_map(|now_ms| gateways.decide(0, &request("large", "draft"), now_ms))
        .collect();
    assert_eq!(refusals.len(), 197, "three are the smallest burst");
    assert!(refusals.iter().all(|it| it.outcome == RunOutcome::NotRun));
    assert!(refusals.iter().all(|it| it.code == ResultCode::CustomerLimit));
    let mut times: Vec<Duration> = refusals.iter().filter_map(|it| it.retry_after).collect();
    assert_eq!(times.len(), refusals.len());
    times.sort();
    assert!(times[times.len() - 1] > times[0] * 2, "callers would retry together");
    times.dedup();
    assert!(times.len() > 100);
}

/// Sends `count` requests of a customer and returns the retry delays of those refused, in
/// milliseconds.
fn retry_after_ms(gateways: &mut Gateways, customer: &str, count: u64) -> Vec<u128> {
    let requests =
        (0..count).filter_map(|it| gateways.decide(0, &request(customer, "draft"), 1_000 + it));
    requests.filter_map(|it| it.retry_after).map(|it| it.as_millis()).collect()
}

#[test]
fn refused_callers_retry_no_faster_than_requests_end() {
    let mut gateways = Gateways::new(configuration(100_000, 100_000), 1, 40);
    let admitted =
        (0..40).filter(|it| gateways.decide(0, &request("large", "draft"), *it).is_none());
    let admitted = admitted.count();
    for _ in 0..10 {
        gateways.finish(0, "large", 900);
    }
    // Ten requests end per second, and their slots are used again before any request is refused.
    let delays = retry_after_ms(&mut gateways, "large", 200);
    assert!((100..=200).contains(&delays.len()), "{} of {admitted}", delays.len());
    let within = |until_ms: u128| delays.iter().filter(|it| **it <= until_ms).count();
    assert!(within(5_000) <= 75, "{} retry within 5 s", within(5_000));
    let small = retry_after_ms(&mut gateways, "small", 30);
    assert!(small.iter().all(|it| *it < 10_000), "{small:?}");
}

#[test]
fn deadline_that_cannot_be_met_is_refused_at_once() {
    let mut gateways = Gateways::new(configuration(100, 100), 1, 100);
    let late =
        AdmissionRequest { time_left: Duration::from_millis(100), ..request("large", "draft") };
    let refusal = gateways.decide(0, &late, 0).unwrap();
    assert_eq!(refusal.code, ResultCode::DeadlineExceeded);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(gateways.decide(0, &request("large", "draft"), 0).is_none());
}
