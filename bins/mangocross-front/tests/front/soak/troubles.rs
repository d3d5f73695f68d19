//! Servers that pause, leave, want nothing for a time, or crash because of a part of prompts.

use std::time::Duration;

use super::deployment::Deployment;
use super::deployment::FRONT_COUNT;
use super::faults::Faults;
use super::faults::Recovery;
use super::faults::all_servers;
use crate::platform::Server;

/// Duration of a sound server's silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 800..1200;
/// Time for which a server wants nothing, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1000..3000;
/// Time from a server's first notice that it leaves to its end, in milliseconds.
const LEAVING_MS: std::ops::Range<u64> = 1500..2500;

/// Starts a random trouble, or none; returns what ends it and when, if anything.
pub(super) fn start(
    deployment: &mut Deployment,
    random: &mut fastrand::Rng,
    faults: Faults,
    pending: &[(std::time::Instant, Recovery)],
) -> Option<(Duration, Recovery)> {
    let number = random.usize(0..deployment.server_relays.len());
    let front = random.usize(0..FRONT_COUNT);
    let kind = random.u32(0..12);
    let is_held = |it: &Recovery| matches!(it, Recovery::EndPause(it) | Recovery::EndLeaving(it) if *it == number);
    if pending.iter().any(|(_, it)| is_held(it)) {
        return None;
    }
    let silence = Duration::from_millis(random.u64(SILENCE_MS));
    let pause = Duration::from_millis(random.u64(PAUSE_MS));
    let leaving = Duration::from_millis(random.u64(LEAVING_MS));
    let turns_planner_away = random.bool();
    let servers = all_servers(deployment);
    let server = servers[number];
    match kind {
        0..2 => {
            server.fall_silent(silence);
            None
        }
        2..4 => {
            server.set_turning_planner_away(turns_planner_away);
            server.set_retry_after(Some(&pause.as_secs_f64().to_string()));
            Some((pause, Recovery::EndPause(number)))
        }
        4 if faults == Faults::All => {
            server.set_leaving(true);
            Some((leaving, Recovery::EndLeaving(number)))
        }
        5 if faults == Faults::All => {
            deployment.send_crashing_prompt(front);
            None
        }
        _ => None,
    }
}

pub(super) fn end_pause(server: &Server) {
    server.set_retry_after(None);
    server.set_turning_planner_away(false);
}

/// Ends a server that leaves; its next life does not leave.
pub(super) fn end_leaving(server: &Server) {
    server.crash();
    server.set_leaving(false);
}

/// Makes a server name another limit on its requests, or none, now and then.
pub(super) fn vary_limits(deployment: &Deployment, random: &mut fastrand::Rng) {
    const LIMITS: [Option<&str>; 6] =
        [None, None, Some("0"), Some("0.5"), Some("20.5"), Some("a few")];
    let servers = all_servers(deployment);
    let server = servers[random.usize(0..servers.len())];
    let limit = LIMITS[random.usize(0..LIMITS.len())];
    if random.u32(0..3) == 0 {
        server.set_named_limit(limit);
    }
}
