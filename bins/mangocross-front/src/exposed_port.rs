//! Ports beside the callers': of readiness checks, metrics and other entry VMs.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangocross_http::BudgetClient;
use mangocross_serving::Moment;
use slab::Slab;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connection::ConnectionState;
use crate::connection::Ended;
use crate::connection::Overdue;
use crate::connection::TimeLimits;
use crate::pool;
use crate::state::AppState;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between checks for connections that exceed a time limit.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Turns of the event loop in which a connection that is asked to close does so.
const CLOSE_TURNS_MAX: usize = 64;
/// Time limits of connections that are not callers'. Entry VMs and the balancer send a head at once; a
/// scraper that keeps its connection asks at least once a minute.
const TIME_LIMITS: TimeLimits =
    TimeLimits { idle_timeout: Duration::from_secs(75), header_timeout: Duration::from_secs(3) };

/// A port with a limit on its connections.
#[derive(Debug)]
pub(crate) struct ExposedPort {
    /// Name in log lines and metrics.
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) connections_max: usize,
}

impl ExposedPort {
    /// Listens, and serves each connection with `serve` until it ends or exceeds a limit. A new
    /// connection beyond the limit replaces the one whose other side has been waited for longest.
    pub(crate) async fn listen<F>(
        self,
        state: &Rc<AppState>,
        client_of: impl Fn() -> BudgetClient + 'static,
        serve: impl Fn(TcpStream, Rc<ConnectionState>) -> F + 'static,
    ) -> Result<(), String>
    where
        F: Future<Output = Ended> + 'static,
    {
        let Self { name, address, .. } = self;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|it| format!("[8102] {address} cannot be bound for {name}: {it}"))?;
        let state = Rc::clone(state);
        let connections = Rc::new(Connections::default());
        let closing = close_overdue(Rc::clone(&state), name, Rc::clone(&connections));
        tokio::task::spawn_local(closing);
        tokio::task::spawn_local(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        if state.log_rate.allow("accept failed", state.now()).is_some() {
                            log::warn!(port = name, error:% = error; "connection not accepted");
                        }
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                if !self.makes_room(&state, &connections).await {
                    continue;
                }
                if let Err(error) = pool::set_options(&stream, pool::SERVER_USER_TIMEOUT) {
                    log::debug!(error:% = error; "socket options are not available");
                }
                let connection = ConnectionState::new(state.clock, TIME_LIMITS, client_of());
                let entry = connections.add(Rc::clone(&connection));
                let serving = serve(stream, connection);
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move {
                    let _entry = entry;
                    if serving.await == Ended::ForMemory {
                        state.record_closed_for_memory(name);
                    }
                });
            }
        });
        Ok(())
    }

    /// Returns whether there is room for another connection, after closing one if need be.
    async fn makes_room(&self, state: &AppState, connections: &Connections) -> bool {
        if connections.count() < self.connections_max {
            return true;
        }
        record_closed(state, self.name, "too_many");
        connections.replace_one(self.connections_max, state.now(), Duration::ZERO).await
    }
}

/// Open connections of a port.
#[derive(Debug, Default)]
pub(crate) struct Connections(RefCell<Slab<Rc<ConnectionState>>>);

impl Connections {
    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Adds a connection until the guard is dropped.
    pub(crate) fn add(self: &Rc<Self>, connection: Rc<ConnectionState>) -> ConnectionEntry {
        let key = self.0.borrow_mut().insert(connection);
        ConnectionEntry { connections: Rc::clone(self), key }
    }

    /// Calls a function for each open connection.
    pub(crate) fn for_each(&self, mut act: impl FnMut(&ConnectionState)) {
        self.0.borrow().iter().for_each(|(_, it)| act(it));
    }

    /// Closes the connection whose other side has been waited for longest, if that is at least
    /// `wait_min`; returns whether there are fewer than `connections_max` then.
    pub(crate) async fn replace_one(
        &self,
        connections_max: usize,
        now: Moment,
        wait_min: Duration,
    ) -> bool {
        let is_asked = {
            let connections = self.0.borrow();
            let waiting = connections.iter().map(|(_, it)| it).filter(|it| it.is_replaceable());
            let oldest = waiting.min_by_key(|it| it.since());
            let oldest = oldest.filter(|it| now.since(it.since()) >= wait_min);
            oldest.inspect(|it| it.close_now()).is_some()
        };
        // The connection's task closes it in one of the next turns of the event loop.
        for _ in 0..CLOSE_TURNS_MAX {
            if !is_asked || self.count() < connections_max {
                break;
            }
            tokio::task::yield_now().await;
        }
        self.count() < connections_max
    }
}

/// Entry of an open connection, which dropping it removes, also if the connection's task panics.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    connections: Rc<Connections>,
    key: usize,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.connections.0.borrow_mut().remove(self.key);
    }
}

/// Closes connections that are idle, or receive headers, for longer than allowed.
async fn close_overdue(state: Rc<AppState>, port: &'static str, connections: Rc<Connections>) {
    loop {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        let now: Moment = state.now();
        connections.for_each(|it| {
            let overdue = it.overdue(now);
            if overdue != Overdue::No {
                record_closed(&state, port, overdue.name());
                it.close.notify_one();
            }
        });
    }
}

/// Records that a connection was closed, or not accepted, and why.
pub(crate) fn record_closed(state: &AppState, port: &'static str, reason: &'static str) {
    state.metrics.count_closed_connection(port, reason);
    if let Some(left_out) = state.log_rate.allow("connection closed", state.now()) {
        log::info!(port, reason, left_out; "connection closed");
    }
}

impl AppState {
    /// Records that a connection was closed to make room in the byte budget.
    pub(crate) fn record_closed_for_memory(&self, port: &'static str) {
        self.metrics.count_closed_connection(port, "memory");
        if let Some(left_out) = self.log_rate.allow("closed for memory", self.now()) {
            let (held_bytes, bytes_max) = (self.budget.used(), self.budget.bytes_max());
            log::warn!(
                port, held_bytes, bytes_max, left_out;
                "[2103] connection closed for memory: other clients make more progress"
            );
        }
    }
}
