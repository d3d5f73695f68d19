//! Maintains the leases on this VM's address and, if it becomes the planner, on the planner's key.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use log::kv::Value;
use mangocross_platform::StoreCall;
use mangocross_platform::StorePut;
use mangocross_platform::WriteOutcome;
use mangocross_serving::Moment;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;

use crate::state::AppState;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;
use crate::store_changes;

/// Key prefix of the entry VMs' addresses.
pub(crate) const ENTRY_VMS_PREFIX: &str = "mangocross/entry/";
/// Key that names the entry VM that plans.
pub(crate) const PLANNER_KEY: &str = "mangocross/planner";
/// TTL of an entry VM's address; it stays listed that long after a crash.
const ADDRESS_LEASE_TTL: Duration = Duration::from_millis(12_000);
/// Time between renewals of the address lease; two may be lost.
const ADDRESS_RENEW_INTERVAL: Duration = Duration::from_millis(4000);
/// Attempts to write the address while its key has other revisions than expected.
const ADDRESS_WRITES_MAX: usize = 3;
/// TTL of the planner's lease; limits the time without a planner after a crash.
const PLANNER_LEASE_TTL: Duration = Duration::from_millis(2000);
/// Time after the last renewal in which the planner's lease may have survived an outage of the store.
const PLANNER_LEASE_RETENTION: Duration = Duration::from_millis(8000);
/// Time between renewals of the planner's lease; two may be lost.
const PLANNER_RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which the planner keeps its key while it reaches no server.
const CUT_OFF_TERM_MAX: Duration = Duration::from_millis(600);
/// Delay before leases are requested again after a lost one; doubles with each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum of that delay, for a VM that the store refuses while it serves the others.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(3000);
/// Time between checks whether the store is reachable again.
const STORE_RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum delay before an entry VM with few resources tries to become the planner.
const ELECTION_DELAY_MAX: Duration = Duration::from_millis(400);
/// Random spread of the attempts to become the planner, per entry VM.
const ELECTION_SPREAD: Duration = Duration::from_millis(4);

/// Starts the task that maintains the leases.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let mut failures = 0;
        loop {
            let began_at = state.now();
            if let Err(error) = maintain_leases(&state).await
                && state.log_rate.allow("lease lost", state.now()).is_some()
            {
                log::warn!(error:% = error; "lease lost");
            }
            state.planner_term.set(None);
            let has_held = state.now().since(began_at) > ADDRESS_RENEW_INTERVAL;
            failures = if has_held { 0 } else { failures + 1 };
            let longest = FIRST_RETRY_DELAY.saturating_mul(1 << failures.min(8));
            let delay = longest.min(RETRY_DELAY_MAX).mul_f64(0.7 + 0.3 * fastrand::f64());
            tokio::time::sleep(delay).await;
            // The task that follows the store detects when it is reachable again.
            while state.is_store_lost.get() {
                tokio::time::sleep(STORE_RECOVERY_CHECK_INTERVAL).await;
            }
        }
    });
}

/// A lease, and the era of the store that granted it; later ones give its number out again.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    era: StoreEra,
}

impl Lease {
    /// Fails if the store has come back from an older copy since.
    fn check(self, state: &AppState) -> Result<(), StoreError> {
        match state.store.era() == self.era {
            true => Ok(()),
            false => Err(StoreError::EraChanged),
        }
    }
}

/// The term in which this process is the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannerTerm {
    /// Revision of the planner's key; a condition of each write.
    pub(crate) revision: StoreRevision,
    /// When the lease was last confirmed.
    pub(crate) confirmed_at: Moment,
}

impl PlannerTerm {
    /// Returns whether the lease is certain to be still valid.
    pub(crate) fn is_valid(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < PLANNER_LEASE_TTL
    }

    /// Returns whether the lease may be renewed once the store is back.
    pub(crate) fn may_be_held(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < PLANNER_LEASE_RETENTION
    }
}

