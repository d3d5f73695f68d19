//! Tests of an entry VM's address in the store, by which the others find it.

use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::platform::Front;
use crate::platform::Store;
use crate::platform::start_engines;
use crate::platform::wait_until;

const ADDRESSES: &str = "mangocross/entry/";
const PLANNER_KEY: &str = "mangocross/planner";
/// Time within which the lease of the first write ends, and more.
const OBSERVED: Duration = Duration::from_secs(15);

fn key(front: &Front) -> String {
    format!("{ADDRESSES}{}", front.name())
}

/// Guards against an address that a write which is carried out late binds to a lease that nobody
/// renews: the VM is unlisted for good when that lease ends.
#[test]
fn late_write_of_an_address_unlists_nobody() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    store.delay_writes(ADDRESSES, 1, Duration::from_secs(4));
    let front = Front::spawn(&store, 60_000, Stdio::null());
    let began_at = Instant::now();
    wait_until("it is listed", || store.contains_key(&key(&front)));
    while began_at.elapsed() < OBSERVED {
        assert!(store.contains_key(&key(&front)), "after {:?}", began_at.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against an entry VM that does not notice that its address is no longer listed.
#[test]
fn removed_address_is_written_again() {
    let store = Store::spawn();
    store.configure(3, &["k1"]);
    let front = Front::spawn(&store, 60_000, Stdio::null());
    wait_until("it is listed", || store.contains_key(&key(&front)));
    thread::sleep(Duration::from_millis(1500));
    store.remove(&key(&front));
    wait_until("it is listed again", || store.contains_key(&key(&front)));
}

/// Guards against a planner that goes on without its listing when the lease of its address has ended.
#[test]
fn planner_whose_address_lease_has_ended_is_listed_again() {
    let (store, _engines, front) = start_engines();
    wait_until("it plans", || store.text(PLANNER_KEY).is_some_and(|it| it == front.name()));
    store.end_lease_of(&key(&front));
    wait_until("it is listed again", || store.contains_key(&key(&front)));
    assert_eq!(store.text(PLANNER_KEY), Some(front.name()), "it plans on");
}
