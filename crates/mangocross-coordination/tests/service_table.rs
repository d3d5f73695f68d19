//! Which backend servers of a plain service take new work.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ServiceTable;
use mangocross_types::ServiceId;
use mangocross_types::VmId;

const RETENTION: Duration = Duration::from_secs(30);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn service() -> ServiceId {
    "registry".parse().unwrap()
}

fn table(listed: &[(&str, u16, Instant)]) -> ServiceTable {
    let mut table = ServiceTable::new(RETENTION);
    for (vm, port, at) in listed {
        table.record_listed(vm.parse().unwrap(), service(), address(*port), *at);
    }
    table
}

#[test]
fn listed_servers_serve_when_none_is_specified() {
    let now = Instant::now();
    let table = table(&[("s-1", 1, now), ("s-2", 2, now)]);
    let staying =
        |gone: &str, now| table.available(&service(), &[], |vm: &VmId| vm.as_str() == gone, now);
    assert_eq!(staying("", now), [address(1), address(2)]);
    assert_eq!(staying("s-2", now), [address(1)]);
    assert_eq!(staying("", now + RETENTION), []);
    let bookings: ServiceId = "bookings".parse().unwrap();
    assert_eq!(table.available(&bookings, &[], |_| false, now), []);
}

#[test]
fn specified_server_on_a_leaving_vm_takes_no_new_work() {
    let now = Instant::now();
    let table = table(&[("s-1", 1, now), ("s-2", 2, now)]);
    let specified = [address(2), address(3)];
    let staying =
        |gone: &str| table.available(&service(), &specified, |vm: &VmId| vm.as_str() == gone, now);
    assert_eq!(staying("s-2"), [address(3)]);
    assert_eq!(staying("s-1"), specified);
}

#[test]
fn address_belongs_to_the_vm_that_was_listed_last() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let is_old = |vm: &VmId| vm.as_str() == "z-old";
    let replaced = table(&[("z-old", 1, now), ("a-new", 1, later)]);
    assert_eq!(replaced.available(&service(), &[], is_old, later), [address(1)]);
    let together = table(&[("z-old", 1, now), ("a-new", 1, now)]);
    assert_eq!(together.available(&service(), &[], is_old, now), []);
}
