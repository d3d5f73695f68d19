//! Requests that leave their zone where its servers are too few.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::LeaveReason;
use mangocross_serving::Moment;
use mangocross_serving::ReportedDemand;
use mangocross_serving::ZoneBalance;
use mangocross_serving::ZoneFigures;
use mangocross_types::AvailabilityZone;

/// Requests per second that a server completes.
const SERVER_PER_S: f64 = 10.0;
const SERVER_SLOTS: u32 = 20;

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid zone")
}

/// A zone with this demand and this many usable servers, with a recent report.
fn figures(name: &str, demand_per_s: f64, servers: u32) -> ZoneFigures {
    let capacity_per_s = f64::from(servers) * SERVER_PER_S;
    let load = if servers == 0 { 0.0 } else { (demand_per_s / capacity_per_s).min(1.2) };
    ZoneFigures {
        zone: zone(name),
        demand: Some(ReportedDemand { per_s: demand_per_s, age: Duration::from_millis(250) }),
        capacity_per_s,
        in_progress: (load * f64::from(servers * SERVER_SLOTS)) as u32,
        slots: servers * SERVER_SLOTS,
        answer_in: (servers > 0).then(|| Duration::from_secs_f64(0.1 + 0.4 * load)),
        failure_share: 0.0,
        path_delay: Duration::from_micros(500),
    }
}

/// Gives new figures to a balance at a moment after the start.
fn update(
    balance: &mut ZoneBalance,
    at_ms: u64,
    own: &ZoneFigures,
    others: &[ZoneFigures],
) -> bool {
    balance.update(own, others, Moment::after_boot(Duration::from_millis(at_ms)))
}

fn total(balance: &ZoneBalance) -> f64 {
    balance.shares().iter().map(|it| it.1).sum()
}

fn share(balance: &ZoneBalance, name: &str) -> f64 {
    balance.share(&zone(name))
}

/// Guards against traffic between zones that its own zone could serve.
#[test]
fn zone_with_enough_servers_keeps_its_requests() {
    let mut balance = ZoneBalance::default();
    update(
        &mut balance,
        0,
        &figures("a", 85.0, 10),
        &[figures("b", 1.0, 10), figures("c", 1.0, 10)],
    );
    assert_eq!(balance.shares(), []);
    assert_eq!(balance.choose(0.0), None);
}

/// Guards against a zone that sends all of its requests away when its servers are a few too few.
#[test]
fn surplus_leaves_and_not_everything() {
    let mut balance = ZoneBalance::default();
    update(
        &mut balance,
        0,
        &figures("a", 120.0, 10),
        &[figures("b", 40.0, 10), figures("c", 60.0, 10)],
    );
    let left_per_s = total(&balance) * 120.0;
    assert!((20.0..=60.0).contains(&left_per_s), "{left_per_s}");
    assert!(share(&balance, "b") > share(&balance, "c"));
    assert_eq!(balance.choose(0.0).map(|it| it.1), Some(LeaveReason::Surplus));
    assert_eq!(balance.choose(0.99), None);
}

/// Guards against a zone without servers that refuses what the others have room for.
#[test]
fn all_requests_leave_a_zone_without_servers() {
    let mut balance = ZoneBalance::default();
    update(
        &mut balance,
        0,
        &figures("a", 60.0, 0),
        &[figures("b", 30.0, 10), figures("c", 30.0, 10)],
    );
    assert!(total(&balance) > 0.99, "{:?}", balance.shares());
    assert_eq!(balance.choose(0.5).map(|it| it.1), Some(LeaveReason::NoServer));
}

/// Guards against two zones that are short and send their surplus to each other, or together send
/// more to the third zone than it has to spare.
#[test]
fn two_short_zones_share_what_the_third_has_to_spare() {
    let (a, b, c) = (figures("a", 150.0, 10), figures("b", 110.0, 10), figures("c", 50.0, 10));
    let (mut from_a, mut from_b) = (ZoneBalance::default(), ZoneBalance::default());
    update(&mut from_a, 0, &a, &[b.clone(), c.clone()]);
    update(&mut from_b, 0, &b, &[a.clone(), c.clone()]);
    assert_eq!((share(&from_a, "b"), share(&from_b, "a")), (0.0, 0.0));
    assert!(!from_a.open().contains(&zone("b")) && !from_b.open().contains(&zone("a")));
    let taken_in = share(&from_a, "c") * 150.0 + share(&from_b, "c") * 110.0;
    assert!(taken_in <= 40.1, "{taken_in}");
    assert!(share(&from_a, "c") > 0.0 && share(&from_b, "c") > 0.0);
}

/// Guards against demand that is sent to a zone of which nothing recent is known.
#[test]
fn stale_and_missing_reports_are_no_invitation() {
    let short = figures("a", 150.0, 10);
    let stale = ZoneFigures {
        demand: Some(ReportedDemand { per_s: 1.0, age: Duration::from_secs(3) }),
        ..figures("b", 1.0, 10)
    };
    let missing = ZoneFigures { demand: None, ..figures("c", 1.0, 10) };
    let mut balance = ZoneBalance::default();
    update(&mut balance, 0, &short, &[stale, missing]);
    assert_eq!(balance.shares(), []);
    assert!(!balance.open().contains(&zone("b")) && !balance.open().contains(&zone("c")));
}

/// Guards against a zone whose own demand is unknown and that therefore keeps what waits for slots.
#[test]
fn waiting_requests_leave_without_a_report_of_their_own_zone() {
    let own = ZoneFigures { demand: None, in_progress: 300, ..figures("a", 100.0, 10) };
    let mut balance = ZoneBalance::default();
    update(&mut balance, 0, &own, &[figures("b", 10.0, 10)]);
    assert!((0.1..0.7).contains(&total(&balance)), "{:?}", balance.shares());
}

