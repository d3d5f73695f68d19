//! Bursts, lost groups and lost contact on a fleet whose streams compete for a model's groups.

mod competing_fleet;
mod figures;

use std::time::Duration;

use mangocross_serving::CompetitionRules;

use crate::competing_fleet::Fleet;
use crate::competing_fleet::Load;
use crate::competing_fleet::Second;

const BY_PRIORITY: CompetitionRules = CompetitionRules { has_priorities: true, ranks_late: true };
const BY_CUSTOMER: CompetitionRules = CompetitionRules { has_priorities: false, ranks_late: true };
/// Second in which each load begins; the seconds before are the usual ones.
const BEGIN: u64 = 20;

fn load(priority: u8, per_s: f64, target_ms: u64) -> Load {
    // A few customers are large.
    let customers = (0..24).map(|it| if it < 4 { 5.0 } else { 1.0 }).collect();
    Load { priority, per_s, target: Duration::from_millis(target_ms), customers }
}

/// Streams per second of the deployment with competing callers.
fn usual_loads() -> Vec<Load> {
    vec![load(0, 444.0, 250), load(1, 22.7, 500), load(2, 20.0, 1000)]
}

/// Plays the usual load until `BEGIN`.
fn fleet(heads: usize, vms: usize, loads: Vec<Load>, rules: CompetitionRules) -> Fleet {
    seeded_fleet(heads, vms, loads, rules, 20_261_206)
}

fn seeded_fleet(
    heads: usize,
    vms: usize,
    loads: Vec<Load>,
    rules: CompetitionRules,
    seed: u64,
) -> Fleet {
    let mut fleet = Fleet::new((heads, vms), loads, rules, seed);
    fleet.run(Duration::from_secs(10));
    fleet
}

fn share(part: u32, all: u32) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

fn in_time_share(it: Second) -> f64 {
    share(it.in_time, it.received)
}

/// Guards against refusals in calm: streams of any class and customer start at once.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let fleet = fleet(36, 75, usual_loads(), BY_PRIORITY);
    let (_, returned) = fleet.starts(BEGIN - 10, BEGIN);
    let all = fleet.sum(BEGIN - 10, BEGIN, None);
    assert_eq!((returned, all.refused_for_ever), (0, 0), "{all:?}");
}

/// Guards against streams that all start, but late: 1.6 times of one class for 3.6 s over 36 heads
/// and 75 entry VMs whose counts are 0.25 to 0.5 s old. Several days, since the number of streams within
/// two seconds varies by some hundredths.
#[test]
fn burst_of_one_class_costs_a_tenth_of_the_streams_in_time_at_most() {
    let fleets: Vec<Fleet> = (1..=4)
        .map(|seed| {
            let mut fleet = seeded_fleet(36, 75, usual_loads(), BY_PRIORITY, seed);
            fleet.loads[0].per_s *= 1.6;
            fleet.run(Duration::from_millis(3600));
            fleet.loads[0].per_s /= 1.6;
            fleet.run(Duration::from_millis(8400));
            fleet
        })
        .collect();
    let sum = |from, to| {
        let seconds = fleets.iter().map(|it| it.sum(from, to, None));
        seconds.fold(Second::default(), Second::plus)
    };
    let before = sum(BEGIN - 6, BEGIN);
    for from in (BEGIN..BEGIN + 10).step_by(2) {
        let during = sum(from, from + 2);
        assert!(
            during.in_time * 3 * 10 >= before.in_time * 9,
            "{from}: {during:?}, before {before:?}"
        );
    }
    let after = sum(BEGIN + 6, BEGIN + 10);
    assert!(in_time_share(after) >= in_time_share(before) - 0.02, "{after:?}, before {before:?}");
    assert_eq!(after.refused_for_ever, 0);
}

