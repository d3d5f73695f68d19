//! Keeps this VM's lease, its address and, where it is free, the planner's key.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use mangocross_platform::StoreCall;
use mangocross_platform::StorePut;
use mangocross_platform::WriteOutcome;
use mangocross_serving::Moment;
use mangocross_types::Revision;

use crate::state::AppState;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;
use crate::store_changes;

/// Prefix of the entry VMs' addresses.
pub(crate) const ENTRY_VMS_PREFIX: &str = "mangocross/entry/";
/// Key of the entry VM that plans.
pub(crate) const PLANNER_KEY: &str = "mangocross/planner";
/// Time that an entry VM's address outlasts it.
const ADDRESS_LEASE_TTL: Duration = Duration::from_millis(7000);
/// Time between renewals of the address.
const ADDRESS_RENEW_INTERVAL: Duration = Duration::from_millis(2000);
/// Time that the planner's lease lasts; bounds the time without a planner after a crash.
const PLANNER_LEASE_TTL: Duration = Duration::from_millis(2000);
/// Time between renewals; two may be lost.
const PLANNER_RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time between looks whether the store was regained.
const STORE_RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that an entry VM lets better ones go first.
const ELECTION_DELAY_MAX: Duration = Duration::from_millis(400);
/// Part of a core, and rate of a link, from which on an entry VM plans with ease.
const NO_DELAY_CORE_SHARE: f64 = 0.25;
const NO_DELAY_LINK_MBPS: f64 = 100.0;
/// Spread of the attempts to become the planner, for each entry VM.
const ELECTION_SPREAD: Duration = Duration::from_millis(4);

/// Keeps the lease for as long as the process runs.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        loop {
            if let Err(error) = maintain_leases(&state).await
                && state.log_rate.allow("lease lost", state.now()).is_some()
            {
                log::warn!(error:% = error; "lease lost");
            }
            state.planner_term.set(None);
            tokio::time::sleep(PLANNER_RENEW_INTERVAL / 2).await;
            // Whoever follows the store finds out when it is back.
            while state.is_store_lost.get() {
                tokio::time::sleep(STORE_RECOVERY_CHECK_INTERVAL).await;
            }
        }
    });
}

/// The span in which this process may plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannerTerm {
    /// Revision of the planner's key; a condition of each write.
    pub(crate) revision: Revision,
    /// When the lease was last known to hold.
    pub(crate) confirmed_at: Moment,
}

impl PlannerTerm {
    /// Returns whether the lease still holds for certain.
    pub(crate) fn is_valid(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < PLANNER_LEASE_TTL
    }
}

/// Asks for a lease and renews it; returns when it has ended.
async fn maintain_leases(state: &AppState) -> Result<(), StoreError> {
    let address_lease = grant_lease(state, ADDRESS_LEASE_TTL).await?;
    publish_address(state, address_lease).await?;
    loop {
        let renewed_at = state.now();
        renew_lease(state, address_lease).await?;
        while state.now().since(renewed_at) < ADDRESS_RENEW_INTERVAL {
            if state.is_stopping() {
                state.store.call(StoreCall::end_lease(address_lease), CALL_TIMEOUT).await?;
                std::future::pending::<()>().await;
            }
            let planner_lease = try_become_planner(state).await?;
            if let Some(lease) = planner_lease {
                maintain_planner_lease(state, lease, address_lease).await?;
            }
            tokio::select! {
                () = tokio::time::sleep(PLANNER_RENEW_INTERVAL) => {}
                () = state.lease_wakeup.notified() => {}
            }
        }
    }
}

async fn grant_lease(state: &AppState, time_to_live: Duration) -> Result<u64, StoreError> {
    let (status, body) = state.store.call(StoreCall::lease(time_to_live), CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(StoreError::Refused { status });
    }
    Ok(WriteOutcome::decode_lease(&body)?)
}

async fn renew_lease(state: &AppState, lease: u64) -> Result<(), StoreError> {
    let (status, _) = state.store.call(StoreCall::renew(lease), PLANNER_RENEW_INTERVAL * 2).await?;
    match status {
        StatusCode::OK => Ok(()),
        status => Err(StoreError::Refused { status }),
    }
}

