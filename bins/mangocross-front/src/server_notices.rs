//! Applies what backend servers say of themselves in their answers.

use std::net::SocketAddr;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use mangocross_platform::server_notice;
use mangocross_serving::BackendServer;
use mangocross_serving::Moment;
use mangocross_serving::NoticeChange;
use mangocross_serving::ServerNotice;
use mangocross_types::ModelId;
use mangocross_types::ServiceId;
use mangocross_types::VmId;

use crate::state::AppState;
use crate::state::ClusterView;

/// Longest Retry-After while all servers are paused.
const RETURN_AFTER_MAX: Duration = Duration::from_secs(60);
/// Maximum random addition to that Retry-After, besides half of it.
const RETURN_SPREAD_MAX: Duration = Duration::from_secs(2);

/// The process that a request is sent to, as it is listed then.
#[derive(Debug, Clone)]
pub(crate) struct ServerProcess {
    pub(crate) vm: VmId,
    address: SocketAddr,
    pub(crate) born_unix_ms: u64,
    /// When it was looked up, just before the request.
    pub(crate) asked_at: Moment,
}

impl ServerProcess {
    fn of(server: &BackendServer, asked_at: Moment) -> Self {
        Self {
            vm: server.vm.clone(),
            address: server.address,
            born_unix_ms: server.engine.born_unix_ms,
            asked_at,
        }
    }
}

impl AppState {
    /// Returns the listed process of a server.
    pub(crate) fn server_process(&self, vm: &VmId) -> Option<ServerProcess> {
        let now = self.now();
        self.view.borrow().servers.get(vm).map(|it| ServerProcess::of(it, now))
    }

    /// Records what the head of an answer says of the server that sent it.
    pub(crate) fn record_notice<B>(&self, sent_to: Option<&ServerProcess>, answer: &Response<B>) {
        self.record_cold_answer(sent_to, answer);
        let notice = server_notice(answer.status(), answer.headers());
        let Some(sent_to) = sent_to.filter(|_| notice != ServerNotice::default()) else { return };
        self.apply_notice(sent_to, notice);
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            // Another server may have the address by now.
            let at_address =
                |it: &&BackendServer| it.address == sent_to.address && it.vm != sent_to.vm;
            let others: Vec<ServerProcess> = {
                let view = self.view.borrow();
                let at_address = view.servers.values().filter(at_address);
                at_address.map(|it| ServerProcess::of(it, sent_to.asked_at)).collect()
            };
            others.iter().for_each(|it| self.apply_notice(it, notice));
        }
    }

    fn apply_notice(&self, server: &ServerProcess, notice: ServerNotice) {
        let ServerProcess { vm, address, born_unix_ms, .. } = server;
        let now = self.now();
        let change = self.view.borrow_mut().notices.record(vm, *born_unix_ms, notice, now);
        match change {
            NoticeChange::None => {}
            NoticeChange::Paused => {
                let pause_ms = notice.pause.unwrap_or_default().as_millis() as u64;
                if let Some(left_out) = self.log_rate.allow("backend server pauses", now) {
                    log::info!(server:% = vm, address:% = address, pause_ms, left_out; "backend server pauses");
                }
            }
            NoticeChange::Leaving => {
                log::info!(
                    server:% = vm, address:% = address, born_unix_ms;
                    "backend server says that it leaves"
                );
                self.pool.close_idle(*address);
                // The planner asks the group's members, whose answers tell it the same.
                self.request_recheck(vm);
                self.planner_inputs_changed.notify_one();
            }
        }
    }

    /// Returns the Retry-After for callers of a service all of whose servers want no requests for
    /// now; `None` if one of them may get requests.
    pub(crate) fn return_after(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
    ) -> Option<Duration> {
        let first = self.view.borrow().first_return(service, model, self.now())?;
        let spread = (first / 2).min(RETURN_SPREAD_MAX).mul_f64(fastrand::f64());
        Some((first + spread).min(RETURN_AFTER_MAX))
    }
}

impl ClusterView {
    fn first_return(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        now: Moment,
    ) -> Option<Duration> {
        let is_candidate = |it: &&BackendServer| {
            it.service == *service
                && !it.is_leaving
                && model.is_none_or(|model| it.serves(model))
                && !self.missing.is_gone(&it.vm, now)
                && !self.closed_heads.contains(&it.vm, now)
                && self.is_in_use(it)
        };
        self.notices.first_return(self.servers.values().filter(is_candidate), now)
    }

    /// Returns the listed servers that want no requests for now.
    pub(crate) fn paused_servers(&self, now: Moment) -> impl Iterator<Item = &VmId> {
        let servers = self.servers.values();
        let paused = servers.filter(move |it| self.notices.pause_left(it, now).is_some());
        paused.map(|it| &it.vm)
    }

    /// Returns the numbers of listed servers that are leaving, that are paused, that have named a
    /// limit and that are cold.
    pub(crate) fn held_servers(&self, now: Moment) -> [(&'static str, usize); 4] {
        let leaving = self.servers.values().filter(|it| self.notices.is_leaving(it)).count();
        let paused = self.paused_servers(now).count();
        let (limited, cold) = (self.limited_servers(), self.cold_servers(now));
        [("leaving", leaving), ("paused", paused), ("limited", limited), ("cold", cold)]
    }
}
