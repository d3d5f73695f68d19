//! Messages between entry VMs: requests in progress, suspects, changed servers.
//!
//! In small fleets each entry VM tells all others its counts. In large ones each
//! tells the planner, which adds them up and tells all: two messages for each VM
//! and interval instead of one for each pair.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mangocross_serving::BackendServer;
use mangocross_serving::Load;
use mangocross_types::Revision;
use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::front::Front;
use crate::leases::PLANNER_KEY;
use crate::store_changes;

/// Time between two messages in small fleets.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time between two messages in large fleets; the planner gets one from each entry VM.
const INTERVAL_LARGE: Duration = Duration::from_millis(250);
/// Other entry VMs up to which all tell all.
pub(crate) const PEERS_SMALL_MAX: usize = 16;
/// Least time between two messages with news.
const NEWS_INTERVAL: Duration = Duration::from_millis(30);
/// Largest message: what a datagram over IPv4 holds. Totals of 600 heads take about 20 kB.
const MESSAGE_BYTES_MAX: usize = 65_507;
/// Servers' entries in one message, which keeps it below the usual size of a packet.
const ENTRIES_MAX: usize = 5;

/// What an entry VM tells another.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Counts of the sender.
    Counts(Counts),
    /// Counts of all entry VMs, from the planner.
    Totals(Counts),
    /// Heads whose streams are stalled, and heads to which connections failed.
    Suspicions { suspects: Vec<VmId>, to_recheck: Vec<VmId> },
    /// Entries of servers, from the planner.
    Entries(Vec<(Revision, BackendServer)>),
}

/// Requests in progress and what goes with them.
#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    from: Arc<str>,
    loads: Vec<(VmId, Load)>,
    /// Heads and the milliseconds since their last progress.
    progress: Vec<(VmId, u32)>,
    has_traffic: bool,
    /// Slowness of engines, from the planner.
    paces: Vec<(VmId, f32)>,
}

/// Starts to send and receive messages.
pub(crate) async fn bind(front: &Rc<Front>) -> Result<(), String> {
    let address = SocketAddr::new(front.vm.ip, front.vm.peer_port);
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|it| format!("[8102] {address} cannot be bound for peers: {it}"))?;
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(front), Rc::clone(&socket)));
    tokio::task::spawn_local(send_counts(Rc::clone(front), Rc::clone(&socket)));
    tokio::task::spawn_local(send_news(Rc::clone(front), socket));
    Ok(())
}

async fn receive(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MESSAGE_BYTES_MAX];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Message::Counts(counts)) => take_counts(&front, counts, false),
            Ok(Message::Totals(counts)) => take_counts(&front, counts, true),
            Ok(Message::Suspicions { suspects, to_recheck }) => {
                take_suspicions(&front, &suspects, &to_recheck)
            }
            Ok(Message::Entries(entries)) => {
                for (revision, server) in entries {
                    store_changes::take_server(&front, revision, server);
                }
            }
            Err(error) => {
                if front.log_rate.admit("message ignored", front.now()).is_some() {
                    log::warn!(from:% = from, error:% = error; "message of a peer ignored");
                }
            }
        }
    }
}

fn take_counts(front: &Front, counts: Counts, are_totals: bool) {
    let now = front.now();
    let loads: HashMap<VmId, Load> = counts.loads.into_iter().collect();
    let mut beliefs = front.beliefs.borrow_mut();
    if are_totals {
        beliefs.loads.apply_totals(loads, now);
    } else {
        beliefs.loads.apply_peer_counts(counts.from, loads, now);
    }
    for (head, age_ms) in &counts.progress {
        beliefs
            .progress
            .record_progress(head, now.before(Duration::from_millis(u64::from(*age_ms))));
    }
    if !front.is_planner() && !counts.paces.is_empty() {
        let paces = counts.paces.into_iter().map(|(vm, it)| (vm, f64::from(it)));
        beliefs.paces = paces.collect();
    }
    if counts.has_traffic {
        front.has_traffic.set(true);
    }
}

