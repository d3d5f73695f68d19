//! Admission ratios, and the demand that they are derived from.

mod figures;

use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::AdmissionRatios;
use mangocross_serving::CompetitionRules;
use mangocross_serving::DemandReport;
use mangocross_serving::DemandSource;
use mangocross_serving::ExpectedReturns;
use mangocross_serving::FirstEventError;
use mangocross_serving::FleetDemand;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::ModelCapacity;
use mangocross_serving::ModelDemand;
use mangocross_serving::ModelKey;
use mangocross_serving::Moment;
use mangocross_serving::StreamClass;
use mangocross_serving::Timing;
use mangocross_serving::admission_ratios;
use mangocross_serving::stream_cost;
use mangocross_types::CustomerId;

use crate::figures::engine_spec;

const BY_PRIORITY: CompetitionRules = CompetitionRules { has_priorities: true, ranks_late: true };
const BY_CUSTOMER: CompetitionRules = CompetitionRules { has_priorities: false, ranks_late: true };
/// Largest payload of a usual network packet.
const PACKET_BYTES: usize = 1400;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn key() -> ModelKey {
    let text = |it: &str| it.parse().expect("a valid id");
    ModelKey { service: text("serving-0"), model: "large".parse().expect("a valid id") }
}

fn class(timing: Timing, priority: u8) -> StreamClass {
    StreamClass { timing, priority }
}

fn customer(number: usize) -> CustomerId {
    format!("customer-{number}").parse().expect("a valid id")
}

/// Returns a demand from classes, each with the streams of its customers and the cost of one.
fn demand(classes: &[(StreamClass, &[u32], u64)]) -> ModelDemand {
    let mut demand = ModelDemand::new(key());
    for (class, streams, cost) in classes {
        for (number, count) in streams.iter().enumerate() {
            let of_class = demand.class_mut(*class);
            of_class.add(Some(&customer(number)), *count, count / 2, u64::from(*count) * cost);
        }
    }
    demand
}

/// Returns groups with so many requests in progress each.
fn capacity(groups: usize, in_flight: u32, age_ms: u64) -> ModelCapacity {
    let engine = engine_spec();
    let head = |it: usize| HeadLoad {
        vm: format!("i-{it}").parse().expect("a valid id"),
        zone: "z1".parse().expect("a valid zone"),
        in_flight,
        waiting: 0,
        slowdown: 1.0,
    };
    let heads: Vec<HeadLoad> = (0..groups).map(head).collect();
    let times = GroupTimes::new(&engine, &engine.models[0]);
    ModelCapacity::new(&times, &heads, Duration::from_millis(age_ms))
}

fn ratio(ratios: &AdmissionRatios, of: StreamClass) -> f64 {
    ratios.ratio(of, None)
}

/// A burst of the most urgent class: it is served first, others keep 0.6 of the ratio of all, and
/// late streams a tenth of the starts.
#[test]
fn capacity_goes_to_classes_in_order_with_floors() {
    let (urgent, lowest) = (class(Timing::InTime, 0), class(Timing::InTime, 2));
    let returned = class(Timing::Returned, 0);
    let demand = demand(&[(lowest, &[20], 1), (returned, &[200], 1), (urgent, &[400], 1)]);
    let ratios = admission_ratios(&demand, &capacity(10, 24, 0), BY_PRIORITY, false);
    assert!(ratios.is_short);
    let overall = ratios.capacity_per_s / ratios.demand_per_s;
    assert!(ratio(&ratios, urgent) > overall, "{ratios:?}");
    assert!((ratio(&ratios, lowest) - 0.6 * overall).abs() < 0.01, "{ratios:?}");
    let late_starts = ratio(&ratios, returned) * 200.0;
    assert!((late_starts - 0.1 * ratios.capacity_per_s).abs() < 1.0, "{ratios:?}");
}

