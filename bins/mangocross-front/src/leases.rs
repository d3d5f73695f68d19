//! Keeps this VM's lease, its address and, where it is free, the planner's key.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use mangocross_platform::StoreCall;
use mangocross_platform::StorePut;
use mangocross_platform::WriteOutcome;
use mangocross_serving::Moment;
use mangocross_types::Revision;

use crate::front::Front;
use crate::store::CALL_TIMEOUT;
use crate::store::StoreError;
use crate::store_changes;

/// Prefix of the entry VMs' addresses.
pub(crate) const ENTRY_VMS_PREFIX: &str = "mangocross/entry/";
/// Key of the entry VM that plans.
pub(crate) const PLANNER_KEY: &str = "mangocross/planner";
/// Time that an entry VM's address outlasts it.
const PRESENCE_TIME_TO_LIVE: Duration = Duration::from_millis(7000);
/// Time between renewals of the address.
const PRESENCE_RENEW_INTERVAL: Duration = Duration::from_millis(2000);
/// Time that the planner's lease lasts; bounds the time without a planner after a crash.
const TIME_TO_LIVE: Duration = Duration::from_millis(2000);
/// Time between renewals; two may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time between looks whether the store was regained.
const LOST_STORE_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that an entry VM lets better ones go first.
const HANDICAP_MAX: Duration = Duration::from_millis(400);
/// Part of a core, and rate of a link, from which on an entry VM plans with ease.
const AMPLE_CORE_SHARE: f64 = 0.25;
const AMPLE_LINK_MBPS: f64 = 100.0;
/// Spread of the attempts to become the planner, for each entry VM.
const ELECTION_SPREAD: Duration = Duration::from_millis(4);

