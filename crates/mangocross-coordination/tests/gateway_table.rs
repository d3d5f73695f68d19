//! Gateway statuses that coordinators receive directly and through peers.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::GatewayStatus;
use mangocross_coordination::GatewayTable;
use mangocross_types::Revision;
use mangocross_types::VmId;

const VALIDITY: Duration = Duration::from_secs(3);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn status(report: u32, age_counts_from: Instant, is_direct: bool) -> GatewayStatus<u32> {
    let revision = Revision(1);
    GatewayStatus {
        process_id: 1,
        revision,
        reported_after: Some(age_counts_from),
        age_counts_from,
        is_direct,
        report,
    }
}

fn sum(table: &GatewayTable<u32>, now: Instant) -> u32 {
    table.current(now).map(|(_, it)| it.report).sum()
}

#[test]
fn latest_status_counts_once_and_expires_when_the_gateway_is_silent() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut table = GatewayTable::new(VALIDITY);
    table.record(&vm("entry-1"), status(5, at(10), true));
    table.record(&vm("entry-1"), status(7, at(9), false));
    table.record(&vm("entry-2"), status(20, at(10), false));
    assert_eq!(sum(&table, at(11)), 25, "an older status replaced a newer one or counted as well");
    table.record(&vm("entry-1"), status(6, at(12), false));
    assert_eq!(sum(&table, at(12)), 26);
    assert_eq!(sum(&table, at(13)), 6, "a gateway that is silent still counts");
    assert_eq!(sum(&table, at(15)), 0);
}

#[test]
fn only_directly_received_statuses_are_relayed() {
    let now = Instant::now() + VALIDITY;
    let mut table = GatewayTable::new(VALIDITY);
    table.record(&vm("entry-1"), status(1, now, true));
    table.record(&vm("entry-2"), status(2, now, false));
    let direct: Vec<&VmId> = table.direct(now).map(|(vm, _)| vm).collect();
    assert_eq!(direct, [&vm("entry-1")]);
    assert_eq!(table.direct(now + VALIDITY).count(), 0);
}
