//! Decides how long an idle connection to a backend server is kept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Moment;

/// Time for which any idle connection is kept. Servers close idle connections without notice, and a
/// request that meets the close is lost or repeated.
const IDLE_TIME: Duration = Duration::from_millis(1200);
/// Time for which an idle connection is kept to a server that this entry VM often sends to and that
/// announces to keep it for twice as long.
const WARM_IDLE_TIME: Duration = Duration::from_secs(10);
/// Connections to a server that are kept for longer than `IDLE_TIME`. The server's limit on
/// connections is shared by all entry VMs that keep some.
const WARM_CONNECTIONS_MAX: usize = 2;
/// Time for which a server is not trusted to keep idle connections after it closed one early.
const EARLY_CLOSE_RETENTION: Duration = Duration::from_secs(30);

/// Servers that close connections early beyond which none is trusted: whatever makes them close early,
/// or a path that loses connections, concerns the others too. Fewer may merely have restarted.
const EARLY_CLOSERS_MAX: usize = 2;

/// What is known of a server when a connection to it becomes idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleServer {
    /// Address of the server.
    pub address: SocketAddr,
    /// Time for which the server announced to keep idle connections.
    pub keep_alive: Option<Duration>,
    /// Whether this entry VM often sends to the server.
    pub is_warm: bool,
    /// Idle connections to the server that are kept already.
    pub idle_connections: usize,
}

/// Limits on the time for which idle connections are kept.
#[derive(Debug, Default)]
pub struct IdleLimits {
    closed_early: HashMap<SocketAddr, Moment>,
}

impl IdleLimits {
    /// Returns the time for which a connection is kept that becomes idle now.
    ///
    /// It is at most half of what the server announced, since the server counts from an earlier
    /// moment and the close takes time to arrive.
    pub fn idle_time(&self, server: &IdleServer, now: Moment) -> Duration {
        let Some(announced) = server.keep_alive.map(|it| it / 2) else { return IDLE_TIME };
        let may_be_long = server.is_warm
            && server.idle_connections < WARM_CONNECTIONS_MAX
            && !self.has_closed_early(&server.address, now);
        announced.min(if may_be_long { WARM_IDLE_TIME } else { IDLE_TIME })
    }

    /// Records that a server closed a connection sooner than it was expected to.
    pub fn record_early_close(&mut self, address: SocketAddr, now: Moment) {
        self.closed_early.insert(address, now);
    }

    /// Removes records that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.closed_early.retain(|_, at| now.since(*at) < EARLY_CLOSE_RETENTION);
    }

    fn has_closed_early(&self, address: &SocketAddr, now: Moment) -> bool {
        let is_recent = |at: &&Moment| now.since(**at) < EARLY_CLOSE_RETENTION;
        self.closed_early.get(address).filter(is_recent).is_some()
            || self.closed_early.values().filter(is_recent).count() > EARLY_CLOSERS_MAX
    }
}