fn take_suspicions(front: &Front, suspects: &[VmId], to_recheck: &[VmId]) {
    if front.is_planner() {
        for head in to_recheck {
            front.recheck(head);
        }
    }
    for head in suspects {
        if !front.is_suspect(head) {
            front.suspect(head);
        }
    }
}

/// The other entry VMs.
fn others(front: &Front) -> Vec<SocketAddr> {
    let beliefs = front.beliefs.borrow();
    let others = beliefs.peers.iter().filter(|(name, _)| **name != front.vm.name);
    others.map(|(_, it)| *it).collect()
}

/// The entry VM that plans, if it is another one.
fn planner(front: &Front) -> Option<SocketAddr> {
    let beliefs = front.beliefs.borrow();
    let name = std::str::from_utf8(&beliefs.own_keys.get(PLANNER_KEY)?.value).ok()?;
    (name != front.vm.name.as_ref()).then(|| beliefs.peers.get(name).copied())?
}

fn send(socket: &UdpSocket, message: &Message, to: &[SocketAddr]) {
    let data = match postcard::to_allocvec(message) {
        Ok(it) => it,
        Err(error) => {
            log::error!(error:% = error; "message cannot be encoded");
            return;
        }
    };
    if data.len() > MESSAGE_BYTES_MAX {
        log::error!(bytes = data.len(); "message too large to be sent");
        return;
    }
    for peer in to {
        if let Err(error) = socket.try_send_to(&data, *peer) {
            log::debug!(peer:% = peer, error:% = error; "message not sent");
        }
    }
}

async fn send_counts(front: Rc<Front>, socket: Rc<UdpSocket>) {
    loop {
        let peers = others(&front);
        let is_large = peers.len() > PEERS_SMALL_MAX;
        let interval = if is_large { INTERVAL_LARGE } else { INTERVAL };
        tokio::time::sleep(interval.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        let is_planner = front.is_planner();
        if !is_large {
            send(&socket, &Message::Counts(counts(&front, false)), &peers);
        } else if is_planner {
            send(&socket, &Message::Totals(counts(&front, true)), &peers);
        } else if let Some(planner) = planner(&front) {
            send(&socket, &Message::Counts(counts(&front, false)), &[planner]);
            front.beliefs.borrow_mut().loads.mark_reported();
        }
    }
}

fn counts(front: &Front, are_totals: bool) -> Counts {
    let now = front.now();
    let beliefs = front.beliefs.borrow();
    let loads = match are_totals {
        true => beliefs.loads.compute_totals(now),
        false => beliefs.loads.local().clone(),
    };
    let progress = beliefs.progress.latest(now);
    let paces = beliefs.paces.iter().map(|(vm, it)| (vm.clone(), *it as f32));
    Counts {
        from: Arc::clone(&front.vm.name),
        loads: loads.into_iter().collect(),
        progress: progress.map(|(vm, age)| (vm.clone(), age.as_millis() as u32)).collect(),
        has_traffic: front.has_traffic.get(),
        paces: if front.is_planner() { paces.collect() } else { Vec::new() },
    }
}

/// Sends what must not wait for the next counts.
async fn send_news(front: Rc<Front>, socket: Rc<UdpSocket>) {
    loop {
        front.news.notified().await;
        let now = front.now();
        let (suspects, to_recheck, entries) = {
            let mut beliefs = front.beliefs.borrow_mut();
            let entries = std::mem::take(&mut beliefs.relayed);
            (beliefs.found_suspects(now), beliefs.to_recheck(now), entries)
        };
        let peers = others(&front);
        if !suspects.is_empty() {
            send(&socket, &Message::Suspicions { suspects, to_recheck: Vec::new() }, &peers);
        }
        if !to_recheck.is_empty()
            && let Some(planner) = planner(&front)
        {
            send(&socket, &Message::Suspicions { suspects: Vec::new(), to_recheck }, &[planner]);
        }
        for some in entries.chunks(ENTRIES_MAX) {
            send(&socket, &Message::Entries(some.to_vec()), &peers);
        }
        tokio::time::sleep(NEWS_INTERVAL).await;
    }
}
