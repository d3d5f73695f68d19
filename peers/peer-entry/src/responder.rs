//! Responds to polls over UDP.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::DropReason;
use crate::Poll;
use crate::PollReply;
use crate::drops::DropCounters;
use crate::frame::PeerKey;

/// Largest datagram that is received, in bytes.
const DATAGRAM_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of health leases in one datagram, so that it fits a usual network packet.
const HEALTH_LEASES_PER_DATAGRAM: usize = 10;
/// Interval at which the thread checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A running responder to polls; dropping it stops its thread.
pub struct PollResponder {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    drops: Arc<DropCounters>,
}

impl PollResponder {
    /// Binds an address and responds to each poll with the result of `answer`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        key: PeerKey,
        answer: impl Fn(&Poll) -> PollReply + Send + 'static,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let address = socket.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let drops = Arc::new(DropCounters::default());
        let (closing, dropping) = (Arc::clone(&closed), Arc::clone(&drops));
        thread::Builder::new()
            .name("poll-responder".into())
            .spawn(move || serve(&socket, &key, &answer, &closing, &dropping))?;
        Ok(Self { address, closed, drops })
    }

    /// Returns the address on which polls are received.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of frames dropped since the start, for any reason.
    pub fn dropped_frames(&self) -> u64 {
        self.drops.total()
    }

    /// Returns the number of frames dropped for a reason.
    pub fn dropped_for(&self, reason: DropReason) -> u64 {
        self.drops.get(reason)
    }
}

impl Drop for PollResponder {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

fn serve(
    socket: &UdpSocket,
    key: &PeerKey,
    answer: &dyn Fn(&Poll) -> PollReply,
    closed: &AtomicBool,
    drops: &DropCounters,
) {
    let mut buf = vec![0; DATAGRAM_BYTES_MAX];
    while !closed.load(Ordering::Relaxed) {
        let Ok((length, from)) = socket.recv_from(&mut buf) else { continue };
        match key.open::<Poll>(&buf[..length]) {
            Ok(poll) => reply(socket, key, from, answer(&poll)),
            Err(error) => drops.count(error.into()),
        }
    }
}

/// Sends a reply in parts that each fit a datagram and are valid independently.
fn reply(socket: &UdpSocket, key: &PeerKey, to: SocketAddr, mut reply: PollReply) {
    let mut health_leases = std::mem::take(&mut reply.health_leases);
    loop {
        let remaining =
            health_leases.split_off(health_leases.len().min(HEALTH_LEASES_PER_DATAGRAM));
        reply.health_leases = health_leases;
        let _ = socket.send_to(&key.seal(&reply), to);
        reply.caches.clear();
        if remaining.is_empty() {
            return;
        }
        health_leases = remaining;
    }
}
