//! Orders idle VMs to preload weights, and cancels preloads when groups need the fetch slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::OrderAuthority;
use mangocross_coordination::ReconcileStep;
use mangocross_coordination::preload_orders;
use mangocross_coordination::preloading_vms;
use mangocross_policy::preload_slots;
use mangocross_types::FabricDomain;
use mangocross_types::OrderKind;
use mangocross_types::VmId;

use crate::domain_view::DomainView;
use crate::domains::reread_assignment;
use crate::orders::OrderDispatcher;
use crate::state::CoordinatorState;

/// Time between checks for due preloads.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Minimum time between preload orders to the same VM, which may be unable to execute them.
const PRELOAD_REPEAT: Duration = Duration::from_secs(60);

/// Dispatches the orders to preload and to cancel preloads.
pub(crate) struct PreloadDispatcher {
    state: Arc<CoordinatorState>,
    last_check: Option<Instant>,
    ordered_at: HashMap<VmId, Instant>,
}

impl PreloadDispatcher {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        Self { state, last_check: None, ordered_at: HashMap::new() }
    }

    /// Starts or cancels preloads in the preferred domains; `waiting` are the VMs whose loads wait
    /// for the weight store.
    pub(crate) fn run_round(
        &mut self,
        orders: &mut OrderDispatcher,
        domains: &[FabricDomain],
        waiting: &[VmId],
    ) {
        if !waiting.is_empty() {
            return self.cancel_preloads(orders, domains, waiting);
        }
        let now = self.state.clock.now();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CHECK_INTERVAL;
        if self.last_check.is_some_and(is_recent) {
            return;
        }
        self.last_check = Some(now);
        self.ordered_at.retain(|_, at| now.saturating_duration_since(*at) < PRELOAD_REPEAT);
        self.start(orders, domains);
    }

    /// Cancels as many preloads as there are waiting loads.
    fn cancel_preloads(
        &self,
        orders: &mut OrderDispatcher,
        domains: &[FabricDomain],
        waiting: &[VmId],
    ) {
        let mut needed = waiting.len();
        for domain in domains.iter().filter(|it| self.may_order(it)) {
            let Some(view) = DomainView::snapshot(&self.state, domain) else { continue };
            let preloading = preloading_vms(&view.input(OrderAuthority::None));
            let others = preloading.into_iter().filter(|it| !waiting.contains(it));
            let cancelled: Vec<VmId> = others.take(needed).collect();
            needed -= cancelled.len();
            for vm in cancelled {
                issue(&self.state, orders, domain, vm, OrderKind::CancelPreload);
            }
        }
    }

    fn start(&mut self, orders: &mut OrderDispatcher, domains: &[FabricDomain]) {
        let due: Vec<(FabricDomain, VmId, OrderKind)> =
            domains.iter().flat_map(|it| self.due(it)).collect();
        if due.is_empty() {
            return;
        }
        let owners = u32::try_from(self.state.live_coordinators().len()).unwrap_or(u32::MAX);
        let slots = orders.fetch_slots();
        let slots = preload_slots(slots.free, slots.max, owners, fastrand::u64(..));
        for (domain, vm, kind) in due.into_iter().take(slots as usize) {
            self.ordered_at.insert(vm.clone(), self.state.clock.now());
            issue(&self.state, orders, &domain, vm, kind);
        }
    }

    /// Returns the preloads of a domain that are due and were not ordered recently.
    fn due(&self, domain: &FabricDomain) -> Vec<(FabricDomain, VmId, OrderKind)> {
        if !self.may_order(domain) {
            return Vec::new();
        }
        let Some(view) = DomainView::snapshot(&self.state, domain) else { return Vec::new() };
        let steps = preload_orders(&view.input(OrderAuthority::None)).into_iter();
        let due = steps.filter_map(|it| match it {
            ReconcileStep::Order { vm, kind } if !self.ordered_at.contains_key(&vm) => {
                Some((domain.clone(), vm, kind))
            }
            ReconcileStep::Order { .. } | ReconcileStep::Swap(_) => None,
        });
        due.collect()
    }

    fn may_order(&self, domain: &FabricDomain) -> bool {
        self.state.has_fresh_configuration() && self.state.owns(domain)
    }
}

/// Issues an order if the store has recently confirmed the ownership; asks it first if necessary.
fn issue(
    state: &CoordinatorState,
    orders: &mut OrderDispatcher,
    domain: &FabricDomain,
    vm: VmId,
    kind: OrderKind,
) {
    let Some(view) = DomainView::snapshot(state, domain) else { return };
    if view.held.needs_confirmation(state.order_lifetime(), view.now)
        && let Err(error) = reread_assignment(state, domain)
    {
        return log::warn!(domain = domain.as_str(); "ownership was not confirmed: {error}");
    }
    let Some(view) = DomainView::snapshot(state, domain) else { return };
    let authority = view.authority();
    if matches!(authority, OrderAuthority::Full { .. }) {
        orders.issue(&view, authority, vm, kind);
    }
}
