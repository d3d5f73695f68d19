//! Demand of the entry VMs of each zone, from reports that may be late or missing.

use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::DemandKey;
use mangocross_serving::Moment;
use mangocross_serving::ZoneDemands;
use mangocross_serving::ZoneReport;
use mangocross_types::AvailabilityZone;

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid zone")
}

fn key() -> DemandKey {
    DemandKey { service: "models".parse().expect("a valid id"), model: None }
}

fn report(zone_name: &str, per_s: f32) -> ZoneReport {
    ZoneReport { zone: zone(zone_name), entry_vms: 1, age_ms: 0, rates: vec![(key(), per_s)] }
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(60_000 + ms))
}

/// Reports of `count` entry VMs of a zone, 4 requests a second each.
fn with_reports(zone_name: &str, count: usize) -> ZoneDemands {
    let mut demands = ZoneDemands::default();
    for it in 0..count {
        let name: Arc<str> = format!("{zone_name}-{it}").into();
        demands.apply_report(name, report(zone_name, 4.0), at(0));
    }
    demands
}

/// Guards against a rate that lags behind a change of the demand by more than a few seconds.
#[test]
fn rate_follows_the_requests_of_the_last_second() {
    let mut demands = ZoneDemands::default();
    let per_s = |demands: &ZoneDemands, now| demands.own_report(&zone("a"), now).rates[0].1;
    (0..400).for_each(|it| demands.record_request(key(), at(it * 10)));
    assert!((90.0..110.0).contains(&per_s(&demands, at(4_000))));
    assert!(per_s(&demands, at(8_000)) < 5.0);
}

/// Guards against a zone that seems to have little demand because few of its entry VMs report.
#[test]
fn missing_reports_count_like_the_others_or_make_the_demand_unknown() {
    let demand = |reporting, listed| {
        let demands = with_reports("b", reporting);
        demands.demand(&zone("b"), &key(), listed, &zone("a"), at(100)).map(|it| it.per_s)
    };
    assert_eq!(demand(10, 10), Some(40.0));
    assert_eq!(demand(8, 10), Some(40.0));
    assert_eq!(demand(4, 10), None);
    assert_eq!(demand(0, 10), None);
    assert_eq!(demand(0, 0), Some(0.0));
}

/// Guards against reports that count as recent because the planner passed them on late.
#[test]
fn age_of_a_report_includes_its_way_through_the_planner() {
    let planner = with_reports("b", 2);
    let sums = planner.sums(&zone("a"), at(400));
    let mut demands = ZoneDemands::default();
    demands.apply_sums(sums, at(500));
    let known = demands.demand(&zone("b"), &key(), 2, &zone("a"), at(700)).expect("known");
    assert_eq!((known.per_s, known.age), (8.0, Duration::from_millis(600)));
    assert_eq!(demands.demand(&zone("b"), &key(), 2, &zone("a"), at(3_600)), None);
}
