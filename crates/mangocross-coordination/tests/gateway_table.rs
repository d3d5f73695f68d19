//! What coordinators know of gateways by themselves and through others.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::GatewayStatus;
use mangocross_coordination::GatewayTable;
use mangocross_types::Revision;
use mangocross_types::VmId;

const KEPT: Duration = Duration::from_secs(3);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn status(report: u32, received_at: Instant, is_direct: bool) -> GatewayStatus<u32> {
    let revision = Revision(1);
    GatewayStatus {
        process_id: 1,
        revision,
        reported_after: Some(received_at),
        received_at,
        is_direct,
        report,
    }
}

fn sum(table: &GatewayTable<u32>, now: Instant) -> u32 {
    table.current(now).map(|(_, it)| it.report).sum()
}

#[test]
fn newest_news_count_once_and_those_of_a_dead_gateway_run_out() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut table = GatewayTable::new(KEPT);
    table.record(&vm("entry-1"), status(5, at(10), true));
    table.record(&vm("entry-1"), status(7, at(9), false));
    table.record(&vm("entry-2"), status(20, at(10), false));
    assert_eq!(sum(&table, at(11)), 25, "an older status replaced newer ones, or counted besides");
    table.record(&vm("entry-1"), status(6, at(12), false));
    assert_eq!(sum(&table, at(12)), 26);
    assert_eq!(sum(&table, at(13)), 6, "a gateway that is silent still counts");
    assert_eq!(sum(&table, at(15)), 0);
}

#[test]
fn only_news_that_came_directly_are_passed_on() {
    let now = Instant::now() + KEPT;
    let mut table = GatewayTable::new(KEPT);
    table.record(&vm("entry-1"), status(1, now, true));
    table.record(&vm("entry-2"), status(2, now, false));
    let direct: Vec<&VmId> = table.direct(now).map(|(vm, _)| vm).collect();
    assert_eq!(direct, [&vm("entry-1")]);
    assert_eq!(table.direct(now + KEPT).count(), 0);
}