/// Publishes this VM's address, keeps it listed and becomes the planner if there is none; fails when a
/// lease is lost.
async fn maintain_leases(state: &AppState) -> Result<(), StoreError> {
    let mut address = PublishedAddress::publish(state).await?;
    loop {
        if state.is_stopping() {
            address.lease.check(state)?;
            end_lease(state, address.lease).await?;
            std::future::pending::<()>().await;
        }
        address.maintain(state).await?;
        let planner_lease = try_become_planner(state).await?;
        if let Some(lease) = planner_lease {
            maintain_planner_lease(state, lease, &mut address).await?;
        }
        tokio::select! {
            () = tokio::time::sleep(PLANNER_RENEW_INTERVAL) => {}
            () = state.lease_wakeup.notified() => {}
        }
    }
}

/// This VM's address as it was last written.
#[derive(Debug, Clone, Copy)]
struct PublishedAddress {
    lease: Lease,
    revision: StoreRevision,
    renewed_at: Moment,
    /// When the store last told that the address is listed although this VM's view lacks it.
    confirmed_at: Option<Moment>,
}

impl PublishedAddress {
    /// Publishes this VM's address under a new lease.
    async fn publish(state: &AppState) -> Result<Self, StoreError> {
        let renewed_at = state.now();
        let lease = grant_lease(state, ADDRESS_LEASE_TTL).await?;
        let revision = write_address(state, lease, None).await?;
        Ok(Self { lease, revision, renewed_at, confirmed_at: None })
    }

    /// Renews the lease if that is due, and writes the address again if it is no longer listed as it
    /// was written; under a new lease if the present one has ended in its era.
    async fn maintain(&mut self, state: &AppState) -> Result<(), StoreError> {
        self.lease.check(state)?;
        match self.maintain_under_lease(state).await {
            Err(StoreError::Refused { status: StatusCode::NOT_FOUND }) => {
                *self = Self::publish(state).await?;
                log::warn!(revision = self.revision.revision.0; "address lease ended, address written again");
                Ok(())
            }
            it => it,
        }
    }

    async fn maintain_under_lease(&mut self, state: &AppState) -> Result<(), StoreError> {
        let now = state.now();
        if now.since(self.renewed_at) >= ADDRESS_RENEW_INTERVAL {
            self.renewed_at = now;
            match renew_lease(state, self.lease).await {
                Ok(()) => {}
                Err(error) if has_ended(&error) => return Err(error),
                // The lease goes on if the store does not answer; it is renewed next time.
                Err(error) => {
                    if state.log_rate.allow("address lease not renewed", now).is_some() {
                        log::info!(error:% = error; "address lease not renewed");
                    }
                }
            }
        }
        let is_confirmed =
            self.confirmed_at.is_some_and(|it| now.since(it) < ADDRESS_RENEW_INTERVAL);
        if is_confirmed || self.is_listed(state) || state.is_store_lost.get() {
            return Ok(());
        }
        let former = self.revision;
        self.revision = write_address(state, self.lease, Some(former)).await?;
        if self.revision == former {
            self.confirmed_at = Some(now);
        } else {
            let (former, revision) = (former.revision.0, self.revision.revision.0);
            log::warn!(former, revision; "address written again");
        }
        Ok(())
    }

    /// Returns whether the address is listed as it was written, unless the view of this VM is older.
    fn is_listed(&self, state: &AppState) -> bool {
        let view = state.view.borrow();
        let is_recent = view.latest_revision.is_some_and(|it| it >= self.revision);
        let listed = view.entry_vm_keys.get(address_key(state).as_str());
        !is_recent || listed.is_some_and(|it| it.revision == self.revision)
    }
}

async fn grant_lease(state: &AppState, time_to_live: Duration) -> Result<Lease, StoreError> {
    let answer = state.store.call(StoreCall::grant_lease(time_to_live), CALL_TIMEOUT).await?;
    if answer.status != StatusCode::OK {
        return Err(StoreError::Refused { status: answer.status });
    }
    Ok(Lease { id: WriteOutcome::decode_lease(&answer.body)?, era: answer.era })
}