/// The demand varies around the capacity: shortness ends only when the demand has fallen clearly below.
#[test]
fn demand_close_to_the_capacity_does_not_flap() {
    let urgent = class(Timing::InTime, 0);
    let capacity = capacity(10, 22, 0);
    let none = admission_ratios(&demand(&[]), &capacity, BY_PRIORITY, false);
    let at_share = |share: f64, was_short| {
        let per_s = none.capacity_per_s * share;
        let demand = demand(&[(urgent, &[per_s as u32], 1)]);
        admission_ratios(&demand, &capacity, BY_PRIORITY, was_short)
    };
    assert!(!at_share(0.95, false).is_short);
    assert!(at_share(1.05, false).is_short);
    assert!(at_share(0.95, true).is_short);
    assert!(!at_share(0.85, true).is_short);
    for ratios in [at_share(0.95, true), at_share(0.95, false)] {
        assert!((ratio(&ratios, urgent) - 1.0).abs() < 1e-9, "{ratios:?}");
    }
}

/// One customer sends few, long prompts: its share counts by what they cost the engines. Where all have
/// the same priority, nobody else is refused.
#[test]
fn customer_is_limited_by_cost_and_never_below_its_floor() {
    let in_time = class(Timing::InTime, 0);
    let mut demand = demand(&[(in_time, &[0, 100, 100, 100, 100], 1000)]);
    demand.class_mut(in_time).add(Some(&customer(0)), 50, 25, 1_000_000);
    let ratios = admission_ratios(&demand, &capacity(8, 25, 0), BY_CUSTOMER, false);
    let of = |number| ratios.ratio(in_time, Some(&customer(number)));
    let overall = ratios.capacity_per_s / ratios.demand_per_s;
    assert!(ratios.is_short && of(0) < 1.0, "{ratios:?}");
    assert!(of(0) >= overall / 4.0, "{ratios:?}");
    assert!((1..5).all(|it| (of(it) - 1.0).abs() < 1e-9), "{ratios:?}");
    assert_eq!(stream_cost(1000, 100), 2000);
}

/// Counts grow old while the contact is lost: free slots of that time are not filled any more.
#[test]
fn stale_counts_are_no_invitation() {
    let rates = [0, 1000, 3000].map(|age| capacity(10, 5, age).streams_per_s(0.85));
    assert!(rates[0] > rates[1] && rates[1] > rates[2], "{rates:?}");
    let full = [0, 3000].map(|age| capacity(10, 40, age).streams_per_s(0.85));
    assert!((full[0] - full[1]).abs() < 1e-9, "what exceeds the slots counts at any age: {full:?}");
}

/// A zone comes back cold: its groups take requests, of each entry VM few, so their free slots are not
/// filled, and the capacity does not fall by what they complete.
#[test]
fn groups_closed_to_an_entry_vm_count_with_what_they_complete() {
    let open = capacity(10, 10, 0);
    let head = |it| HeadLoad {
        vm: format!("i-{it}").parse().expect("a valid id"),
        zone: "z1".parse().expect("a valid zone"),
        in_flight: 0,
        waiting: 0,
        slowdown: 1.0,
    };
    let closed: Vec<HeadLoad> = (10..15).map(head).collect();
    let with_closed = open.clone().with_closed(&closed).streams_per_s(0.9);
    let (without, as_open) = (open.streams_per_s(0.9), open.streams_per_s(0.9) * 1.5);
    assert!(with_closed > without && with_closed < as_open, "{without} {with_closed} {as_open}");
}

/// A queue stands at the engines and is gone a moment later.
#[test]
fn error_of_predictions_is_bounded_and_fades() {
    let mut error = FirstEventError::default();
    assert!(error.capacity_reduction(at(1000)) <= 0.0);
    error.record(5.0, 100, at(1000));
    assert!(error.share(at(1000)) <= 1.0 && error.capacity_reduction(at(1000)) > 0.2);
    assert!(error.share(at(1400)) <= 0.51, "halves within 400 ms");
    assert!(error.capacity_reduction(at(3000)) <= 0.0, "gone within two seconds");
    error.record(-1.0, 100, at(3100));
    assert!(error.share(at(3100)) <= 0.0, "early first events are no capacity");
}

