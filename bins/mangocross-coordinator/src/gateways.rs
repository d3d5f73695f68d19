//! Reports of gateways, received directly and through other coordinators.

use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::GatewayStatus;
use mangocross_coordination::RevisionObservation;
use mangocross_types::VmId;
use peer_entry::CustomerUsage;
use peer_entry::GatewayReport;
use peer_entry::Poll;

use crate::peers::milliseconds_up;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Records the revision, usage and failures in a gateway's poll.
pub(crate) fn record_gateway_poll(state: &CoordinatorState, poll: &Poll, now: Instant) {
    let reported_after = reported_after(state, poll);
    if let Some(sent_at) = reported_after {
        let (process_id, revision) = (poll.process_id, poll.revision);
        let observation = RevisionObservation { process_id, revision, sent_at, received_at: now };
        lock(&state.acceptance).record_gateway(poll.vm.clone(), &observation);
    }
    if poll.reports {
        let status = GatewayStatus {
            process_id: poll.process_id,
            revision: poll.revision,
            reported_after,
            age_counts_from: now,
            is_direct: true,
            report: poll.usage.clone(),
        };
        lock(&state.gateways).record(&poll.vm, status);
    }
    lock(&state.failures).extend(&poll.failures);
}

/// Returns when this process sent the reply that the poll echoes, which is before the poll was
/// sent; `None` if there is no echo or another process sent that reply.
fn reported_after(state: &CoordinatorState, poll: &Poll) -> Option<Instant> {
    let echo = poll.echo.filter(|it| it.process_id == state.process_id)?;
    state.started_at.checked_add(Duration::from_millis(echo.uptime_ms))
}

/// Applies a gateway's report that another coordinator relayed in its reply to a poll sent at
/// `sent_at`.
///
/// The age is counted back from the poll, so that transit never makes the report younger.
pub(crate) fn apply_gateway_report(
    state: &CoordinatorState,
    report: GatewayReport,
    sent_at: Instant,
) {
    let age = Duration::from_millis(report.age_ms.into());
    let Some(reported_after) = sent_at.checked_sub(age) else { return };
    let (process_id, revision) = (report.process_id, report.revision);
    let received_at = state.clock.now();
    let observation =
        RevisionObservation { process_id, revision, sent_at: reported_after, received_at };
    lock(&state.acceptance).record_gateway(report.vm.clone(), &observation);
    let status = GatewayStatus {
        process_id,
        revision,
        reported_after: Some(reported_after),
        age_counts_from: reported_after,
        is_direct: false,
        report: report.usage,
    };
    lock(&state.gateways).record(&report.vm, status);
}

/// Returns the reports received directly from gateways, for the other coordinators.
pub(crate) fn reports(state: &CoordinatorState, now: Instant) -> Vec<GatewayReport> {
    let gateways = lock(&state.gateways);
    let reports = gateways.direct(now).filter_map(|(vm, status)| {
        Some(GatewayReport {
            vm: vm.clone(),
            process_id: status.process_id,
            revision: status.revision,
            age_ms: milliseconds_up(now.saturating_duration_since(status.reported_after?)),
            usage: status.report.clone(),
        })
    });
    reports.collect()
}

pub(crate) fn usage_at_other_gateways(
    state: &CoordinatorState,
    asker: &VmId,
    now: Instant,
) -> Vec<CustomerUsage> {
    let gateways = lock(&state.gateways);
    let mut total: Vec<CustomerUsage> = Vec::new();
    let others = gateways.current(now).filter(|(vm, _)| *vm != asker);
    for usage in others.flat_map(|(_, it)| &it.report) {
        match total.iter_mut().find(|it| it.customer == usage.customer) {
            Some(sum) => {
                sum.in_flight += usage.in_flight;
                sum.demand_per_second += usage.demand_per_second;
            }
            None => total.push(usage.clone()),
        }
    }
    total
}