async fn renew_lease(state: &AppState, lease: Lease) -> Result<(), StoreError> {
    lease.check(state)?;
    let call = StoreCall::renew_lease(lease.id);
    let answer = state.store.call(call, PLANNER_RENEW_INTERVAL * 2).await?;
    lease.check(state)?;
    match answer.status {
        StatusCode::OK => Ok(()),
        status => Err(StoreError::Refused { status }),
    }
}

/// Ends a lease, unless it has gone with its era.
async fn end_lease(state: &AppState, lease: Lease) -> Result<(), StoreError> {
    if lease.check(state).is_ok() {
        state.store.call(StoreCall::end_lease(lease.id), CALL_TIMEOUT).await?;
    }
    Ok(())
}

/// Returns whether the failed renewal of a lease shows that the lease has ended.
fn has_ended(error: &StoreError) -> bool {
    matches!(error, StoreError::Refused { status: StatusCode::NOT_FOUND } | StoreError::EraChanged)
}

/// Renews the planner's lease and keeps the address listed until the former ends, this VM no longer follows
/// the store or the process stops.
async fn maintain_planner_lease(
    state: &AppState,
    lease: Lease,
    address: &mut PublishedAddress,
) -> Result<(), StoreError> {
    let mut renewed_at = state.now();
    let mut renewed_since = Some(renewed_at);
    while !state.is_stopping() {
        tokio::select! {
            () = tokio::time::sleep(PLANNER_RENEW_INTERVAL) => {}
            () = state.lease_wakeup.notified() => {}
        }
        let asked_at = state.now();
        match renew_lease(state, lease).await {
            Ok(()) => {
                renewed_at = asked_at;
                renewed_since = renewed_since.or(Some(asked_at));
            }
            Err(error) if has_ended(&error) => return Err(error),
            // The lease may survive a store outage; until it is renewed, nothing is planned.
            Err(error) => {
                renewed_since = None;
                if state.log_rate.allow("planner's lease not renewed", asked_at).is_some() {
                    log::warn!(error:% = error; "planner's lease not renewed");
                }
            }
        }
        let term = state.planner_term.get();
        let confirmed = term.map(|it| PlannerTerm { confirmed_at: renewed_at, ..it });
        state.planner_term.set(confirmed);
        if let Err(error) = address.maintain(state).await
            && state.log_rate.allow("planner's address not maintained", state.now()).is_some()
        {
            log::warn!(error:% = error; "planner's address not maintained");
        }
        let is_useless = state.is_cut_off_for(CUT_OFF_TERM_MAX);
        if is_useless || state.store_view.borrow().must_give_up_term(state.now(), renewed_since) {
            return give_up_term(state, lease).await;
        }
    }
    state.planner_term.set(None);
    end_lease(state, lease).await
}

/// Ends the planner's lease, so that another VM plans.
async fn give_up_term(state: &AppState, lease: Lease) -> Result<(), StoreError> {
    let term =
        state.planner_term.take().map_or(Value::null(), |it| Value::from(it.revision.revision.0));
    {
        let view = state.store_view.borrow();
        let age = view.age(state.now());
        let age_ms = age.map_or(Value::null(), |it| Value::from(it.as_millis() as u64));
        log::warn!(term, extent = view.extent().name(), age_ms; "planner's key given up");
    }
    // Unless it is ended, the lease runs out.
    if let Err(error) = end_lease(state, lease).await {
        log::info!(error:% = error; "planner's lease not ended");
    }
    Ok(())
}

fn address_key(state: &AppState) -> String {
    format!("{ENTRY_VMS_PREFIX}{}", state.vm.name)
}

