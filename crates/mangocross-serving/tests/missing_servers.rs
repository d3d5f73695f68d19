//! Removals of servers' entries before, during and after an outage of the store.

use std::time::Duration;

use mangocross_serving::MissingServers;
use mangocross_serving::Moment;
use mangocross_serving::Removal;
use mangocross_types::VmId;

/// Time within which a leaving server must get no more requests.
const LEAVE_WITHIN: Duration = Duration::from_millis(2000);

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid id")
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

/// An outage that ended at `regained_ms`.
fn after_outage(regained_ms: u64, leave_within: Duration) -> MissingServers {
    let mut servers = MissingServers::default();
    servers.record_store_answer(at(0), leave_within);
    servers.record_store_lost();
    servers.record_store_answer(at(regained_ms), leave_within);
    servers
}

#[test]
fn removal_without_an_outage_is_final() {
    let mut servers = MissingServers::default();
    servers.record_store_answer(at(0), LEAVE_WITHIN);
    assert_eq!(servers.record_removal(&vm("s"), at(100)), Removal::Gone);
    assert!(!servers.is_gone(&vm("s"), at(100)), "nothing is kept of it");
}

/// Removals during the outage are read at once when the store is back.
#[test]
fn expired_entry_may_reappear_after_the_outage() {
    let mut servers = after_outage(9_000, LEAVE_WITHIN);
    let removal = servers.record_removal(&vm("s"), at(9_000));
    assert!(matches!(removal, Removal::MayReappear(_)));
    assert!(!servers.is_gone(&vm("s"), at(10_500)));
    servers.record_entry(&vm("s"));
    assert!(!servers.is_gone(&vm("s"), at(20_000)), "it has reappeared");
    assert!(servers.take_gone(at(20_000)).is_empty());
}

/// The pattern of a server that leaves two seconds after the store is back: its removal is read
/// late within the period, which must not start the period anew.
#[test]
fn server_that_leaves_after_the_return_gets_nothing_beyond_the_bound() {
    let mut servers = after_outage(12_000, Duration::from_millis(3000));
    servers.record_removal(&vm("s"), at(13_510));
    assert!(servers.is_gone(&vm("s"), at(14_000)), "two seconds after the return");
    assert_eq!(servers.take_gone(at(14_000)), [vm("s")]);
    assert_eq!(servers.record_removal(&vm("t"), at(14_000)), Removal::Gone);
}

/// The bound on leaving servers is shorter than the time in which entries reappear.
#[test]
fn short_leave_bound_ends_the_period_early() {
    let leave_within = Duration::from_millis(1000);
    let mut servers = after_outage(5_000, leave_within);
    servers.record_removal(&vm("s"), at(5_000));
    assert!(servers.is_gone(&vm("s"), at(5_000) + leave_within));
    assert!(!servers.is_gone(&vm("s"), at(5_500)));
}

/// A missing server stays missing through the next outage: its removal is already known.
#[test]
fn second_outage_does_not_extend_the_period() {
    let mut servers = after_outage(5_000, LEAVE_WITHIN);
    servers.record_removal(&vm("s"), at(5_000));
    servers.record_store_lost();
    servers.record_store_answer(at(6_500), LEAVE_WITHIN);
    servers.record_removal(&vm("s"), at(6_500));
    assert!(servers.is_gone(&vm("s"), at(7_000)));
    servers.record_removal(&vm("t"), at(6_500));
    assert!(!servers.is_gone(&vm("t"), at(7_000)), "its entry went missing in the second outage");
}

/// Guards against a follower that takes removals for final which its relay, without the store until
/// lately, does not.
#[test]
fn entry_that_expired_in_an_outage_of_the_relay_may_reappear() {
    let mut servers = MissingServers::default();
    servers.record_store_answer(at(0), LEAVE_WITHIN);
    servers.record_relayed_period(at(2_500), at(1_000), LEAVE_WITHIN);
    let removal = servers.record_removal(&vm("s"), at(1_000));
    assert_eq!(removal, Removal::MayReappear(at(2_500)));
    assert!(servers.is_gone(&vm("s"), at(2_500)), "its relay uses it no longer");
    assert_eq!(servers.record_removal(&vm("t"), at(2_500)), Removal::Gone);
}

/// A relay that has been without the store later than the last one ends the period later, none ends
/// it earlier.
#[test]
fn period_of_a_relay_does_not_shorten_another_one() {
    let mut servers = after_outage(5_000, LEAVE_WITHIN);
    servers.record_relayed_period(at(5_200), at(5_100), LEAVE_WITHIN);
    servers.record_removal(&vm("s"), at(5_300));
    assert!(!servers.is_gone(&vm("s"), at(6_600)));
    assert!(servers.is_gone(&vm("s"), at(6_700)));
}

/// Whatever the order of outages and removals, a server whose removal was read gets no request
/// beyond the bound.
#[test]
fn no_history_exceeds_the_leave_bound() {
    let mut random = fastrand::Rng::with_seed(16);
    for _ in 0..2_000 {
        let leave_within = Duration::from_millis(random.u64(0..5_000));
        let mut servers = MissingServers::default();
        let mut now = at(0);
        for step in 0..random.usize(0..40) {
            now = now + Duration::from_millis(random.u64(0..1_500));
            match random.u8(0..4) {
                0 => servers.record_store_lost(),
                1 => servers.record_store_answer(now, leave_within),
                2 => {
                    let until = now + Duration::from_millis(random.u64(0..4_000));
                    servers.record_relayed_period(until, now, leave_within);
                }
                _ => {
                    let name = vm(&format!("s{step}"));
                    if let Removal::MayReappear(until) = servers.record_removal(&name, now) {
                        assert!(until.since(now) < leave_within);
                        assert!(servers.is_gone(&name, now + leave_within));
                    }
                }
            }
        }
    }
}