/// Hundreds of callers are refused within a second: they come back over a span of time, within a third
/// of the time that each has left.
#[test]
fn refused_callers_return_spread_within_the_limit() {
    let limit = Duration::from_secs(2);
    let few = ExpectedReturns { refused_per_s: 5.0, free_per_s: 100.0 };
    let many = ExpectedReturns { refused_per_s: 300.0, free_per_s: 50.0 };
    let times = |it: ExpectedReturns| [0.0, 0.5, 0.99].map(|draw| it.return_after(limit, draw));
    for all in [times(few), times(many)] {
        assert!(all.iter().all(|it| *it <= limit), "{all:?}");
        assert!(all[2] - all[0] >= Duration::from_millis(500), "{all:?}");
    }
    assert!(times(many)[0] > times(few)[0]);
    let short = many.return_after(Duration::from_millis(100), 0.99);
    assert!(short <= Duration::from_millis(100), "{short:?}");
}

/// The planner changes, then all contact is lost: totals of a few entry VMs don't replace known ones,
/// those count for 3 s, then a VM's own streams times the entry VMs, less what chance may be.
#[test]
fn known_demand_survives_a_new_planner_and_lost_contact() {
    let in_time = class(Timing::InTime, 0);
    let report = |entry_vms, streams| DemandReport {
        entry_vms,
        models: vec![demand(&[(in_time, &[streams], 1)])],
    };
    let mut fleet = FleetDemand::default();
    fleet.record_totals(report(75, 500), at(10_000));
    fleet.record_totals(report(3, 20), at(10_300));
    let known = fleet.known(75, at(10_400));
    assert_eq!((known.source, known.received_at), (DemandSource::Totals, at(10_000)));
    assert_eq!(known.report.models[0].streams(), 500);
    (0..9).for_each(|_| fleet.record(&key(), in_time, None, 1, at(13_000)));
    let own = fleet.known(75, at(13_000));
    assert_eq!((own.source, own.report.models[0].streams()), (DemandSource::OwnStreams, 6 * 75));
}

/// Reports are summed up by the planner and cost each VM a packet per interval.
#[test]
fn reports_add_up_and_fit_into_a_packet() {
    let mut fleet = FleetDemand::default();
    let classes = [class(Timing::InTime, 0), class(Timing::InTime, 1), class(Timing::Returned, 0)];
    for vm in 0..74 {
        let streams = [3; 24];
        let parts = classes.map(|it| (it, streams.as_slice(), 2_000));
        let report = DemandReport { entry_vms: 1, models: vec![demand(&parts)] };
        fleet.record_report(Arc::from(format!("front-{vm}")), report, at(1000));
    }
    fleet.record(&key(), classes[0], Some(&customer(0)), 2_000, at(1000));
    let totals = fleet.totals(at(1000));
    assert_eq!((totals.entry_vms, totals.models[0].streams()), (75, 74 * 3 * 24 * 3 + 1));
    let of_class = &totals.models[0].classes[0];
    assert_eq!(of_class.customers.len() as u32 + of_class.other_customers, 24);
    let bytes = postcard::to_allocvec(&totals).expect("it can be encoded").len();
    assert!(2 * bytes < PACKET_BYTES, "two models of three classes: {bytes} bytes each");
}

/// A caller that was refused has only late streams left for a short target, and is told from one that
/// waited here.
#[test]
fn timing_tells_returned_streams_from_late_ones() {
    let ms = Duration::from_millis;
    let timing = |before, age, target| Timing::new(ms(before), ms(age), ms(130), ms(target));
    assert_eq!(timing(0, 0, 250), Timing::InTime);
    assert_eq!(timing(10, 5, 250), Timing::InTime);
    assert_eq!(timing(600, 0, 1000), Timing::InTime);
    assert_eq!(timing(600, 0, 250), Timing::Returned);
    assert_eq!(timing(0, 200, 250), Timing::Late);
}
