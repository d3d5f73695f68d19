//! A UDP relay that drops, delays, repeats and reorders datagrams, with a mode for each sender.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 64 * 1024;
/// Number of a sender's newest datagrams that are kept for a replay.
const HISTORY_MAX: usize = 256;

/// How the relay treats datagrams between one sender and the target process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Delivers all datagrams at once.
    #[default]
    Pass,
    /// Drops all datagrams.
    Cut,
    /// Delivers the sender's datagrams and drops the replies.
    CutReplies,
    /// Delivers the sender's datagrams at once and delays the replies by this time.
    DelayReplies(Duration),
    /// Delivers all datagrams twice, the second time after this delay.
    Repeat(Duration),
    /// Delays every other datagram by this time, so that later ones overtake it.
    Reorder(Duration),
}

/// A running relay.
pub struct UdpRelay {
    shared: Arc<Shared>,
}

struct Shared {
    /// The socket that receives from senders.
    listener: UdpSocket,
    target: SocketAddr,
    links: Mutex<HashMap<SocketAddr, Link>>,
}

/// The datagrams between one sender and the process.
#[derive(Default)]
struct Link {
    mode: LinkMode,
    /// The socket that sends to the target on behalf of the sender.
    upstream: Option<Arc<UdpSocket>>,
    count: u64,
    history: VecDeque<Datagram>,
}

#[derive(Clone)]
struct Datagram {
    is_reply: bool,
    bytes: Vec<u8>,
}

impl LinkMode {
    /// Returns the delay of each copy of a datagram.
    fn delivery_delays(self, is_reply: bool, count: u64) -> Vec<Duration> {
        match self {
            Self::Cut => Vec::new(),
            Self::CutReplies if is_reply => Vec::new(),
            Self::DelayReplies(delay) if is_reply => vec![delay],
            Self::Repeat(delay) => vec![Duration::ZERO, delay],
            Self::Reorder(delay) if count.is_multiple_of(2) => vec![delay],
            _ => vec![Duration::ZERO],
        }
    }
}

impl UdpRelay {
    /// Binds an address and forwards datagrams to `target` and its replies back.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = UdpSocket::bind(address).expect("the relay's address can be bound");
        let shared = Arc::new(Shared { listener, target, links: Mutex::default() });
        let receiver = Arc::clone(&shared);
        thread::spawn(move || receiver.receive_from_senders());
        Self { shared }
    }

    /// Sets the mode for a sender's datagrams and the replies to it.
    pub fn set(&self, sender: SocketAddr, mode: LinkMode) {
        self.shared.links().entry(sender).or_default().mode = mode;
    }

    /// Redelivers the newest replies to a sender, the oldest of them last; returns how many.
    ///
    /// The sender's own datagrams are not redelivered: their replies would be new and arrive last.
    pub fn replay(&self, sender: SocketAddr, newest: usize) -> usize {
        let links = self.shared.links();
        let history = links
            .get(&sender)
            .map(|it| it.history.iter().rev().filter(|it| it.is_reply).take(newest).cloned());
        let history: Vec<Datagram> = history.into_iter().flatten().collect();
        drop(links);
        history.iter().for_each(|it| self.shared.deliver(sender, it));
        history.len()
    }
}

impl Shared {
    fn receive_from_senders(self: &Arc<Self>) {
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let Ok((length, sender)) = self.listener.recv_from(&mut buf) else { continue };
            self.open_upstream(sender);
            self.forward(sender, Datagram { is_reply: false, bytes: buf[..length].to_vec() });
        }
    }

    /// Opens the upstream socket of a new sender.
    fn open_upstream(self: &Arc<Self>, sender: SocketAddr) {
        let mut links = self.links();
        let link = links.entry(sender).or_default();
        if link.upstream.is_some() {
            return;
        }
        let upstream = UdpSocket::bind(SocketAddr::new(self.target.ip(), 0)).expect("a free port");
        upstream.connect(self.target).expect("the target is an address");
        let upstream = Arc::new(upstream);
        link.upstream = Some(Arc::clone(&upstream));
        let shared = Arc::clone(self);
        thread::spawn(move || shared.receive_replies(sender, &upstream));
    }

    fn receive_replies(self: &Arc<Self>, sender: SocketAddr, upstream: &UdpSocket) {
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            // Receiving fails while the target is down; it may be restarted.
            let Ok(length) = upstream.recv(&mut buf) else { continue };
            self.forward(sender, Datagram { is_reply: true, bytes: buf[..length].to_vec() });
        }
    }

    /// Delivers a datagram according to the sender's mode.
    fn forward(self: &Arc<Self>, sender: SocketAddr, datagram: Datagram) {
        for delay in self.record(sender, &datagram) {
            if delay.is_zero() {
                self.deliver(sender, &datagram);
                continue;
            }
            let (shared, datagram) = (Arc::clone(self), datagram.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                shared.deliver(sender, &datagram);
            });
        }
    }

    /// Keeps a datagram for a replay and returns the delays of its copies.
    fn record(&self, sender: SocketAddr, datagram: &Datagram) -> Vec<Duration> {
        let mut links = self.links();
        let link = links.entry(sender).or_default();
        link.count += 1;
        link.history.push_back(datagram.clone());
        let surplus = link.history.len().saturating_sub(HISTORY_MAX);
        link.history.drain(..surplus);
        link.mode.delivery_delays(datagram.is_reply, link.count)
    }

    fn deliver(&self, sender: SocketAddr, datagram: &Datagram) {
        let upstream = self.links().get(&sender).and_then(|it| it.upstream.clone());
        // A datagram that cannot be sent is dropped; UDP allows any loss.
        let _ = match (datagram.is_reply, upstream) {
            (true, _) => self.listener.send_to(&datagram.bytes, sender),
            (false, Some(upstream)) => upstream.send(&datagram.bytes),
            (false, None) => Ok(0),
        };
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
