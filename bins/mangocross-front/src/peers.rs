//! Messages between entry VMs: requests in progress and suspects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::front::Front;

/// Least time between two messages to a peer.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Added to the interval for each peer, which bounds the messages that each VM gets.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);
/// Largest message.
const MESSAGE_BYTES_MAX: usize = 16 << 10;

/// What an entry VM tells the others.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    from: Arc<str>,
    in_flight: Vec<(VmId, u32)>,
    suspects: Vec<VmId>,
    /// Heads to which connections failed.
    doubted: Vec<VmId>,
    /// Heads with streams, and the milliseconds since their last signs of life.
    signs: Vec<(VmId, u32)>,
    has_traffic: bool,
    /// Slowness of engines, from the entry VM that plans.
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
    tokio::task::spawn_local(send(Rc::clone(front), socket));
    Ok(())
}

async fn receive(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MESSAGE_BYTES_MAX];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = postcard::from_bytes::<Message>(&buffer[..length]) else {
            if front.log_rate.admit("message ignored", front.now()).is_some() {
                log::warn!(from:% = from; "message of a peer cannot be decoded");
            }
            continue;
        };
        take(&front, message);
    }
}

fn take(front: &Front, message: Message) {
    let now = front.now();
    let in_flight: HashMap<VmId, u32> = message.in_flight.into_iter().collect();
    let mut beliefs = front.beliefs.borrow_mut();
    beliefs.loads.heard(message.from, in_flight, now);
    for (head, age_ms) in &message.signs {
        beliefs.progress.sign(head, now.before(Duration::from_millis(u64::from(*age_ms))));
    }
    if front.planner_term.get().is_none() && !message.paces.is_empty() {
        let paces = message.paces.into_iter().map(|(vm, it)| (vm, f64::from(it)));
        beliefs.paces = paces.collect();
    }
    drop(beliefs);
    if message.has_traffic {
        front.has_traffic.set(true);
    }
    if front.planner_term.get().is_some() {
        for head in &message.doubted {
            front.doubt(head);
        }
    }
    for head in message.suspects {
        if !front.is_suspect(&head) {
            front.suspect(&head);
        }
    }
}

async fn send(front: Rc<Front>, socket: Rc<UdpSocket>) {
    loop {
        let peers: Vec<SocketAddr> = {
            let beliefs = front.beliefs.borrow();
            let others = beliefs.peers.iter().filter(|(name, _)| **name != front.vm.name);
            others.map(|(_, it)| *it).collect()
        };
        let interval = INTERVAL_MIN.max(INTERVAL_PER_PEER * peers.len() as u32);
        let pause = tokio::time::sleep(interval.mul_f64(0.8 + 0.4 * fastrand::f64()));
        tokio::select! {
            () = pause => {}
            () = front.news.notified() => {}
        }
        let message = message(&front);
        let Ok(data) = postcard::to_allocvec(&message) else { continue };
        for peer in peers {
            if let Err(error) = socket.try_send_to(&data, peer) {
                log::debug!(peer:% = peer, error:% = error; "message not sent");
            }
        }
    }
}

fn message(front: &Front) -> Message {
    let now = front.now();
    let beliefs = front.beliefs.borrow();
    let own = beliefs.loads.own().iter();
    let signs = beliefs.progress.signs(now);
    let signs = signs.map(|(vm, age)| (vm.clone(), age.as_millis() as u32));
    let paces = beliefs.paces.iter().map(|(vm, it)| (vm.clone(), *it as f32));
    Message {
        from: Arc::clone(&front.vm.name),
        in_flight: own.map(|(vm, count)| (vm.clone(), *count)).collect(),
        suspects: beliefs.found_suspects(now),
        doubted: beliefs.doubted(now),
        signs: signs.collect(),
        has_traffic: front.has_traffic.get(),
        paces: if front.planner_term.get().is_some() { paces.collect() } else { Vec::new() },
    }
}
