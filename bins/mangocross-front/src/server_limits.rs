//! Keeps to the limits that backend servers name on the requests of all entry VMs together.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use mangocross_platform::limit_notice;
use mangocross_serving::BackendServer;
use mangocross_serving::LimitChange;
use mangocross_serving::LimitNotice;
use mangocross_serving::LimitReport;
use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::RequestCounts;
use mangocross_types::ServiceId;
use mangocross_types::VmId;

use crate::server_notices::ServerProcess;
use crate::state::AppState;
use crate::state::ClusterView;

/// Time between two adaptations to the shares of the entry VMs.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the task that adapts the pace of limited servers.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            state.refresh_limits();
            state.refresh_cold();
        }
    });
}

impl AppState {
    /// Records what the answer to a request of a caller says of its server's limit.
    pub(crate) fn record_limit<B>(&self, sent_to: Option<&ServerProcess>, answer: &Response<B>) {
        let notice = limit_notice(answer.headers());
        // Another server has the address, so the answer says nothing of the one that was meant.
        let Some(sent_to) = sent_to.filter(|_| answer.status() != StatusCode::MISDIRECTED_REQUEST)
        else {
            return;
        };
        let now = self.now();
        let (vm, born_unix_ms) = (&sent_to.vm, sent_to.born_unix_ms);
        let share = match notice {
            LimitNotice::Unlimited => 1.0,
            LimitNotice::Limited(_) => self.limit_share(vm),
            LimitNotice::Unreadable => {
                if self.log_rate.allow("limit cannot be read", now).is_some() {
                    log::warn!(server:% = vm; "limit of a backend server cannot be read, ignored");
                }
                return;
            }
        };
        let change = self.view.borrow_mut().limits.record_answer(
            (vm, born_unix_ms),
            notice,
            sent_to.asked_at,
            now,
            (share, fastrand::f64()),
        );
        log_change(vm, change, &notice, share, "its answer");
    }

    /// Records what another entry VM tells of servers' limits, and of the requests for each service.
    pub(crate) fn apply_limits(
        &self,
        from: Arc<str>,
        reports: &[LimitReport],
        counts: RequestCounts,
    ) {
        let now = self.now();
        self.view.borrow_mut().shares.record(from, counts, now);
        for report in reports {
            let share = self.limit_share(&report.vm);
            let draws = (share, fastrand::f64());
            let change = self.view.borrow_mut().limits.record_report(report, now, draws);
            let notice = report.limit.map_or(LimitNotice::Unlimited, LimitNotice::Limited);
            log_change(&report.vm, change, &notice, share, "another entry VM");
        }
    }

    /// Returns what the other entry VMs are told of limits, and this VM's requests, or those of all
    /// entry VMs if `are_totals`. `None` if there are no limits.
    pub(crate) fn limits_to_tell(
        &self,
        are_totals: bool,
    ) -> Option<(Vec<LimitReport>, RequestCounts)> {
        let now = self.now();
        let reports = self.view.borrow().limits.reports(now);
        if reports.is_empty() {
            return None;
        }
        let own = self.own_requests();
        let counts = if are_totals { self.view.borrow().shares.sum(&own, now) } else { own };
        Some((reports, counts))
    }

    /// Records that a request is about to be sent to a server.
    pub(crate) fn spend_limit(&self, vm: &VmId) {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        view.limits.record_request(vm, now);
        view.cold.record_request(vm, now);
    }

    fn own_requests(&self) -> RequestCounts {
        let (now, bounds) = (self.now(), self.bounds().retries);
        let mut view = self.view.borrow_mut();
        let budgets = view.retries.iter_mut();
        let requests = budgets.map(|(service, it)| {
            (service.clone(), u32::try_from(it.requests(now, &bounds)).unwrap_or(u32::MAX))
        });
        RequestCounts { entry_vms: 1, requests: requests.collect() }
    }

    fn limit_share(&self, vm: &VmId) -> f64 {
        let (own, now) = (self.own_requests(), self.now());
        let view = self.view.borrow();
        let service = view.servers.get(vm).map(|it| &it.service);
        service.map_or(0.0, |it| view.shares.share(&own, it, view.entry_vm_count(), now))
    }

    fn refresh_limits(&self) {
        if self.view.borrow().limits.is_empty() {
            return;
        }
        let (own, now) = (self.own_requests(), self.now());
        let mut view = self.view.borrow_mut();
        let entry_vms = view.entry_vm_count();
        let ClusterView { limits, shares, servers, .. } = &mut *view;
        let share = |it: &ServiceId| shares.share(&own, it, entry_vms, now);
        let services = own.requests.iter().map(|it| &it.0);
        let by_service: HashMap<&ServiceId, f64> = services.map(|it| (it, share(it))).collect();
        let of_server = |vm: &VmId| match servers.get(vm).map(|it| &it.service) {
            Some(it) => by_service.get(it).copied().unwrap_or_else(|| share(it)),
            None => 0.0,
        };
        limits.refresh(now, of_server);
    }
}

impl ClusterView {
    /// Returns whether a server's limit, and the one of cold servers, leave room for a request of this entry VM.
    pub(crate) fn has_room(&self, server: &BackendServer, now: Moment) -> bool {
        self.limits.has_room(server, now) && self.cold.has_room(server, now)
    }

    /// Returns why a request cannot be sent to any of the servers that it has not tried.
    pub(crate) fn obstacle<'a>(
        &self,
        mut servers: impl Iterator<Item = &'a BackendServer>,
        now: Moment,
    ) -> Obstacle {
        let Some(first) = servers.next() else { return Obstacle::NoServer };
        let waits = |it: &BackendServer| self.is_usable(it, now) && !self.has_room(it, now);
        match waits(first) || servers.any(waits) {
            true => Obstacle::NoRoom,
            false => Obstacle::NoUsableServer,
        }
    }

    /// Returns the number of listed servers that have named a limit.
    pub(crate) fn limited_servers(&self) -> usize {
        self.servers.values().filter(|it| self.limits.is_limited(it)).count()
    }
}

fn log_change(vm: &VmId, change: LimitChange, notice: &LimitNotice, share: f64, source: &str) {
    match (change, notice) {
        (LimitChange::Begun, LimitNotice::Limited(limit)) => {
            log::info!(server:% = vm, limit:% = limit, share, source; "backend server names a limit");
        }
        (LimitChange::Ended, _) => {
            log::info!(server:% = vm, source; "backend server names no limit any more");
        }
        (LimitChange::Begun | LimitChange::None, _) => {}
    }
}
