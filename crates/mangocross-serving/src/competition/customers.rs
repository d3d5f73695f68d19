//! Fair shares of the customers in the capacity of a class.

use mangocross_types::CustomerId;

use crate::ClassDemand;

/// Multiple of its fair share, in the demand and in the capacity, up to which a customer is not limited.
const FAIR_SHARE_FACTOR: f64 = 2.0;
/// Steps of the search for the limit; the last one is below a millionth of the demand.
const LIMIT_STEPS: u32 = 20;

/// Admission ratios within a class.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct CustomerRatios {
    /// Ratio of all customers that are not limited.
    pub(super) common: f64,
    /// Ratios of the limited customers.
    pub(super) limited: Vec<(CustomerId, f64)>,
}

/// Divides the streams that a class may start.
///
/// Customers above a multiple of their fair share are limited to an equal rate, and the others get the
/// rest. If that does not suffice, all are scaled down. `floor` is the least ratio of a customer.
pub(super) fn divide(
    demand: &ClassDemand,
    per_s: f64,
    allowed_per_s: f64,
    floor: f64,
) -> CustomerRatios {
    let common = if per_s > allowed_per_s { allowed_per_s / per_s } else { 1.0 };
    let named = || demand.customers.iter().map(|(_, cost)| *cost as f64);
    let all_cost = demand.cost.max(1) as f64;
    let has_others = named().sum::<f64>() < all_cost;
    let others = if has_others { demand.other_customers.max(1) } else { 0 };
    let customers = demand.customers.len() as f64 + f64::from(others);
    let rate = |cost: f64| per_s * cost / all_cost;
    let limit_min = FAIR_SHARE_FACTOR * allowed_per_s / customers.max(1.0);
    let usual_max = FAIR_SHARE_FACTOR * per_s / customers.max(1.0);
    let is_limited = |cost: f64| customers > 1.0 && rate(cost) > usual_max;
    let limited_per_s: f64 = named().filter(|it| is_limited(*it)).map(rate).sum();
    if common >= 1.0 || limited_per_s <= 0.0 {
        return CustomerRatios { common, limited: Vec::new() };
    }
    let rest_per_s = per_s - limited_per_s;
    let total = |limit: f64| {
        let limited = named().filter(|it| is_limited(*it));
        rest_per_s + limited.map(|it| rate(it).min(limit)).sum::<f64>()
    };
    let (mut limit, mut above) = (limit_min, per_s);
    for _ in 0..LIMIT_STEPS {
        let middle = f64::midpoint(limit, above);
        if total(middle) <= allowed_per_s {
            limit = middle;
        } else {
            above = middle;
        }
    }
    let scale = (allowed_per_s / total(limit)).min(1.0);
    let limited = demand.customers.iter().filter(|(_, cost)| is_limited(*cost as f64));
    let ratio = |cost: u64| (limit / rate(cost as f64)).min(1.0) * scale;
    CustomerRatios {
        common: scale,
        limited: limited.map(|(id, cost)| (id.clone(), ratio(*cost).max(floor))).collect(),
    }
}