/// Writes this VM's address unless the key has the revision `own`; returns the key's revision.
///
/// The store may carry out a write seconds later. Each one has the condition that the key is still as
/// it was known, so that it cannot undo a later one and bind the address to a lease of the past.
async fn write_address(
    state: &AppState,
    lease: Lease,
    own: Option<StoreRevision>,
) -> Result<StoreRevision, StoreError> {
    let key = address_key(state);
    let known = state.view.borrow().entry_vm_keys.get(key.as_str()).map(|it| it.revision);
    let known = known.filter(|it| it.era == lease.era);
    let mut expected = known.map_or(Revision(0), |it| it.revision);
    for _ in 0..ADDRESS_WRITES_MAX {
        let value = state.listing().to_string().into_bytes();
        let put = StorePut { key: key.clone(), value, lease: Some(lease.id) };
        let call = StoreCall::write(&[(&key, expected)], &[put], &[]);
        let answer = state.store.call(call, CALL_TIMEOUT).await?;
        lease.check(state)?;
        match WriteOutcome::decode(answer.status, &answer.body, answer.era)? {
            WriteOutcome::Written(revision) => return Ok(revision),
            WriteOutcome::Conflict(items) => {
                let present = items.into_iter().find(|it| it.key == key).map(|it| it.revision);
                if let Some(present) = present.filter(|it| Some(*it) == own) {
                    return Ok(present);
                }
                expected = present.map_or(Revision(0), |it| it.revision);
            }
            WriteOutcome::NoLease | WriteOutcome::Unavailable => {
                return Err(StoreError::Refused { status: answer.status });
            }
        }
    }
    Err(StoreError::Refused { status: StatusCode::PRECONDITION_FAILED })
}

/// Returns the delay before this VM tries to become the planner; longer the less capacity it has.
fn election_delay(state: &AppState) -> Duration {
    ELECTION_DELAY_MAX.mul_f64(1.0 - state.listing().capacity_share())
}

/// Writes the planner's key if no entry VM holds it; returns the lease of the key.
async fn try_become_planner(state: &AppState) -> Result<Option<Lease>, StoreError> {
    let is_vacant = || !state.view.borrow().entry_vm_keys.contains_key(PLANNER_KEY);
    let may_plan = || {
        state.store_view.borrow().may_take_term(state.now())
            && !state.is_cut_off()
            && !state.is_store_lost.get()
            && state.configuration().is_some()
    };
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let entry_vms = state.view.borrow().entry_vms.len().max(1) as u32;
    let spread = (ELECTION_SPREAD * entry_vms).mul_f64(fastrand::f64());
    tokio::time::sleep(election_delay(state) + spread).await;
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let asked_at = state.now();
    let lease = grant_lease(state, PLANNER_LEASE_TTL).await?;
    let value = state.vm.name.as_bytes().to_vec();
    let put = StorePut { key: PLANNER_KEY.to_owned(), value, lease: Some(lease.id) };
    let call = StoreCall::write(&[(PLANNER_KEY, Revision(0))], &[put], &[]);
    let answer = state.store.call(call, CALL_TIMEOUT).await?;
    let revision = match WriteOutcome::decode(answer.status, &answer.body, answer.era)? {
        WriteOutcome::Written(revision) => revision,
        // The watch may report the current planner much later, so its key is applied here.
        WriteOutcome::Conflict(items) => {
            store_changes::apply_keys(state, items);
            return Ok(None);
        }
        WriteOutcome::NoLease | WriteOutcome::Unavailable => return Ok(None),
    };
    if revision.era != lease.era {
        // The key is bound to a lease of another VM, which goes on renewing it.
        let expected = [(PLANNER_KEY, revision.revision)];
        let call = StoreCall::write(&expected, &[], &[PLANNER_KEY]);
        state.store.call(call, CALL_TIMEOUT).await?;
        return Err(StoreError::EraChanged);
    }
    log::info!(revision = revision.revision.0, era = revision.era.0; "planner's key taken");
    state.planner_term.set(Some(PlannerTerm { revision, confirmed_at: asked_at }));
    if !may_plan() {
        // This VM has lost the store or changed to a relay while the key was written.
        give_up_term(state, lease).await?;
        return Ok(None);
    }
    state.planner_inputs_changed.notify_one();
    Ok(Some(lease))
}