/// Guards against a burst of the least urgent class that fills the groups of a more urgent one.
#[test]
fn burst_of_the_lowest_class_leaves_room_for_a_more_urgent_one() {
    let loads = vec![load(1, 22.7, 500), load(2, 20.0, 1000)];
    let mut fleet = fleet(3, 75, loads, BY_PRIORITY);
    fleet.loads[1].per_s *= 2.6;
    fleet.run(Duration::from_secs(5));
    fleet.loads[1].per_s /= 2.6;
    fleet.run(Duration::from_secs(5));
    let before = fleet.sum(BEGIN - 8, BEGIN, Some(0));
    let urgent = fleet.sum(BEGIN, BEGIN + 5, Some(0));
    let lowest = fleet.sum(BEGIN, BEGIN + 5, Some(1));
    let all = fleet.sum(BEGIN, BEGIN + 5, None);
    assert!(in_time_share(urgent) >= 0.9 * in_time_share(before), "{urgent:?}, before {before:?}");
    let (served, of_all) =
        (share(lowest.started, lowest.received), share(all.started, all.received));
    assert!(served >= of_all / 4.0, "{lowest:?} of {all:?}");
}

/// Guards against one customer who takes the capacity of the others: 7.5 times its usual load for
/// 6.5 s, where all streams have the same priority.
#[test]
fn customer_far_above_its_share_leaves_the_others_theirs() {
    let mut fleet = fleet(36, 33, vec![load(1, 467.0, 400)], BY_CUSTOMER);
    fleet.loads[0].customers[0] *= 7.5;
    fleet.loads[0].per_s *= (40.0 + 6.5 * 5.0) / 40.0;
    fleet.run(Duration::from_millis(6500));
    let others = |fleet: &Fleet, from, to| fleet.sum_of(from, to, |_, customer| customer > 0);
    let before = others(&fleet, BEGIN - 6, BEGIN);
    let during = others(&fleet, BEGIN, BEGIN + 6);
    let large = fleet.sum_of(BEGIN, BEGIN + 6, |_, customer| customer == 0);
    let all = fleet.sum(BEGIN, BEGIN + 6, None);
    assert!(in_time_share(during) >= 0.9 * in_time_share(before), "{during:?}, before {before:?}");
    let (served, of_all) = (share(large.started, large.received), share(all.started, all.received));
    assert!(served >= of_all / 4.0, "{large:?} of {all:?}");
}

/// Guards against a fleet that serves hardly anything in time while a third of its heads is gone.
#[test]
fn more_than_half_is_in_time_without_a_third_of_the_heads() {
    let mut fleet = fleet(36, 75, usual_loads(), BY_PRIORITY);
    fleet.remove_heads(12);
    fleet.run(Duration::from_secs(10));
    let before = fleet.sum(BEGIN - 6, BEGIN, None);
    for from in (BEGIN..BEGIN + 8).step_by(2) {
        let during = fleet.sum(from, from + 2, None);
        assert!(during.in_time * 3 * 2 > before.in_time, "{from}: {during:?}, before {before:?}");
    }
}

/// Guards against callers that are refused again each time: the capacity stays short for long, and
/// late streams keep a tenth of the starts.
#[test]
fn returning_callers_get_a_tenth_of_the_starts_while_capacity_is_short() {
    let mut fleet = fleet(36, 75, usual_loads(), BY_PRIORITY);
    fleet.loads[0].per_s *= 2.0;
    fleet.run(Duration::from_secs(12));
    // Those that were first sent up to here have come back.
    let during = fleet.sum(BEGIN + 2, BEGIN + 8, None);
    let (starts, returned) = fleet.starts(BEGIN + 4, BEGIN + 10);
    assert!(share(returned, starts) >= 0.1, "{returned} of {starts}; {during:?}");
}

/// Guards against entry VMs that hear of no other and take chance in their few streams for a burst: a
/// third of them, or all since there is no planner.
#[test]
fn entry_vms_without_contact_change_little() {
    for cut_off in [50..75, 0..75] {
        let mut fleet = fleet(36, 75, usual_loads(), BY_PRIORITY);
        fleet.cut_off(cut_off);
        fleet.run(Duration::from_secs(10));
        let before = fleet.sum(BEGIN - 6, BEGIN, None);
        let during = fleet.sum(BEGIN, BEGIN + 10, None);
        let least = 0.9 * in_time_share(before);
        assert!(in_time_share(during) >= least, "{during:?}, before {before:?}");
        assert!(share(during.refused_for_ever, during.received) < 0.01, "{during:?}");
    }
}