/// Renews the planner's lease, and the one of the address, until it has ended or the process stops.
async fn maintain_planner_lease(
    state: &AppState,
    lease: u64,
    address_lease: u64,
) -> Result<(), StoreError> {
    let mut renewed_at = state.now();
    let mut address_renewed_at = renewed_at;
    while !state.is_stopping() {
        tokio::select! {
            () = tokio::time::sleep(PLANNER_RENEW_INTERVAL) => {}
            () = state.lease_wakeup.notified() => {}
        }
        let asked_at = state.now();
        if asked_at.since(address_renewed_at) > ADDRESS_RENEW_INTERVAL {
            match renew_lease(state, address_lease).await {
                Ok(()) => address_renewed_at = asked_at,
                Err(error) => log::warn!(error:% = error; "lease of the address not renewed"),
            }
        }
        match renew_lease(state, lease).await {
            Ok(()) => renewed_at = asked_at,
            Err(error @ StoreError::Refused { status: StatusCode::NOT_FOUND }) => {
                return Err(error);
            }
            // The lease may outlast an outage of the store; until it is renewed, nothing is planned.
            Err(error) => {
                if state.log_rate.allow("planner's lease not renewed", asked_at).is_some() {
                    log::warn!(error:% = error; "planner's lease not renewed");
                }
            }
        }
        let term = state.planner_term.get();
        let confirmed = term.map(|it| PlannerTerm { confirmed_at: renewed_at, ..it });
        state.planner_term.set(confirmed);
    }
    state.planner_term.set(None);
    state.store.call(StoreCall::end_lease(lease), CALL_TIMEOUT).await?;
    Ok(())
}

async fn publish_address(state: &AppState, lease: u64) -> Result<(), StoreError> {
    let key = format!("{ENTRY_VMS_PREFIX}{}", state.vm.name);
    let address = format!("{}:{}", state.vm.ip, state.vm.peer_port);
    let put = StorePut { key, value: address.into_bytes(), lease: Some(lease) };
    let (status, body) = state.store.call(StoreCall::write(&[], &[put], &[]), CALL_TIMEOUT).await?;
    match WriteOutcome::decode(status, &body)? {
        WriteOutcome::Written(_) => Ok(()),
        _ => Err(StoreError::Refused { status }),
    }
}

/// Returns how long an entry VM with little processor or network lets the others go first.
fn election_delay(state: &AppState) -> Duration {
    let core = (state.vm.core_share / NO_DELAY_CORE_SHARE).min(1.0);
    let link = (state.vm.link_mbps / NO_DELAY_LINK_MBPS).min(1.0);
    ELECTION_DELAY_MAX.mul_f64(1.0 - core.min(link))
}

/// Takes the planner's key if nobody holds it; returns the lease that goes with it.
async fn try_become_planner(state: &AppState) -> Result<Option<u64>, StoreError> {
    let is_vacant = || !state.view.borrow().own_keys.contains_key(PLANNER_KEY);
    let may_plan = || {
        state.is_caught_up.get() && !state.is_store_lost.get() && state.configuration().is_some()
    };
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let entry_vms = state.view.borrow().peers.len().max(1) as u32;
    let spread = (ELECTION_SPREAD * entry_vms).mul_f64(fastrand::f64());
    tokio::time::sleep(election_delay(state) + spread).await;
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let asked_at = state.now();
    let lease = grant_lease(state, PLANNER_LEASE_TTL).await?;
    let value = state.vm.name.as_bytes().to_vec();
    let put = StorePut { key: PLANNER_KEY.to_owned(), value, lease: Some(lease) };
    let call = StoreCall::write(&[(PLANNER_KEY, Revision(0))], &[put], &[]);
    let (status, body) = state.store.call(call, CALL_TIMEOUT).await?;
    let revision = match WriteOutcome::decode(status, &body)? {
        WriteOutcome::Written(revision) => revision,
        // The changes that name the planner may come much later.
        WriteOutcome::Conflict(items) => {
            store_changes::apply_keys(state, items);
            return Ok(None);
        }
        WriteOutcome::NoLease | WriteOutcome::Unavailable => return Ok(None),
    };
    log::info!(revision = revision.0; "planner's key taken");
    state.planner_term.set(Some(PlannerTerm { revision, confirmed_at: asked_at }));
    state.planner_inputs_changed.notify_one();
    Ok(Some(lease))
}
