//! Servers that say in their answers that they leave, or that they want nothing for a while.

use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::EngineStatus;
use mangocross_serving::Moment;
use mangocross_serving::NoticeChange;
use mangocross_serving::ServerNotice;
use mangocross_serving::ServerNotices;

const LEAVING: ServerNotice = ServerNotice { is_leaving: true, pause: None };

const fn paused(ms: u64) -> ServerNotice {
    ServerNotice { is_leaving: false, pause: Some(Duration::from_millis(ms)) }
}

fn at(ms: u64) -> Moment {
    Moment::after_boot(Duration::from_millis(ms))
}

fn server(id: &str, born_unix_ms: u64) -> BackendServer {
    BackendServer {
        vm: id.parse().expect("a valid id"),
        service: "records".parse().expect("a valid id"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "zone-a".parse().expect("a valid name"),
        slots: 4,
        is_leaving: false,
        engine: EngineStatus { born_unix_ms, ..EngineStatus::default() },
    }
}

#[test]
fn leaving_server_gets_nothing_however_new_its_entries_are() {
    let mut notices = ServerNotices::default();
    let listed = server("i-1", 7);
    assert!(notices.allows_requests(&listed, at(0)));
    assert_eq!(notices.record(&listed.vm, 7, LEAVING, at(0)), NoticeChange::Leaving);
    assert_eq!(notices.record(&listed.vm, 7, LEAVING, at(1)), NoticeChange::None);
    // The entry may still say that the server is ready, and be written again.
    assert!(!notices.allows_requests(&listed, at(3_600_000)));
    assert!(!notices.allows_requests(&server("i-1", 6), at(3_600_000)), "an earlier life");
    assert!(notices.allows_requests(&server("i-2", 7), at(0)), "another server");
}

#[test]
fn new_life_of_a_server_is_not_bound_by_the_last_one() {
    let mut notices = ServerNotices::default();
    let vm = server("i-1", 7).vm;
    notices.record(&vm, 7, ServerNotice { is_leaving: true, ..paused(60_000) }, at(0));
    assert!(notices.allows_requests(&server("i-1", 8), at(1)));
    // An answer of the last life that comes late says nothing of the new one.
    notices.record(&vm, 8, paused(500), at(10));
    assert_eq!(notices.record(&vm, 7, LEAVING, at(20)), NoticeChange::None);
    assert!(!notices.is_leaving(&server("i-1", 8)));
    assert!(!notices.allows_requests(&server("i-1", 8), at(509)));
    assert!(notices.allows_requests(&server("i-1", 8), at(510)));
}

#[test]
fn pause_ends_with_the_latest_of_the_times_named() {
    let mut notices = ServerNotices::default();
    let listed = server("i-1", 7);
    assert_eq!(notices.record(&listed.vm, 7, paused(2_000), at(0)), NoticeChange::Paused);
    // A shorter time in a later answer does not shorten the first one.
    assert_eq!(notices.record(&listed.vm, 7, paused(100), at(50)), NoticeChange::None);
    assert_eq!(notices.pause_left(&listed, at(500)), Some(Duration::from_millis(1_500)));
    assert!(!notices.allows_requests(&listed, at(1_999)));
    assert!(notices.allows_requests(&listed, at(2_000)));
}

#[test]
fn no_pause_and_a_very_long_one_are_no_special_cases() {
    let mut notices = ServerNotices::default();
    let listed = server("i-1", 7);
    assert_eq!(notices.record(&listed.vm, 7, paused(0), at(0)), NoticeChange::None);
    assert!(notices.allows_requests(&listed, at(0)));
    let long = ServerNotice { is_leaving: false, pause: Some(Duration::MAX) };
    notices.record(&listed.vm, 7, long, at(0));
    assert!(!notices.allows_requests(&listed, at(3_600_000)));
}

#[test]
fn first_return_is_known_only_if_nobody_is_there() {
    let mut notices = ServerNotices::default();
    let [first, second, third] = ["i-1", "i-2", "i-3"].map(|id| server(id, 7));
    notices.record(&first.vm, 7, paused(3_000), at(0));
    notices.record(&second.vm, 7, paused(1_000), at(0));
    let both = [first.clone(), second.clone()];
    let all = [first, second, third.clone()];
    assert_eq!(notices.first_return(both.iter(), at(400)), Some(Duration::from_millis(600)));
    assert_eq!(notices.first_return(all.iter(), at(400)), None);
    notices.record(&third.vm, 7, LEAVING, at(400));
    assert_eq!(notices.first_return(all.iter(), at(400)), Some(Duration::from_millis(600)));
    assert_eq!(notices.first_return([third].iter(), at(400)), None);
}

/// The entry of a server that left may come back with an older copy of the store.
#[test]
fn notice_outlives_the_entry_of_its_server() {
    let mut notices = ServerNotices::default();
    let listed = server("i-1", 7);
    notices.record(&listed.vm, 7, LEAVING, at(0));
    notices.expire(at(300_000), |_| false);
    assert!(!notices.allows_requests(&listed, at(300_000)));
    notices.expire(at(900_000), |_| true);
    assert!(!notices.allows_requests(&listed, at(900_000)));
    notices.expire(at(900_000), |_| false);
    assert!(notices.allows_requests(&listed, at(900_000)));
}
