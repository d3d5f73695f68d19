//! One gateway's share of a limit that applies to all gateways together.

use std::time::Duration;

/// Age above which reports of the other gateways are ignored.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// Returns this gateway's share of `limit`.
///
/// The limit is divided in proportion to the reported demand. What exceeds the
/// demand is divided equally, so that a gateway can admit more as its demand rises
/// and all together admit no more than the limit. Without fresh reports of the
/// others the shares are equal: then, with `c` of `n` gateways cut off, all
/// together admit at most `limit * (1 + c / n)`.
pub fn gateway_share(
    limit: f64,
    own_demand: f64,
    others_demand: f64,
    report_age: Option<Duration>,
    gateways: u32,
) -> f64 {
    let equal = limit / f64::from(gateways.max(1));
    if !is_fresh(report_age) {
        return equal;
    }
    let demand = own_demand + others_demand;
    if demand <= limit {
        return own_demand + (limit - demand) / f64::from(gateways.max(1));
    }
    limit * own_demand / demand
}

/// Returns whether reports of the other gateways are recent enough to be used.
pub(crate) fn is_fresh(report_age: Option<Duration>) -> bool {
    report_age.is_some_and(|age| age <= REPORT_AGE_MAX)
}
