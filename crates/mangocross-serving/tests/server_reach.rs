//! When an entry VM takes itself for cut off from the backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::Moment;
use mangocross_serving::ReachChange;
use mangocross_serving::ReachNotice;
use mangocross_serving::ServerReach;

const LISTED: usize = 12;

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

#[test]
fn failures_at_several_servers_in_a_row_are_a_cut() {
    let mut reach = ServerReach::default();
    assert_eq!(reach.record_failure(server(1), LISTED, at(0)), ReachChange::None);
    assert_eq!(reach.record_failure(server(2), LISTED, at(10)), ReachChange::None);
    assert!(!reach.is_doubtful());
    assert_eq!(reach.record_failure(server(3), LISTED, at(20)), ReachChange::Suspected);
    assert_eq!(reach.record_failure(server(4), LISTED, at(30)), ReachChange::None);
    assert!(reach.is_doubtful() && !reach.is_cut_off());
    assert_eq!(reach.record_verified(at(40)), ReachChange::Lost);
    assert_eq!(reach.cut_since(), Some(at(40)));
}

#[test]
fn one_server_that_is_gone_is_no_cut() {
    let mut reach = ServerReach::default();
    for ms in 0..100 {
        assert_eq!(reach.record_failure(server(1), LISTED, at(ms)), ReachChange::None);
    }
    assert_eq!(reach.record_failure(server(1), 1, at(100)), ReachChange::None);
    assert!(!reach.is_doubtful());
}

#[test]
fn connection_that_succeeds_in_between_shows_that_there_is_no_cut() {
    let mut reach = ServerReach::default();
    for round in 0..20 {
        reach.record_failure(server(1), LISTED, at(round));
        reach.record_failure(server(2), LISTED, at(round));
        reach.record_connected(server(3), LISTED, at(round));
        assert!(!reach.is_doubtful());
    }
}

/// A domain is lost, while connections to the others are kept.
#[test]
fn server_that_is_reached_when_a_cut_is_verified_refutes_it() {
    let mut reach = ServerReach::default();
    (1..=9).for_each(|it| {
        reach.record_failure(server(it), LISTED, at(0));
    });
    assert!(reach.is_doubtful());
    reach.record_connected(server(10), LISTED, at(10));
    assert_eq!(reach.record_verified(at(20)), ReachChange::None);
    assert!(!reach.is_doubtful());
}

#[test]
fn failures_of_long_ago_do_not_add_up() {
    let mut reach = ServerReach::default();
    for number in 1..10 {
        let now = at(u64::from(number) * 2_000);
        assert_eq!(reach.record_failure(server(number), LISTED, now), ReachChange::None);
    }
}

#[test]
fn two_servers_reached_in_a_row_end_a_cut() {
    let mut reach = ServerReach::default();
    (1..=3).for_each(|it| {
        reach.record_failure(server(it), LISTED, at(0));
    });
    reach.record_verified(at(0));
    assert_eq!(reach.record_connected(server(1), LISTED, at(100)), ReachChange::None);
    assert_eq!(reach.record_failure(server(2), LISTED, at(110)), ReachChange::None);
    assert_eq!(reach.record_connected(server(1), LISTED, at(120)), ReachChange::None);
    assert_eq!(reach.record_connected(server(1), LISTED, at(130)), ReachChange::None);
    assert!(reach.is_cut_off());
    assert_eq!(reach.record_connected(server(3), LISTED, at(140)), ReachChange::Regained);
    assert!(!reach.is_doubtful());
}

#[test]
fn newest_word_of_a_peer_counts_for_a_while() {
    let notice = |peer: &str, is_cut_off, age_ms| ReachNotice {
        entry_vm: Arc::from(peer),
        is_cut_off,
        age_ms,
    };
    let mut reach = ServerReach::default();
    reach.record_peer(&notice("front-2", true, 0), at(1_000));
    reach.record_peer(&notice("front-3", true, 200), at(1_000));
    reach.record_peer(&notice("front-3", false, 0), at(1_010));
    // A third VM tells what it heard before.
    reach.record_peer(&notice("front-3", true, 100), at(1_020));
    assert!(reach.is_peer_cut_off("front-2", at(2_400)));
    assert!(!reach.is_peer_cut_off("front-2", at(2_500)));
    assert!(!reach.is_peer_cut_off("front-3", at(1_020)));
    let mut told = reach.notices(&Arc::from("front-1"), at(1_100));
    told.sort_by(|a, b| a.entry_vm.cmp(&b.entry_vm));
    let expected =
        [notice("front-1", false, 0), notice("front-2", true, 100), notice("front-3", false, 90)];
    assert_eq!(told, expected);
    assert_eq!(reach.notices(&Arc::from("front-1"), at(9_000)), [notice("front-1", false, 0)]);
}