/// Keeps the lease for as long as the process runs.
pub(crate) fn spawn(front: &Rc<Front>) {
    let front = Rc::clone(front);
    tokio::task::spawn_local(async move {
        loop {
            if let Err(error) = hold(&front).await
                && front.log_rate.admit("lease lost", front.now()).is_some()
            {
                log::warn!(error:% = error; "lease lost");
            }
            front.planner_term.set(None);
            tokio::time::sleep(RENEW_INTERVAL / 2).await;
            // Whoever follows the store finds out when it is back.
            while front.is_store_lost.get() {
                tokio::time::sleep(LOST_STORE_LOOK_INTERVAL).await;
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
    pub(crate) fn holds(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < TIME_TO_LIVE
    }
}

/// Asks for a lease and renews it; returns when it has ended.
async fn hold(front: &Front) -> Result<(), StoreError> {
    let presence = grant(front, PRESENCE_TIME_TO_LIVE).await?;
    publish(front, presence).await?;
    loop {
        let renewed_at = front.now();
        renew(front, presence).await?;
        while front.now().since(renewed_at) < PRESENCE_RENEW_INTERVAL {
            if front.is_stopping() {
                front.store.call(StoreCall::end_lease(presence), CALL_TIMEOUT).await?;
                std::future::pending::<()>().await;
            }
            let planner_lease = run_for_planner(front).await?;
            if let Some(lease) = planner_lease {
                hold_planner(front, lease, presence).await?;
            }
            tokio::select! {
                () = tokio::time::sleep(RENEW_INTERVAL) => {}
                () = front.planner_vacant.notified() => {}
            }
        }
    }
}

async fn grant(front: &Front, time_to_live: Duration) -> Result<u64, StoreError> {
    let (status, body) = front.store.call(StoreCall::lease(time_to_live), CALL_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Err(StoreError::Refused { status });
    }
    Ok(WriteOutcome::decode_lease(&body)?)
}

async fn renew(front: &Front, lease: u64) -> Result<(), StoreError> {
    let (status, _) = front.store.call(StoreCall::renew(lease), RENEW_INTERVAL * 2).await?;
    match status {
        StatusCode::OK => Ok(()),
        status => Err(StoreError::Refused { status }),
    }
}

/// Renews the planner's lease, and the one of the address, until it has ended or the process stops.
async fn hold_planner(front: &Front, lease: u64, presence: u64) -> Result<(), StoreError> {
    let mut renewed_at = front.now();
    let mut presence_renewed_at = renewed_at;
    while !front.is_stopping() {
        tokio::select! {
            () = tokio::time::sleep(RENEW_INTERVAL) => {}
            () = front.planner_vacant.notified() => {}
        }
        let asked_at = front.now();
        if asked_at.since(presence_renewed_at) > PRESENCE_RENEW_INTERVAL {
            match renew(front, presence).await {
                Ok(()) => presence_renewed_at = asked_at,
                Err(error) => log::warn!(error:% = error; "lease of the address not renewed"),
            }
        }
        match renew(front, lease).await {
            Ok(()) => renewed_at = asked_at,
            Err(error @ StoreError::Refused { status: StatusCode::NOT_FOUND }) => {
                return Err(error);
            }
            // The lease may outlast an outage of the store; until it is renewed, nothing is planned.
            Err(error) => {
                if front.log_rate.admit("planner's lease not renewed", asked_at).is_some() {
                    log::warn!(error:% = error; "planner's lease not renewed");
                }
            }
        }
        let term = front.planner_term.get();
        let confirmed = term.map(|it| PlannerTerm { confirmed_at: renewed_at, ..it });
        front.planner_term.set(confirmed);
    }
    front.planner_term.set(None);
    front.store.call(StoreCall::end_lease(lease), CALL_TIMEOUT).await?;
    Ok(())
}

async fn publish(front: &Front, lease: u64) -> Result<(), StoreError> {
    let key = format!("{ENTRY_VMS_PREFIX}{}", front.vm.name);
    let address = format!("{}:{}", front.vm.ip, front.vm.peer_port);
    let put = StorePut { key, value: address.into_bytes(), lease: Some(lease) };
    let (status, body) = front.store.call(StoreCall::write(&[], &[put], &[]), CALL_TIMEOUT).await?;
    match WriteOutcome::decode(status, &body)? {
        WriteOutcome::Written(_) => Ok(()),
        _ => Err(StoreError::Refused { status }),
    }
}

/// Returns how long an entry VM with little processor or network lets the others go first.
fn handicap(front: &Front) -> Duration {
    let core = (front.vm.core_share / AMPLE_CORE_SHARE).min(1.0);
    let link = (front.vm.link_mbps / AMPLE_LINK_MBPS).min(1.0);
    HANDICAP_MAX.mul_f64(1.0 - core.min(link))
}

/// Takes the planner's key if nobody holds it; returns the lease that goes with it.
async fn run_for_planner(front: &Front) -> Result<Option<u64>, StoreError> {
    let is_vacant = || !front.beliefs.borrow().own_keys.contains_key(PLANNER_KEY);
    let may_plan = || {
        front.is_caught_up.get() && !front.is_store_lost.get() && front.configuration().is_some()
    };
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let entry_vms = front.beliefs.borrow().peers.len().max(1) as u32;
    let spread = (ELECTION_SPREAD * entry_vms).mul_f64(fastrand::f64());
    tokio::time::sleep(handicap(front) + spread).await;
    if !is_vacant() || !may_plan() {
        return Ok(None);
    }
    let asked_at = front.now();
    let lease = grant(front, TIME_TO_LIVE).await?;
    let value = front.vm.name.as_bytes().to_vec();
    let put = StorePut { key: PLANNER_KEY.to_owned(), value, lease: Some(lease) };
    let call = StoreCall::write(&[(PLANNER_KEY, Revision(0))], &[put], &[]);
    let (status, body) = front.store.call(call, CALL_TIMEOUT).await?;
    let revision = match WriteOutcome::decode(status, &body)? {
        WriteOutcome::Written(revision) => revision,
        // The changes that name the planner may come much later.
        WriteOutcome::Conflict(items) => {
            store_changes::take_keys(front, items);
            return Ok(None);
        }
        WriteOutcome::NoLease | WriteOutcome::Unavailable => return Ok(None),
    };
    log::info!(revision = revision.0; "planner's key taken");
    front.planner_term.set(Some(PlannerTerm { revision, confirmed_at: asked_at }));
    front.changed.notify_one();
    Ok(Some(lease))
}
