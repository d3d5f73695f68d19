//! Admits or refuses requests by the customers' limits across all entry VMs.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::AdmissionDecision;
use mangocross_policy::AdmissionLimiter;
use mangocross_policy::AdmissionRequest;
use mangocross_policy::AdmissionView;
use mangocross_policy::OtherUsage;
use mangocross_types::Configuration;
use mangocross_types::CustomerId;
use mangocross_types::Refusal;
use peer_entry::CustomerUsage;

use crate::state::lock;

/// Age after which a customer's usage at other gateways is discarded.
const USAGE_RETENTION: Duration = Duration::from_secs(3);

/// Admits or refuses requests by the customers' limits.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControl {
    admission: Mutex<AdmissionLimiter>,
    others: Mutex<OtherGateways>,
}

/// Usage at the other gateways, as reported by coordinators.
#[derive(Debug, Default)]
struct OtherGateways {
    by_customer: BTreeMap<CustomerId, ReportedUsage>,
    /// When the newest poll that returned usage was sent.
    newest_poll_sent_at: Option<Instant>,
}

/// A customer's usage, and when the poll that returned it was sent.
#[derive(Debug)]
struct ReportedUsage {
    usage: CustomerUsage,
    sent_at: Instant,
}

/// Current capacity of the groups or services for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    /// Maximum number of requests that this gateway may have in flight.
    pub(crate) in_flight: u32,
    /// Expected time to the first token.
    pub(crate) first_token: Duration,
}

impl AdmissionControl {
    /// Records the usage at other gateways from the reply to a poll that was sent at `sent_at`.
    pub(crate) fn record_usage(&self, usage: Vec<CustomerUsage>, sent_at: Instant) {
        let mut others = lock(&self.others);
        others.newest_poll_sent_at = others.newest_poll_sent_at.max(Some(sent_at));
        for usage in usage {
            let previous = others.by_customer.get(&usage.customer).map(|it| it.sent_at);
            if previous.is_none_or(|it| it <= sent_at) {
                let customer = usage.customer.clone();
                others.by_customer.insert(customer, ReportedUsage { usage, sent_at });
            }
        }
        others.by_customer.retain(|_, it| it.sent_at + USAGE_RETENTION > sent_at);
    }

    /// Admits or refuses a request; an admitted one counts as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its retry delay.
    pub(crate) fn admit(
        &self,
        request: &AdmissionRequest,
        configuration: &Configuration,
        capacity: Capacity,
        now: Instant,
    ) -> Result<AdmissionGuard<'_>, Refusal> {
        let (others, newest_poll_sent_at) = self.others(now);
        let view = AdmissionView {
            configuration,
            others: &others,
            report_age: newest_poll_sent_at.map(|it| now.saturating_duration_since(it)),
            gateways: u32::try_from(configuration.entry_vms.len().max(1)).unwrap_or(u32::MAX),
            capacity: capacity.in_flight,
            expected_first_token: capacity.first_token,
            now,
            seed: fastrand::u64(..),
        };
        match lock(&self.admission).decide(request, &view) {
            AdmissionDecision::Admit => {
                Ok(AdmissionGuard { control: self, customer: request.customer.clone() })
            }
            AdmissionDecision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Returns each customer's usage at this gateway, to be reported to the other gateways.
    pub(crate) fn usage(&self, configuration: &Configuration, now: Instant) -> Vec<CustomerUsage> {
        let mut admission = lock(&self.admission);
        let customers = configuration.customers.iter();
        let usage = customers.map(|it| {
            let (in_flight, demand_per_second) = admission.usage(&it.id, now);
            CustomerUsage { customer: it.id.clone(), in_flight, demand_per_second }
        });
        usage.filter(|it| it.in_flight > 0 || it.demand_per_second > 0).collect()
    }

    fn others(&self, now: Instant) -> (BTreeMap<CustomerId, OtherUsage>, Option<Instant>) {
        let others = lock(&self.others);
        let usage = others.by_customer.iter().map(|(customer, it)| {
            let age = now.saturating_duration_since(it.sent_at);
            let CustomerUsage { in_flight, demand_per_second, .. } = it.usage;
            (customer.clone(), OtherUsage { in_flight, demand_per_second, age })
        });
        (usage.filter(|(_, it)| it.age < USAGE_RETENTION).collect(), others.newest_poll_sent_at)
    }
}

/// Guard of an admitted request; while it exists, the request counts against the customer's limits.
#[derive(Debug)]
pub(crate) struct AdmissionGuard<'a> {
    control: &'a AdmissionControl,
    customer: CustomerId,
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        lock(&self.control.admission).record_end(&self.customer, Instant::now());
    }
}
