//! Keeps to the few requests that cold servers take from all entry VMs together.

use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::Response;
use http::StatusCode;
use mangocross_platform::cold_time;
use mangocross_serving::ColdReport;
use mangocross_serving::ColdRule;
use mangocross_serving::Moment;
use mangocross_serving::process_age;
use mangocross_types::ServiceId;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;

use crate::server_notices::ServerProcess;
use crate::state::AppState;
use crate::state::ClusterView;

impl AppState {
    /// Records what the answer to a request, a probe or an order says of how long its server is cold.
    pub(crate) fn record_cold_answer<B>(
        &self,
        sent_to: Option<&ServerProcess>,
        answer: &Response<B>,
    ) {
        // Another server has the address, so the answer says nothing of the one that was meant.
        let is_other = answer.status() == StatusCode::MISDIRECTED_REQUEST;
        let Some(sent_to) = sent_to.filter(|_| !is_other) else { return };
        let Some(left) = cold_time(answer.headers()) else { return };
        let (vm, born_unix_ms, now) = (&sent_to.vm, sent_to.born_unix_ms, self.now());
        let mut view = self.view.borrow_mut();
        if view.cold.record_told((vm, born_unix_ms), left, now) && !view.cold.is_unused() {
            view.cold.tell(vm, born_unix_ms, left);
            self.peer_updates.notify_one();
        }
    }

    /// Records for how long a server was cold when its entry was written.
    pub(crate) fn record_cold_entry(
        &self,
        (vm, born_unix_ms): (&VmId, u64),
        left: Duration,
        revision: StoreRevision,
    ) {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let is_news = view.cold.record_entry((vm, born_unix_ms), left, revision, now);
        // The planner sends the entry too, to those that learn of it later.
        if is_news && self.is_planner() && !view.cold.is_unused() {
            view.cold.tell(vm, born_unix_ms, left);
            self.peer_updates.notify_one();
        }
    }

    /// Records what another entry VM tells of cold servers.
    pub(crate) fn apply_cold_reports(&self, reports: &[ColdReport]) {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        reports.iter().for_each(|it| view.cold.record_report(it, now));
    }

    /// Returns whether a request may be sent to a server that was chosen a while ago, and records it.
    ///
    /// Connecting may have taken long, and the server may have become cold meanwhile.
    pub(crate) fn try_send_to_cold(&self, vm: &VmId, chosen_at: Moment) -> bool {
        let now = self.now();
        let mut view = self.view.borrow_mut();
        let ClusterView { cold, servers, .. } = &mut *view;
        if servers.get(vm).is_some_and(|it| !cold.may_send(it, chosen_at, now)) {
            return false;
        }
        cold.record_request(vm, now);
        true
    }

    /// Adapts to the configuration, to the list of entry VMs and to servers that have become cold.
    pub(crate) fn refresh_cold(&self) {
        let (now, bounds) = (self.now(), self.bounds());
        let mut view = self.view.borrow_mut();
        let ClusterView { cold, configuration, entry_vms, servers, .. } = &mut *view;
        let services = configuration.iter().flat_map(|it| &it.services);
        let rules: HashMap<ServiceId, ColdRule> = services
            .filter_map(|(service, it)| {
                let it = it.cold_start?;
                let (overshoot, slack) = (bounds.cold_overshoot, bounds.cold_slack);
                let rule = ColdRule { start: it.duration, per_s: it.per_s, overshoot, slack };
                Some((service.clone(), rule))
            })
            .collect();
        if rules.is_empty() && cold.is_unused() {
            return;
        }
        cold.set_rules(rules);
        let begun =
            cold.refresh(&self.vm.name, entry_vms.keys(), servers.values(), now, fastrand::f64);
        for it in begun {
            if let Some(left_out) = self.log_rate.allow("backend server is cold", now) {
                let left_ms = it.left.as_millis() as u64;
                log::info!(
                    server:% = it.vm, left_ms, has_quota = it.has_quota, entry_vms = it.entry_vms, left_out;
                    "backend server is cold"
                );
            }
        }
    }
}

impl ClusterView {
    /// Records that a server process is listed.
    pub(crate) fn record_listed_process(&mut self, vm: &VmId, born_unix_ms: u64, now: Moment) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = process_age(Duration::from_millis(born_unix_ms), unix_time);
        self.cold.record_listed(vm, born_unix_ms, age, now);
    }

    /// Returns the number of listed servers that are cold.
    pub(crate) fn cold_servers(&self, now: Moment) -> usize {
        self.servers.values().filter(|it| self.cold.is_cold(it, now)).count()
    }
}