/// Guards against a path that costs more time than the wait that it saves.
#[test]
fn surplus_stays_where_the_path_takes_longer_than_the_wait() {
    let far = ZoneFigures { path_delay: Duration::from_millis(300), ..figures("b", 10.0, 10) };
    let mut balance = ZoneBalance::default();
    update(&mut balance, 0, &figures("a", 95.0, 10), &[far]);
    assert_eq!(balance.shares(), []);
}

/// Guards against a link that loses packets: reports that come late now and then must not move the
/// shares to and fro, and a zone whose answers are lost must get nothing.
#[test]
fn lossy_link_neither_moves_shares_nor_draws_requests() {
    let mut rng = Rng::with_seed(3);
    let mut balance = ZoneBalance::default();
    let mut age = Duration::ZERO;
    let mut changes = 0;
    for tick in 0..400 {
        age = if rng.f64() < 0.4 {
            Duration::from_millis(250)
        } else {
            age + Duration::from_millis(250)
        };
        let reported = ReportedDemand { per_s: 30.0, age };
        let b = ZoneFigures { demand: Some(reported), ..figures("b", 30.0, 10) };
        changes += u32::from(update(&mut balance, tick * 250, &figures("a", 120.0, 10), &[b]));
    }
    assert!(changes < 40, "{changes} changes in 100 s");
    let lossy = ZoneFigures { failure_share: 0.4, ..figures("b", 30.0, 10) };
    update(&mut balance, 100_000, &figures("a", 120.0, 10), &[lossy]);
    assert_eq!(balance.shares(), []);
    assert!(!balance.open().contains(&zone("b")));
}

/// Guards against a zone that is filled by others, or by all of its own demand, while its servers
/// are cold. A cold server counts as no capacity.
#[test]
fn zone_that_comes_back_cold_gets_its_requests_as_its_servers_warm_up() {
    let mut from_a = ZoneBalance::default();
    let mut from_b = ZoneBalance::default();
    let mut stayed = Vec::new();
    for warm in 0..=10 {
        let (a, b) = (figures("a", 70.0, warm as u32), figures("b", 95.0, 10));
        let c = figures("c", 20.0, 15);
        update(&mut from_a, warm * 3_000, &a, &[b.clone(), c.clone()]);
        update(&mut from_b, warm * 3_000, &b, &[a, c]);
        stayed.push(1.0 - total(&from_a));
        if warm < 8 {
            assert_eq!(share(&from_b, "a"), 0.0, "{warm} warm servers");
        }
        let capacity = warm as f64 * SERVER_PER_S;
        let kept_per_s = (1.0 - total(&from_a)) * 70.0;
        assert!(kept_per_s <= capacity + 0.05 * 70.0, "{warm} warm servers, {kept_per_s} a second");
    }
    assert!(stayed.is_sorted(), "{stayed:?}");
    assert_eq!((stayed[0], stayed[10]), (0.0, 1.0));
}

/// Guards against entry VMs that all see the same report and send the whole surplus, or nothing.
#[test]
fn entry_vms_with_the_same_report_send_the_surplus_together() {
    const ENTRY_VMS: u32 = 25;
    const REQUESTS: u32 = 400;
    let mut rng = Rng::with_seed(7);
    let mut sent: BTreeMap<Option<AvailabilityZone>, u32> = BTreeMap::new();
    let others = [figures("b", 40.0, 10), figures("c", 40.0, 10)];
    for _ in 0..ENTRY_VMS {
        let mut balance = ZoneBalance::default();
        update(&mut balance, 0, &figures("a", 120.0, 10), &others);
        for _ in 0..REQUESTS {
            let chosen = balance.choose(rng.f64()).map(|it| it.0.clone());
            *sent.entry(chosen).or_default() += 1;
        }
    }
    let per_s = |zone: Option<AvailabilityZone>| {
        f64::from(sent.get(&zone).copied().unwrap_or(0)) * 120.0 / f64::from(ENTRY_VMS * REQUESTS)
    };
    let (stayed, to_b, to_c) = (per_s(None), per_s(Some(zone("b"))), per_s(Some(zone("c"))));
    assert!((70.0..=90.0).contains(&stayed), "{stayed}");
    assert!((to_b - to_c).abs() < 4.0, "{to_b} {to_c}");
}

/// Guards against amounts that flap while demand varies around the limits, beside a zone with much to
/// spare and beside one that is about as full.
#[test]
fn amounts_do_not_flap() {
    for mean in [75.0, 80.0, 85.0, 90.0, 95.0, 120.0] {
        for other_mean in [40.0, 78.0, 88.0, 95.0] {
            let mut rng = Rng::with_seed(11);
            let mut balance = ZoneBalance::default();
            let (mut changes, mut begins) = (0, 0);
            for tick in 0..400 {
                let was_leaving = !balance.shares().is_empty();
                let own = figures("a", mean + 4.0 * (rng.f64() - 0.5), 10);
                let others = [figures("b", other_mean + 4.0 * (rng.f64() - 0.5), 10)];
                changes += u32::from(update(&mut balance, tick * 250, &own, &others));
                begins += u32::from(!was_leaving && !balance.shares().is_empty());
            }
            let case = format!("demand {mean} beside {other_mean}");
            assert!(begins <= 1, "{case}: {begins} begins in 100 s");
            assert!(changes <= 20, "{case}: {changes} changes in 100 s");
        }
    }
}
