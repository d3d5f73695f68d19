//! Random faults, one after another and overlapping.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_tests::Relay;
use mangocross_tests::RelayMode;
use rustix::process::Signal;

use super::deployment::Deployment;
use super::deployment::FRONT_COUNT;
use super::deployment::log_output;
use super::troubles;
use crate::platform::Server;

/// Maximum time between the starts of two faults.
const GAP_MAX_MS: u64 = 500;
/// Maximum duration of a fault.
pub(super) const FAULT_MAX_MS: u64 = 2500;
/// Delay of a slow link.
const DELAY: Duration = Duration::from_millis(80);

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Faults {
    /// All.
    All,
    /// Servers that pause or want nothing for a while, with sound processes and links.
    SoundServers,
}

/// Action that ends a fault.
#[derive(Debug, Clone, Copy)]
pub(super) enum Recovery {
    RestoreFrontRelay(usize),
    RestoreStoreRelay(usize),
    RestoreServerRelay(usize),
    ResumeStore,
    ResumeAnswers(usize),
    RestartServer(usize),
    ResumeFront(usize),
    RestartFront(usize),
    EndPause(usize),
    EndLeaving(usize),
}

/// Injects faults for a time, then ends them all and restarts the processes that were stopped.
pub(super) fn inject(deployment: &mut Deployment, seed: u64, faults: Faults, time: Duration) {
    let mut random = fastrand::Rng::with_seed(seed);
    // Of its own, so that the other faults of a seed stay what they are.
    let mut trouble_random = fastrand::Rng::with_seed(!seed);
    let mut limit_random = fastrand::Rng::with_seed(seed.rotate_left(32));
    let end = Instant::now() + time;
    let mut pending: Vec<(Instant, Recovery)> = Vec::new();
    let mut version = 1;
    while Instant::now() < end {
        let duration = Duration::from_millis(random.u64(50..FAULT_MAX_MS));
        if faults == Faults::All
            && let Some(it) = start_fault(deployment, &mut random, &mut version, &pending)
        {
            pending.push((Instant::now() + duration, it));
        }
        let started = troubles::start(deployment, &mut trouble_random, faults, &pending);
        troubles::vary_limits(deployment, &mut limit_random);
        pending.extend(started.map(|(duration, it)| (Instant::now() + duration, it)));
        let next = Instant::now() + Duration::from_millis(random.u64(0..GAP_MAX_MS));
        while Instant::now() < next {
            let now = Instant::now();
            let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|it| it.0 <= now);
            pending = later;
            due.into_iter().for_each(|(_, it)| recover(deployment, it));
            thread::sleep(Duration::from_millis(10));
        }
    }
    pending.into_iter().for_each(|(_, it)| recover(deployment, it));
    deployment.configure(version + 1, &["k1", "k2"]);
    deployment.clear_faults();
}

/// Starts a random fault; returns the action that ends it, if any.
fn start_fault(
    deployment: &mut Deployment,
    random: &mut fastrand::Rng,
    version: &mut u64,
    pending: &[(Instant, Recovery)],
) -> Option<Recovery> {
    let front = random.usize(0..FRONT_COUNT);
    let server = random.usize(0..deployment.server_relays.len());
    let engine = random.usize(0..deployment.engines.len());
    let is_stopped = pending.iter().any(|(_, it)| {
        matches!(
            it,
            Recovery::ResumeFront(number) | Recovery::RestartFront(number) if *number == front
        )
    });
    match random.u32(0..13) {
        0 => Some(degrade_relay(
            &deployment.front_relays,
            front,
            random,
            Recovery::RestoreFrontRelay,
        )),
        1 => Some(degrade_relay(
            &deployment.store_relays,
            front,
            random,
            Recovery::RestoreStoreRelay,
        )),
        2 | 3 => {
            deployment.harmed_servers.push((server, Instant::now()));
            let relays = &deployment.server_relays;
            Some(degrade_relay(relays, server, random, Recovery::RestoreServerRelay))
        }
        4 => {
            deployment.store.set_silent(true);
            Some(Recovery::ResumeStore)
        }
        5 => {
            all_servers(deployment)[server].set_withholding_answers(true);
            Some(Recovery::ResumeAnswers(server))
        }
        6 | 7 => {
            deployment.harmed_servers.push((engine, Instant::now()));
            deployment.server_relays[engine].set(RelayMode::Cut);
            deployment.engines[engine].unlist();
            Some(Recovery::RestartServer(engine))
        }
        8 => {
            deployment.engines[engine].break_streams(1);
            None
        }
        9 => {
            *version += 1;
            let keys: &[&str] = if version.is_multiple_of(2) { &["k1"] } else { &["k1", "k2"] };
            deployment.configure(*version, keys);
            None
        }
        _ if is_stopped => None,
        10 => {
            deployment.disrupted_fronts.push((front, Instant::now()));
            deployment.fronts[front].signal(Signal::STOP);
            Some(Recovery::ResumeFront(front))
        }
        11 => {
            deployment.disrupted_fronts.push((front, Instant::now()));
            deployment.fronts[front].kill();
            Some(Recovery::RestartFront(front))
        }
        _ => {
            deployment.disrupted_fronts.push((front, Instant::now()));
            deployment.fronts[front].signal(Signal::HUP);
            deployment.fronts[front].terminate();
            Some(Recovery::RestartFront(front))
        }
    }
}

fn degrade_relay(
    relays: &[Relay],
    number: usize,
    random: &mut fastrand::Rng,
    recovery: fn(usize) -> Recovery,
) -> Recovery {
    let mode = match random.u32(0..4) {
        0 => RelayMode::Cut,
        1 => RelayMode::Silent,
        2 => RelayMode::DropAnswers,
        _ => RelayMode::Delay(DELAY),
    };
    relays[number].set(mode);
    recovery(number)
}

fn recover(deployment: &mut Deployment, recovery: Recovery) {
    match recovery {
        Recovery::RestoreFrontRelay(it) => deployment.front_relays[it].set(RelayMode::Pass),
        Recovery::RestoreStoreRelay(it) => deployment.store_relays[it].set(RelayMode::Pass),
        Recovery::RestoreServerRelay(it) => deployment.server_relays[it].set(RelayMode::Pass),
        Recovery::ResumeStore => deployment.store.set_silent(false),
        Recovery::ResumeAnswers(it) => all_servers(deployment)[it].set_withholding_answers(false),
        Recovery::RestartServer(it) => {
            deployment.server_relays[it].set(RelayMode::Pass);
            deployment.engines[it].restart();
        }
        Recovery::ResumeFront(it) => {
            deployment.fronts[it].signal(Signal::CONT);
            deployment.disrupted_fronts.push((it, Instant::now()));
        }
        // After SIGTERM the program may still serve; `restart` waits for its end, which frees its
        // addresses.
        Recovery::RestartFront(it) => {
            deployment.fronts[it].restart(log_output(it));
            deployment.disrupted_fronts.push((it, Instant::now()));
        }
        Recovery::EndPause(it) => troubles::end_pause(all_servers(deployment)[it]),
        Recovery::EndLeaving(it) => troubles::end_leaving(all_servers(deployment)[it]),
    }
}

pub(super) fn all_servers(deployment: &Deployment) -> Vec<&Server> {
    deployment.engines.iter().chain(&deployment.plain_servers).collect()
}
