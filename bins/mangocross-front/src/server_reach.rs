//! Connects to backend servers and finds out whether this VM reaches them at all.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangocross_serving::ReachChange;
use tokio::task::JoinSet;

use crate::pool;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::state::AppState;

/// Servers that are tried before this VM takes itself for cut off.
const VERIFIED_SERVERS: usize = 5;
/// Servers that a VM that is cut off tries at a time.
const PROBED_SERVERS: usize = 2;
/// Time between two of these tries.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a server has to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the task that looks, while this VM is cut off, whether it reaches servers again.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(PROBE_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
            if state.is_cut_off() {
                try_servers(&state, PROBED_SERVERS, |_| true).await;
            }
        }
    });
}

impl AppState {
    /// Returns an idle connection to a server, or a new one; `failures` is the number of failed
    /// connections of the same request.
    pub(crate) async fn connection_to(
        self: &Rc<Self>,
        server: SocketAddr,
        failures: u32,
    ) -> Result<Connection, ConnectError> {
        match self.pool.take_idle(server) {
            Some(it) => {
                self.metrics.count_connection(true);
                Ok(it)
            }
            None => self.connect_to(server, failures).await,
        }
    }

    /// Opens a new connection to a server; `failures` as for `connection_to`.
    pub(crate) async fn connect_to(
        self: &Rc<Self>,
        server: SocketAddr,
        failures: u32,
    ) -> Result<Connection, ConnectError> {
        let connected = self.pool.open(server, failures).await;
        self.metrics.count_connection(false);
        self.record_reached(server, connected.is_ok());
        connected
    }

    /// Records that a server did not accept a connection in time.
    pub(crate) fn record_not_reached(self: &Rc<Self>, server: SocketAddr) {
        self.record_reached(server, false);
    }

    /// Records whether a server accepted a new connection.
    pub(crate) fn record_reached(self: &Rc<Self>, server: SocketAddr, is_connected: bool) {
        let now = self.now();
        let change = {
            let mut view = self.view.borrow_mut();
            let listed = view.servers.len();
            match is_connected {
                true => view.reach.record_connected(server, listed, now),
                false => view.reach.record_failure(server, listed, now),
            }
        };
        self.apply_reach(change);
    }

    /// Returns whether this VM reaches no servers.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.view.borrow().reach.is_cut_off()
    }

    /// Returns whether this VM has reached no servers for some time.
    pub(crate) fn is_cut_off_for(&self, duration: Duration) -> bool {
        let since = self.view.borrow().reach.cut_since();
        since.is_some_and(|it| self.now().since(it) >= duration)
    }

    fn apply_reach(self: &Rc<Self>, change: ReachChange) {
        match change {
            ReachChange::None => {}
            ReachChange::Suspected => {
                let state = Rc::clone(self);
                tokio::task::spawn_local(async move { verify(&state).await });
            }
            ReachChange::Lost => {
                let listed = self.view.borrow().servers.len();
                log::warn!(listed; "no backend server can be reached");
                // What is sent on connections from before a cut may get lost.
                self.pool.close_all_idle();
                self.lease_wakeup.notify_one();
                self.reach_changed.notify_one();
            }
            ReachChange::Regained => {
                log::info!("backend servers can be reached again");
                self.pool.close_all_idle();
                self.view.borrow_mut().forget_unreachable();
                self.lease_wakeup.notify_one();
                self.planner_inputs_changed.notify_one();
                self.reach_changed.notify_one();
            }
        }
    }
}

/// Tries servers that have not failed yet, of which one that is reached refutes the suspicion.
async fn verify(state: &Rc<AppState>) {
    let has_failed = |it: &SocketAddr| state.view.borrow().reach.has_failed(it);
    try_servers(state, VERIFIED_SERVERS, |it| !has_failed(it)).await;
    let change = state.view.borrow_mut().reach.record_verified(state.now());
    state.apply_reach(change);
}

/// Connects to some of the listed servers and records which are reached.
async fn try_servers(state: &Rc<AppState>, count: usize, is_tried: impl Fn(&SocketAddr) -> bool) {
    let mut servers: Vec<SocketAddr> =
        state.view.borrow().servers.values().map(|it| it.address).collect();
    servers.retain(|it| is_tried(it));
    fastrand::shuffle(&mut servers);
    let mut tries = JoinSet::new();
    for server in servers.into_iter().take(count) {
        tries.spawn_local(async move {
            let connected = pool::connect(server, PROBE_TIMEOUT).await;
            (server, connected.is_ok())
        });
    }
    while let Some(tried) = tries.join_next().await {
        if let Ok((server, is_connected)) = tried {
            state.record_reached(server, is_connected);
        }
    }
}
