//! Admission, refusal and group selection for streams under heavy load.

mod figures;

use std::time::Duration;

use mangocross_serving::Admission;
use mangocross_serving::Candidates;
use mangocross_serving::Draws;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::LongestDeadlines;
use mangocross_serving::StreamDemand;
use mangocross_serving::admit;
use mangocross_serving::mean_headroom;

use crate::figures::engine_spec;

const SLOTS: u32 = 26;

fn times() -> GroupTimes {
    let engine = engine_spec();
    GroupTimes::new(&engine, &engine.models[0])
}

fn head(name: &str, in_flight: u32) -> HeadLoad {
    HeadLoad {
        vm: name.parse().expect("a valid id"),
        zone: "z1".parse().expect("a valid zone"),
        in_flight,
        waiting: 0,
        slowdown: 1.0,
    }
}

fn demand(waited_ms: u64) -> StreamDemand {
    StreamDemand {
        target_latency: Duration::from_millis(400),
        waited: Duration::from_millis(waited_ms),
        prompt_tokens: 1_460,
    }
}

fn sampled(first: f64, second: f64) -> Candidates {
    Candidates::Sampled(Draws { first, second })
}

fn sent_to(admission: &Admission) -> Option<&str> {
    match admission {
        Admission::Send(vm) => Some(vm.as_str()),
        Admission::Refuse { .. } | Admission::NoGroup => None,
    }
}

#[test]
fn least_loaded_group_gets_a_stream() {
    let heads = [head("a", 20), head("b", 11), head("c", 25)];
    let admission = admit(&times(), &heads, &demand(0), 0, Candidates::All);
    assert_eq!(sent_to(&admission), Some("b"));
}

/// A burst fills all groups: the excess is refused at once, with a time to retry.
#[test]
fn burst_beyond_all_slots_is_refused_at_once() {
    let heads = [head("a", SLOTS + 8), head("b", SLOTS + 9)];
    let Admission::Refuse { free_slot_in, .. } =
        admit(&times(), &heads, &demand(0), 0, Candidates::All)
    else {
        panic!("no group can start it in time");
    };
    assert_eq!(free_slot_in, times().completion_interval() * 9);
}

/// A stream that is past its target latency leaves the last slots to streams that can meet theirs.
#[test]
fn late_stream_gets_unreserved_slots_only() {
    let admitted = |in_flight, waited_ms, queue| {
        let heads = [head("a", in_flight)];
        sent_to(&admit(&times(), &heads, &demand(waited_ms), queue, Candidates::All)).is_some()
    };
    assert!(admitted(SLOTS - 4, 900, 0));
    assert!(!admitted(SLOTS - 1, 900, 0));
    assert!(admitted(SLOTS - 1, 0, 0), "a first attempt gets the slot");
    assert!(admitted(SLOTS, 900, 4), "a resumed stream may wait at the engine");
}

/// Callers that were refused retry with the rest of their deadline.
#[test]
fn returning_callers_are_distinguished_from_new_ones() {
    let mut attempts = LongestDeadlines::default();
    let route = std::sync::Arc::from("r-1");
    let ms = Duration::from_millis;
    assert_eq!(attempts.record_and_estimate_elapsed(&route, ms(8_000)), ms(0));
    assert_eq!(attempts.record_and_estimate_elapsed(&route, ms(6_500)), ms(1_500));
    attempts.retain(|it| it != "r-1");
    assert_eq!(attempts.record_and_estimate_elapsed(&route, ms(5_000)), ms(0));
}

/// A burst while a group is slow: the slow group gets streams that would be refused otherwise.
#[test]
fn slow_group_gets_what_the_full_ones_cannot() {
    let heads = [head("full", SLOTS * 2), HeadLoad { slowdown: 2.0, ..head("slow", 0) }];
    let short = StreamDemand { prompt_tokens: 674, ..demand(0) };
    let admission = admit(&times(), &heads, &short, 0, Candidates::All);
    assert_eq!(sent_to(&admission), Some("slow"));
}

/// Several servers are slow: their groups get streams only if the others are full.
#[test]
fn slow_groups_come_last() {
    let slow = HeadLoad { slowdown: 5.0, ..head("slow", 0) };
    let heads = [slow.clone(), head("sound", 20)];
    assert_eq!(sent_to(&admit(&times(), &heads, &demand(0), 0, Candidates::All)), Some("sound"));
}

