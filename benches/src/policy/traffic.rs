//! Generates the requests of ten customers and the matching configuration.

use std::time::Duration;

use mangocross_policy::PrefixHash;
use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::CustomerSpec;
use mangocross_types::KindSpec;
use mangocross_types::KindTarget;
use mangocross_types::Priority;
use mangocross_types::RequestKind;
use mangocross_types::RequestsPerSecond;

use super::Case;
use super::User;
use super::case::FIRST_FAULT_MS;
use super::case::SECOND_MS;
use super::engine::SLOTS;
use super::engine::TOKEN_GAP_MS;

/// Number of customers.
pub(crate) const CUSTOMERS: usize = 10;
/// Number of customers that send eight times as much as the others.
pub(crate) const LARGE_CUSTOMERS: usize = 3;
/// Request kinds by descending priority.
pub(crate) const KINDS: [&str; 3] = ["draft", "summary", "status"];
/// Requests start this long before the first fault.
const BEFORE_MS: u64 = 30 * SECOND_MS;
/// Requests end this long after the first fault.
const AFTER_MS: u64 = 120 * SECOND_MS;
/// Prompt prefixes of each customer.
const PREFIXES_PER_CUSTOMER: u64 = 6;
/// Prompt prefixes of each customer in cases that exceed the caches.
const MANY_PREFIXES_PER_CUSTOMER: u64 = 30;
/// Mean answer length in tokens.
const TOKENS_MEAN: f64 = 75.0;
/// Offered load on an ordinary day as a share of the engines' capacity.
const ORDINARY_LOAD: f64 = 0.65;

/// A request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) at_ms: u64,
    pub(crate) customer: usize,
    pub(crate) kind: usize,
    pub(crate) prefix: PrefixHash,
    pub(crate) tokens: u64,
    pub(crate) deadline_ms: u64,
}

impl Request {
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Returns a customer's ID.
pub(crate) fn customer_id(number: usize) -> CustomerId {
    format!("customer-{number}").parse().expect("a valid id")
}

/// Returns the ID of a request kind.
pub(crate) fn kind_id(number: usize) -> RequestKind {
    KINDS[number].parse().expect("a valid id")
}

/// Returns the configuration of the customers and kinds.
pub(crate) fn configuration(case: Case, user: User, groups: usize) -> Configuration {
    let capacity_per_second = capacity_per_second(groups);
    let customer = |number: usize| {
        let share = if number < LARGE_CUSTOMERS { 0.8 } else { 0.2 };
        let per_second = capacity_per_second * share;
        CustomerSpec {
            id: customer_id(number),
            requests_per_second: RequestsPerSecond(per_second.ceil() as u32),
            in_flight_max: (groups as f64 * SLOTS as f64 * share).ceil() as u32,
            priority: Priority(0),
        }
    };
    let kind = |number: usize| KindSpec {
        id: kind_id(number),
        target: KindTarget::Model("model".parse().expect("a valid id")),
        idempotent: true,
        priority: Priority(5 - 2 * number as u8),
        deadline_ms: 10 * SECOND_MS,
    };
    let mut policy = user.policy();
    if case == Case::PanelWeek {
        policy.first_kinds = vec![kind_id(0)];
    }
    Configuration {
        customers: (0..CUSTOMERS).map(customer).collect(),
        kinds: (0..KINDS.len()).map(kind).collect(),
        policy,
        ..Configuration::default()
    }
}

/// Returns the number of requests per second that the engines can answer.
fn capacity_per_second(groups: usize) -> f64 {
    let seconds_each = (TOKENS_MEAN * TOKEN_GAP_MS as f64 + 200.0) / SECOND_MS as f64;
    groups as f64 * SLOTS as f64 / seconds_each
}

/// Returns the requests of a case, in order of time.
pub(crate) fn requests(case: Case, groups: usize, seed: u64) -> Vec<Request> {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x7472_6166);
    let base_per_ms = capacity_per_second(groups) * ORDINARY_LOAD / SECOND_MS as f64;
    let mut requests = Vec::new();
    for customer in 0..CUSTOMERS {
        let weight = if customer < LARGE_CUSTOMERS { 8.0 } else { 1.0 };
        let share = weight / (8.0 * LARGE_CUSTOMERS as f64 + (CUSTOMERS - LARGE_CUSTOMERS) as f64);
        let mut at_ms = (FIRST_FAULT_MS - BEFORE_MS) as f64;
        loop {
            let rate = base_per_ms * share * load_factor(case, customer, at_ms as u64);
            at_ms += -(1.0 - random.f64()).ln() / rate;
            if at_ms as u64 >= FIRST_FAULT_MS + AFTER_MS {
                break;
            }
            requests.push(request(case, customer, at_ms as u64, &mut random));
        }
    }
    requests.sort_by_key(|it| it.at_ms);
    requests
}

/// Returns the multiple of its usual request rate that a customer sends at a time.
fn load_factor(case: Case, customer: usize, at_ms: u64) -> f64 {
    let in_surge = (FIRST_FAULT_MS..FIRST_FAULT_MS + 60 * SECOND_MS).contains(&at_ms);
    match case {
        Case::FlashCrowd if customer == 0 && in_surge => 6.0,
        Case::PanelWeek => 2.0,
        _ => 1.0,
    }
}

fn request(case: Case, customer: usize, at_ms: u64, random: &mut fastrand::Rng) -> Request {
    let draft_share = if case == Case::PanelWeek { 0.4 } else { 0.3 };
    let kind = match random.f64() {
        it if it < draft_share => 0,
        it if it < draft_share + 0.3 => 1,
        _ => 2,
    };
    let prefixes = match case {
        Case::CachePressure => MANY_PREFIXES_PER_CUSTOMER,
        Case::LargePressure => 4 * MANY_PREFIXES_PER_CUSTOMER,
        _ => PREFIXES_PER_CUSTOMER,
    };
    let number = random.u64(..prefixes).min(random.u64(..prefixes));
    let prefix = PrefixHash(customer as u64 * prefixes + number);
    let tokens = (TOKENS_MEAN * (0.4 + 1.2 * random.f64())) as u64;
    Request { at_ms, customer, kind, prefix, tokens, deadline_ms: 10 * SECOND_MS }
}
