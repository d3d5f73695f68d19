//! Health of a backend server according to its probes.

use std::time::Duration;

use crate::Moment;

/// Consecutive probes without a response after which a server is considered unresponsive.
const MISSES_MAX: u32 = 2;
/// Time for which a server that accepts connections may be unresponsive before it is considered
/// lost; sound servers pause for up to a second or so.
const PAUSE_MAX: Duration = Duration::from_millis(1500);
/// Maximum reported slowdown that does not count towards a slow server.
const NORMAL_SLOWDOWN_MAX: f64 = 1.8;
/// Consecutive slow reports after which a server is considered slow.
const SLOW_REPORTS: u32 = 2;
/// Minimum time between probes of a server that responds.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(2500);
/// Minimum time between probes of a responding server that wants no requests for now.
pub(super) const PAUSED_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between probes of a server that turned the last one away.
const TURNED_AWAY_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum time between probes of a lost server.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// Minimum time between probes of an unresponsive server that is not lost yet.
const UNRESPONSIVE_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between the last probe of a server and an urgent one.
const URGENT_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Why a probe failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Nothing can be said of the server, since the fault may be on this side.
    NoVerdict,
    /// The connection was refused: no server process is running, or something in between resets
    /// connections to it.
    ConnectionRefused,
    /// No connection could be established: the machine is down or cut off.
    NoConnection,
    /// A new connection was established, but no valid answer came: the process may be pausing.
    NoAnswer,
    /// The server refused to answer for a while, so its process is running.
    TurnedAway,
    /// No answer came on a connection from before, which does not show whether the machine can
    /// still be reached.
    NoAnswerOnKeptConnection,
}

/// Probe results of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerHealth {
    probed_at: Option<Moment>,
    is_probing: bool,
    is_probe_urgent: bool,
    misses: u32,
    /// When the first of these probes was sent.
    silent_since: Option<Moment>,
    /// Whether the last of these probes found no connection.
    is_unreachable: bool,
    /// Whether one of these probes established a connection: the machine was up, and the process
    /// did not answer.
    has_accepted: bool,
    refuses_connections: bool,
    /// Whether the server refused to answer the last probe.
    is_turned_away: bool,
    slow_reports: u32,
    slowdown: f64,
}

impl ServerHealth {
    /// Returns whether connections are refused or several consecutive probes got no response.
    ///
    /// The server should get nothing new, but it may only be pausing.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.refuses_connections || self.misses >= MISSES_MAX
    }

    /// Returns whether connections are refused, the machine is unreachable, or the server has been
    /// unresponsive for so long that its work has to be given up.
    ///
    /// The queue of new connections of a process that pauses becomes full, so a machine that was up
    /// when the process was silent already is not taken for unreachable.
    pub(super) fn is_lost(&self, now: Moment) -> bool {
        let is_over = || self.silent_since.is_some_and(|it| now.since(it) > PAUSE_MAX);
        let is_gone = self.is_unreachable && !self.has_accepted;
        self.refuses_connections || (self.is_unresponsive() && (is_gone || is_over()))
    }

    /// Returns whether, since the last response, a probe has failed in another way than by a
    /// refused connection.
    pub(super) fn is_silent(&self) -> bool {
        self.misses > 0
    }

    /// Returns whether a connection has been refused since the last response.
    ///
    /// This does not prove that the process has ended.
    pub(super) fn refuses_connections(&self) -> bool {
        self.refuses_connections
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slow_reports >= SLOW_REPORTS
    }

    /// Returns the last reported slowdown, or 1 if none was reported or the server is faster than
    /// expected.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown.max(1.0)
    }

    /// Makes the next probe urgent.
    pub(super) fn probe_soon(&mut self) {
        self.is_probe_urgent = true;
    }

    /// Returns whether a probe is due, and if so records it as started.
    ///
    /// `usual_interval` is the time between probes of a server that responds.
    pub(super) fn try_begin_probe(&mut self, now: Moment, usual_interval: Duration) -> bool {
        let age = self.probed_at.map(|it| now.since(it));
        let interval = if self.is_lost(now) && !self.is_probe_urgent {
            LOST_PROBE_INTERVAL
        } else if self.is_unresponsive() {
            UNRESPONSIVE_PROBE_INTERVAL
        } else if self.is_probe_urgent && self.is_turned_away {
            TURNED_AWAY_PROBE_INTERVAL
        } else if self.is_probe_urgent {
            URGENT_PROBE_INTERVAL
        } else if self.misses > 0 {
            Duration::ZERO
        } else {
            usual_interval
        };
        let is_due = !self.is_probing && age.is_none_or(|it| it >= interval);
        if is_due {
            self.probed_at = Some(now);
            self.is_probing = true;
            self.is_probe_urgent = false;
        }
        is_due
    }

    pub(super) fn record_answer(&mut self, slowdown: f64) {
        let slow_reports = if slowdown > NORMAL_SLOWDOWN_MAX { self.slow_reports + 1 } else { 0 };
        *self = Self { probed_at: self.probed_at, slow_reports, slowdown, ..Self::default() };
    }

    /// Forgets a silence that this process did not observe to the end, because it did not run.
    pub(super) fn forget_silence(&mut self, now: Moment) {
        self.misses = 0;
        self.silent_since = None;
        self.is_unreachable = false;
        self.has_accepted = false;
        if self.is_probing {
            // The answer may have come meanwhile; a failure counts from now on.
            self.probed_at = Some(now);
        }
    }

    pub(super) fn record_failure(&mut self, failure: ProbeFailure) {
        self.is_probing = false;
        if failure == ProbeFailure::NoVerdict {
            return;
        }
        self.is_turned_away = failure == ProbeFailure::TurnedAway;
        match failure {
            ProbeFailure::NoVerdict => {}
            ProbeFailure::ConnectionRefused => self.refuses_connections = true,
            ProbeFailure::TurnedAway => {
                self.misses = 0;
                self.silent_since = None;
                self.is_unreachable = false;
                self.has_accepted = false;
                self.refuses_connections = false;
            }
            ProbeFailure::NoConnection
            | ProbeFailure::NoAnswer
            | ProbeFailure::NoAnswerOnKeptConnection => {
                self.misses += 1;
                self.silent_since = self.silent_since.or(self.probed_at);
                self.is_unreachable = failure == ProbeFailure::NoConnection;
                self.has_accepted |= failure == ProbeFailure::NoAnswer;
            }
        }
    }
}
