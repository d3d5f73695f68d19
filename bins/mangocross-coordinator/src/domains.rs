//! Owns fabric domains: takes over ownership and writes their assignments.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::OrderAuthority;
use mangocross_coordination::ReconcileStep;
use mangocross_coordination::TakeoverBackoff;
use mangocross_coordination::VmHolders;
use mangocross_coordination::reconcile;
use mangocross_coordination::take_over;
use mangocross_coordination::validate_assignment;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::domain_view::DomainView;
use crate::orders::OrderDispatcher;
use crate::preloads::PreloadDispatcher;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between reconciliations of the preferred domains.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Base interval between reads of all assignments; see `CoordinatorState::read_interval`.
const READ_INTERVAL: Duration = Duration::from_millis(5_000);
/// Base interval between reads of all assignments while a newer one is known.
const NEWER_KNOWN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time between reads of all assignments while a registered VM waits for the next read
/// before it may be used.
const UNVERIFIED_READ_INTERVAL_MAX: Duration = Duration::from_millis(1_000);
/// Average time between the reads of all coordinators together, if there are many.
const READ_SPACING: Duration = Duration::from_millis(100);
/// Initial backoff before a domain is taken over again from another live coordinator.
const TAKEOVER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Reconciles the preferred domains periodically.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let mut reconciler = DomainReconciler {
        state: Arc::clone(state),
        orders: OrderDispatcher::new(Arc::clone(state)),
        preloads: PreloadDispatcher::new(Arc::clone(state)),
        backoffs: HashMap::new(),
    };
    let mut read_at: Option<Instant> = None;
    loop {
        let now = state.clock.now();
        let base_interval =
            if knows_newer_assignment(state) { NEWER_KNOWN_READ_INTERVAL } else { READ_INTERVAL };
        let shared = state.read_interval(base_interval, READ_SPACING);
        let interval = if has_unverified_vms(state) {
            shared.min(UNVERIFIED_READ_INTERVAL_MAX)
        } else {
            shared
        };
        if read_at.is_none_or(|it| now.duration_since(it) >= interval) {
            read_all(state);
            read_at = Some(now);
        }
        reconciler.reconcile_all();
        thread::sleep(RECONCILE_INTERVAL);
    }
}

/// Returns the domains whose preferred owner among the live coordinators is this one.
pub(crate) fn preferred_domains(state: &CoordinatorState) -> Vec<FabricDomain> {
    let live = state.live_coordinators();
    let engines = lock(&state.engines_by_domain);
    let own =
        |it: &&FabricDomain| state.owners.owner(it, &live).as_ref() == Some(&state.settings.vm);
    engines.keys().filter(own).cloned().collect()
}

/// Returns whether a peer reported an assignment newer than all that are held here.
fn knows_newer_assignment(state: &CoordinatorState) -> bool {
    let held = lock(&state.assignments).values().map(|it| it.revision).max();
    held.unwrap_or_default() < state.known_assignments_revision.newest()
}

/// Returns whether a VM was registered in an owned domain after the last read of all assignments.
fn has_unverified_vms(state: &CoordinatorState) -> bool {
    let holders = Arc::clone(&lock(&state.vm_holders));
    let held = lock(&state.assignments);
    let mut own = held.values().filter(|it| it.is_owned_by(&state.settings.vm, state.process_id));
    own.any(|it| it.all_registered_since().is_some_and(|at| !holders.is_read_since(at)))
}

/// Reads all assignments, so that another coordinator's domain can be taken over during a store
/// outage and no VM is used that another domain holds.
fn read_all(state: &CoordinatorState) {
    let sent_at = state.clock.now();
    let entries = match state.store.list("domains/") {
        Ok(entries) => entries,
        Err(error) => return log::warn!("assignments could not be read: {error}"),
    };
    let mut read = Vec::new();
    for entry in &entries {
        match serde_json::from_str::<DomainAssignment>(&entry.value) {
            Ok(assignment) => read.push((assignment, entry.revision)),
            Err(error) => log::error!("assignment {} cannot be read: {error}", entry.key),
        }
    }
    if read.len() == entries.len() {
        let holders = VmHolders::new(read.iter().map(|(it, _)| it), sent_at);
        *lock(&state.vm_holders) = Arc::new(holders);
    }
    for (assignment, revision) in read {
        record_assignment(state, assignment, revision, sent_at);
    }
}

fn record_assignment(
    state: &CoordinatorState,
    assignment: DomainAssignment,
    revision: Revision,
    sent_at: Instant,
) {
    let domain = assignment.domain.clone();
    state.known_assignments_revision.record(revision);
    let read = AssignmentCopy::new(assignment, revision, sent_at, state.clock.now());
    let mut all = lock(&state.assignments);
    match all.get_mut(&domain) {
        Some(held) => held.update(read),
        None => drop(all.insert(domain, read)),
    }
}

/// Reconciles the domains that this coordinator should own.
struct DomainReconciler {
    state: Arc<CoordinatorState>,
    orders: OrderDispatcher,
    preloads: PreloadDispatcher,
    backoffs: HashMap<FabricDomain, TakeoverBackoff>,
}