/// With stale counts, entry VMs that all have the same counts still spread their streams.
#[test]
fn old_counts_do_not_send_all_streams_to_one_group() {
    let heads: Vec<HeadLoad> = (0..10).map(|it| head(&format!("g{it}"), 10 + it % 2)).collect();
    let draw = |it: i32| (f64::from(it) + 0.5) / 40.0;
    let draws = (0..40).flat_map(|a| (0..40).map(move |b| (draw(a), draw(b))));
    let mut taken = std::collections::HashMap::new();
    for (first, second) in draws {
        let admission = admit(&times(), &heads, &demand(0), 0, sampled(first, second));
        *taken.entry(sent_to(&admission).expect("there is capacity").to_owned()).or_insert(0) += 1;
    }
    assert!(taken.len() >= 5 && taken.values().all(|it| *it <= 40 * 40 / 4), "{taken:?}");
}

/// Both randomly chosen groups are full, and a third one has capacity.
#[test]
fn full_sample_falls_back_to_all_groups() {
    let heads = [head("a", SLOTS + 9), head("b", SLOTS + 9), head("c", 3)];
    let admission = admit(&times(), &heads, &demand(0), 0, sampled(0.0, 0.4));
    assert_eq!(sent_to(&admission), Some("c"));
}

/// A burst fills most groups, so that random pairs of them refuse: streams that go on to all groups
/// spread over those with free slots. On a large deployment all entry VMs chose the same least loaded
/// group from the same counts and sent it 89 streams in a second, of which it could finish 17.
#[test]
fn streams_whose_sample_is_full_spread_over_free_slots() {
    let full = (0..30).map(|it| head(&format!("full{it}"), SLOTS + 9));
    let free = (0..6).map(|it| head(&format!("free{it}"), 10 + it));
    let heads: Vec<HeadLoad> = full.chain(free).collect();
    let mut taken = std::collections::HashMap::new();
    for draw in 0..100 {
        let candidates = sampled(f64::from(draw) / 100.0, 0.5);
        let admission = admit(&times(), &heads, &demand(0), 0, candidates);
        *taken.entry(sent_to(&admission).expect("there is capacity").to_owned()).or_insert(0) += 1;
    }
    assert!(taken.len() == 6 && taken.values().all(|it| (8..=30).contains(it)), "{taken:?}");
    assert!(taken["free0"] > taken["free5"], "more streams where more slots are free: {taken:?}");
}

#[test]
fn first_events_come_later_the_fuller_a_group_is() {
    let mut last = Duration::ZERO;
    for in_flight in 0..SLOTS + 10 {
        let predicted = times().first_event(&head("a", in_flight), 1_460);
        assert!(predicted > last);
        last = predicted;
    }
}

#[test]
fn no_group_is_distinguished_from_full_groups() {
    assert_eq!(admit(&times(), &[], &demand(0), 0, Candidates::All), Admission::NoGroup);
}

/// A group opens while the others are full: all entry VMs send to it, and its prompts are read one
/// by one.
#[test]
fn group_that_opens_gets_no_more_prompts_than_it_reads_in_time() {
    let times = times();
    let mut opened = head("opened", 0);
    let mut sent = 0;
    while sent_to(&admit(&times, &[opened.clone()], &demand(0), 0, Candidates::All)).is_some() {
        sent += 1;
        opened = HeadLoad { in_flight: sent, waiting: sent, ..opened };
        if times.first_event(&opened, 1_460) > Duration::from_millis(400) {
            break;
        }
    }
    assert!((5..15).contains(&sent), "{sent} prompts at once");
}

/// A group with unread prompts starts a stream later than one with more requests but no unread
/// prompts.
#[test]
fn waiting_prompts_count_more_than_running_requests() {
    let reading = HeadLoad { waiting: 6, ..head("reading", 10) };
    let heads = [reading, head("read", 14)];
    assert_eq!(sent_to(&admit(&times(), &heads, &demand(0), 0, Candidates::All)), Some("read"));
}

/// Guards against a zone that keeps its streams while it has lost a part of its groups: the groups that
/// are left have less headroom than all, so all are candidates.
#[test]
fn loaded_groups_have_less_headroom_than_all() {
    let own_zone: Vec<HeadLoad> = (0..6).map(|it| head(&format!("own{it}"), 20)).collect();
    let others = (0..12).map(|it| head(&format!("other{it}"), 12));
    let all: Vec<HeadLoad> = own_zone.iter().cloned().chain(others).collect();
    assert!(mean_headroom(&times(), &own_zone) < 0.85 * mean_headroom(&times(), &all));
    assert_eq!(mean_headroom(&times(), &[]), 0.0);
}
