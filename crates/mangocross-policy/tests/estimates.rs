//! Checks a gateway's estimates against naive implementations that keep the whole history.

use std::time::Duration;
use std::time::Instant;

use mangocross_policy::CacheEvent;
use mangocross_policy::CacheSequence;
use mangocross_policy::FirstTokenTimes;
use mangocross_policy::LoadEstimate;
use mangocross_policy::PrefixHash;
use mangocross_policy::PrefixTable;
use mangocross_types::GroupId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Length of the random histories.
const HISTORY: usize = 200;
/// Maximum number of prefixes that the table keeps for each group.
const PREFIXES: usize = 4;

fn group(number: u8) -> GroupId {
    format!("g{number}").parse().expect("a valid id")
}

fn checked() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(HISTORY, 1)).tests(500)
}

/// Returns the newest report plus every own event after it, at least the own requests in flight.
fn naive_load(events: &[(Instant, i64)], reports: &[(Instant, u32)]) -> u32 {
    let sum = |after: Option<Instant>| {
        let since = events.iter().filter(|(at, _)| after.is_none_or(|it| *at > it));
        since.map(|(_, change)| change).sum::<i64>()
    };
    let newest = reports.iter().rev().max_by_key(|(at, _)| *at);
    let load = newest.map_or(0, |(at, load)| i64::from(*load) + sum(Some(*at)));
    u32::try_from(load.max(sum(None))).expect("never negative")
}

#[test]
fn load_is_the_newest_report_with_the_own_events_since() {
    fn property(history: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let (mut estimate, mut in_flight) = (LoadEstimate::default(), 0);
        let (mut events, mut reports) = (Vec::new(), Vec::new());
        history.into_iter().enumerate().all(|(step, (what, value))| {
            let now = start + Duration::from_millis(step as u64);
            match what % 3 {
                0 => {
                    in_flight += 1;
                    events.push((now, 1));
                    estimate.record_sent(now);
                }
                1 if in_flight > 0 => {
                    in_flight -= 1;
                    events.push((now, -1));
                    estimate.record_end(now);
                }
                _ => {
                    // Reports lag and arrive out of order.
                    let lag = Duration::from_millis(u64::from(value % 16));
                    let measured_at = now.checked_sub(lag).unwrap_or(now);
                    reports.push((measured_at, u32::from(value)));
                    estimate.apply_report(value.into(), measured_at);
                }
            }
            estimate.load() == naive_load(&events, &reports)
                && estimate.own_in_flight() == in_flight
        })
    }
    checked().quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn prefixes_of_a_group_are_the_last_used_ones_that_it_did_not_evict() {
    fn property(history: Vec<(u8, u8, u8)>) -> bool {
        let mut table = PrefixTable::new(PREFIXES);
        let start = Instant::now();
        let mut number_published = 0;
        let mut publish = |table: &mut PrefixTable, number: u8, event: CacheEvent| {
            number_published += 1;
            let sequence = CacheSequence { epoch: 1, number: number_published };
            table.apply_event(&group(number), sequence, event, start + Duration::from_secs(1));
        };
        // Expected entries as (group, prefix), least recently used first.
        let mut expected: Vec<(u8, u64)> = Vec::new();
        history.into_iter().all(|(what, number, prefix)| {
            let (number, prefix) = (number % 3, u64::from(prefix % 8));
            expected.retain(|it| what % 16 != 0 || it.0 != number);
            match what % 16 {
                0 => table.remove(&group(number)),
                1..=3 => publish(&mut table, number, CacheEvent::Evicted(PrefixHash(prefix))),
                4..=9 => publish(&mut table, number, CacheEvent::Stored(PrefixHash(prefix))),
                _ => table.record_sent(&group(number), PrefixHash(prefix), start),
            }
            expected.retain(|it| *it != (number, prefix));
            if what % 16 > 3 {
                expected.push((number, prefix));
            }
            let of_group = expected.iter().filter(|it| it.0 == number).count();
            if of_group > PREFIXES {
                let oldest = expected.iter().position(|it| it.0 == number).expect("there are some");
                expected.remove(oldest);
            }
            let mut all = (0..3).flat_map(|group| (0..8).map(move |prefix| (group, prefix)));
            all.all(|it| table.holds(&group(it.0), PrefixHash(it.1)) == expected.contains(&it))
        })
    }
    checked().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn first_token_times_stay_among_those_observed_and_follow_a_change() {
    fn property(observed: Vec<u16>, then: u16) -> bool {
        let mut times = FirstTokenTimes::default();
        let observe = |times: &mut FirstTokenTimes, ms: u16| {
            times.observe(&group(0), Duration::from_millis(ms.into()));
        };
        let get = |times: &FirstTokenTimes| times.get(&group(0)).map(|it| it.as_secs_f64() * 1e3);
        let (mut least, mut most) = (f64::MAX, 0.0_f64);
        for (count, ms) in observed.into_iter().enumerate() {
            observe(&mut times, ms);
            (least, most) = (least.min(ms.into()), most.max(ms.into()));
            let now = get(&times).expect("observed");
            let is_within = now >= least - 1e-3 && now <= most + 1e-3;
            if !is_within || (count == 0 && (now - f64::from(ms)).abs() > 1e-3) {
                return false;
            }
        }
        // One outlier moves the time by less than half; twenty observations replace it.
        let before = get(&times).unwrap_or(then.into());
        observe(&mut times, then);
        let step = (get(&times).expect("observed") - before).abs();
        (0..20).for_each(|_| observe(&mut times, then));
        let rest = (get(&times).expect("observed") - f64::from(then)).abs();
        let change = (f64::from(then) - before).abs();
        let is_other_unknown = times.get(&group(1)).is_none();
        times.remove(&group(0));
        let follows = step <= change / 2.0 + 1e-3 && rest <= change / 20.0 + 1e-3;
        follows && is_other_unknown && get(&times).is_none()
    }
    checked().quickcheck(property as fn(Vec<u16>, u16) -> bool);
}