impl DomainReconciler {
    fn reconcile_all(&mut self) {
        let preferred = preferred_domains(&self.state);
        for (_, backoff) in self.backoffs.iter_mut().filter(|(it, _)| !preferred.contains(it)) {
            backoff.record_not_preferred();
        }
        self.orders.begin_round();
        for domain in &preferred {
            if let Err(error) = self.reconcile_domain(domain) {
                log::warn!(domain = domain.as_str(); "assignment was not written: {error}");
            }
        }
        let waiting = self.orders.end_round();
        self.preloads.run_round(&mut self.orders, &preferred, &waiting);
    }

    fn reconcile_domain(&mut self, domain: &FabricDomain) -> Result<(), StoreError> {
        let state = Arc::clone(&self.state);
        if !self.ensure_ownership(domain)? || !state.has_fresh_configuration() {
            return Ok(());
        }
        let Some(mut view) = DomainView::snapshot(&state, domain) else { return Ok(()) };
        if self.is_confirmation_needed(&view) {
            if let Err(error) = reread_assignment(&state, domain) {
                log::warn!(domain = domain.as_str(); "ownership was not confirmed: {error}");
            }
            let Some(again) = DomainView::snapshot(&state, domain) else { return Ok(()) };
            view = again;
        }
        let authority = view.authority();
        for step in reconcile(&view.input(authority)) {
            match step {
                ReconcileStep::Swap(next) => {
                    write(&state, &view.held.assignment, &next, view.held.revision)?
                }
                ReconcileStep::Order { vm, kind } => self.orders.issue(&view, authority, vm, kind),
            }
        }
        Ok(())
    }

    /// Returns whether ownership must be confirmed first: it was not recently, and the steps
    /// include an order or would differ for a confirmed owner.
    fn is_confirmation_needed(&self, view: &DomainView<'_>) -> bool {
        let lifetime = self.state.order_lifetime();
        let full = OrderAuthority::Full { deadline: view.now };
        if !view.held.needs_confirmation(lifetime, view.now) {
            return false;
        }
        let steps = reconcile(&view.input(full));
        steps.iter().any(|it| matches!(it, ReconcileStep::Order { .. }))
            || steps != reconcile(&view.input(OrderAuthority::IdleOnly))
    }

    /// Returns whether this process is already the recorded owner; otherwise tries to take the
    /// domain over, if the backoff allows it.
    fn ensure_ownership(&mut self, domain: &FabricDomain) -> Result<bool, StoreError> {
        let state = &self.state;
        let new_backoff = || TakeoverBackoff::new(TAKEOVER_BACKOFF);
        let backoff = self.backoffs.entry(domain.clone()).or_insert_with(new_backoff);
        let now = state.clock.now();
        let held = lock(&state.assignments).get(domain).cloned();
        if state.owns(domain) {
            backoff.record_owned(now);
            return Ok(true);
        }
        if state.is_stopping() {
            return Ok(false);
        }
        let recorded = held.as_ref().and_then(|it| it.assignment.owner.as_ref());
        if recorded.is_some() {
            backoff.record_owned_by_other(now, fastrand::u32(..=1_000));
        }
        let is_live =
            |it: &VmId| *it != state.settings.vm && state.live_coordinators().contains(it);
        if backoff.begin_takeover(recorded.is_some_and(is_live), now) {
            replace_owner(state, domain, held.as_ref())
                .inspect_err(|_| backoff.record_store_failure())?;
        }
        Ok(false)
    }
}

/// Takes a domain over, unless its owner has changed since `held` was read.
fn replace_owner(
    state: &CoordinatorState,
    domain: &FabricDomain,
    held: Option<&AssignmentCopy>,
) -> Result<(), StoreError> {
    let sent_at = state.clock.now();
    let key = DomainAssignment::key(domain);
    let (read, revision) = read_json::<DomainAssignment>(state.store.as_ref(), &key)?;
    if let Some(read) = &read {
        record_assignment(state, read.clone(), revision, sent_at);
        if held.is_none_or(|it| it.assignment.fencing_number != read.fencing_number) {
            return Ok(());
        }
    }
    let read = read.unwrap_or_else(|| DomainAssignment::empty(domain.clone()));
    let next = take_over(&read, &state.settings.vm, state.process_id);
    log::info!(domain = domain.as_str(); "taking over with fencing number {}", next.fencing_number);
    write(state, &read, &next, revision)
}

/// Reads a domain's assignment from the store and records it, which confirms that it is the
/// newest.
pub(crate) fn reread_assignment(
    state: &CoordinatorState,
    domain: &FabricDomain,
) -> Result<(), StoreError> {
    let sent_at = state.clock.now();
    let key = DomainAssignment::key(domain);
    if let (Some(read), revision) = read_json(state.store.as_ref(), &key)? {
        record_assignment(state, read, revision, sent_at);
    }
    Ok(())
}

/// Writes an assignment by compare-and-swap; on a conflict reads the stored one instead.
fn write(
    state: &CoordinatorState,
    before: &DomainAssignment,
    next: &DomainAssignment,
    expected: Revision,
) -> Result<(), StoreError> {
    if let Err(error) = validate_assignment(next) {
        log::error!(domain = next.domain.as_str(); "an invalid assignment was not written: {error}");
        return Ok(());
    }
    let sent_at = state.clock.now();
    let key = DomainAssignment::key(&next.domain);
    if let Some(revision) = swap_json(state.store.as_ref(), &key, expected, next)? {
        state.metrics.record_assignment_write(before, next);
        record_assignment(state, next.clone(), revision, sent_at);
        return Ok(());
    }
    log::info!(domain = next.domain.as_str(); "another coordinator changed the assignment");
    reread_assignment(state, &next.domain)
}
