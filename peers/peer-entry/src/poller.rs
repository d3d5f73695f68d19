//! Polls coordinators over UDP.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Clock;

use crate::DropReason;
use crate::Poll;
use crate::PollReply;
use crate::ReplyStamp;
use crate::drops::DropCounters;
use crate::frame::PeerKey;

/// Largest datagram that is received, in bytes.
const DATAGRAM_BYTES_MAX: usize = 64 * 1024;
/// Interval at which the receiving thread checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Poll interval and age limit of replies.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Time between polls of the same coordinator.
    pub interval: Duration,
    /// Longest time between a poll and a valid reply to it.
    pub reply_age_max: Duration,
}

/// Chooses poll targets, creates polls and handles replies.
pub trait PollerHandler: Send + Sync + 'static {
    /// Returns the coordinators to poll now.
    fn targets(&self) -> Vec<SocketAddr>;

    /// Returns the poll to send to a coordinator; its nonce and echo are set by the poller.
    fn poll(&self, to: SocketAddr) -> Poll;

    /// Processes a reply to a poll that was sent at `sent_at`.
    fn on_reply(&self, from: SocketAddr, sent_at: Instant, reply: PollReply);
}

/// A running poller; dropping it stops its threads.
pub struct Poller {
    closed: Arc<AtomicBool>,
    drops: Arc<DropCounters>,
}

/// A poll whose replies are still accepted.
struct OutstandingPoll {
    to: SocketAddr,
    sent_at: Instant,
}

struct PollerState {
    socket: UdpSocket,
    key: PeerKey,
    clock: Arc<dyn Clock>,
    timing: PollTiming,
    handler: Arc<dyn PollerHandler>,
    outstanding: Mutex<HashMap<u64, OutstandingPoll>>,
    stamps: Mutex<HashMap<SocketAddr, ReplyStamp>>,
    closed: Arc<AtomicBool>,
    drops: Arc<DropCounters>,
}

impl Poller {
    /// Starts polling from a socket bound to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or no thread can be started.
    pub fn spawn(
        address: SocketAddr,
        key: PeerKey,
        timing: PollTiming,
        clock: Arc<dyn Clock>,
        handler: Arc<dyn PollerHandler>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let closed = Arc::new(AtomicBool::new(false));
        let drops = Arc::new(DropCounters::default());
        let shared = Arc::new(PollerState {
            socket,
            key,
            clock,
            timing,
            handler,
            outstanding: Mutex::new(HashMap::new()),
            stamps: Mutex::new(HashMap::new()),
            closed: Arc::clone(&closed),
            drops: Arc::clone(&drops),
        });
        let sending = Arc::clone(&shared);
        thread::Builder::new().name("poll-send".into()).spawn(move || sending.send_loop())?;
        thread::Builder::new().name("poll-receive".into()).spawn(move || shared.receive_loop())?;
        Ok(Self { closed, drops })
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

impl Drop for Poller {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

impl PollerState {
    fn send_loop(&self) {
        while !self.closed.load(Ordering::Relaxed) {
            self.remove_expired();
            let targets = self.handler.targets();
            lock(&self.stamps).retain(|it, _| targets.contains(it));
            for to in targets {
                self.send(to);
            }
            thread::sleep(self.timing.interval);
        }
    }

    fn send(&self, to: SocketAddr) {
        let mut poll = self.handler.poll(to);
        poll.nonce = fastrand::u64(..);
        poll.echo = lock(&self.stamps).get(&to).copied();
        let frame = self.key.seal(&poll);
        let sent_at = self.clock.now();
        lock(&self.outstanding).insert(poll.nonce, OutstandingPoll { to, sent_at });
        if let Err(error) = self.socket.send_to(&frame, to) {
            log::debug!("failed to send a poll to {to}: {error}");
        }
    }

    fn remove_expired(&self) {
        let now = self.clock.now();
        let age_max = self.timing.reply_age_max;
        lock(&self.outstanding).retain(|_, it| now.duration_since(it.sent_at) <= age_max);
    }

    fn receive_loop(&self) {
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        while !self.closed.load(Ordering::Relaxed) {
            let Ok((length, from)) = self.socket.recv_from(&mut buf) else { continue };
            if let Err(reason) = self.receive(from, &buf[..length]) {
                self.drops.count(reason);
            }
        }
    }

    fn receive(&self, from: SocketAddr, frame: &[u8]) -> Result<(), DropReason> {
        let reply = self.key.open::<PollReply>(frame)?;
        let now = self.clock.now();
        let sent_at = match lock(&self.outstanding).get(&reply.nonce) {
            Some(it) if it.to == from => it.sent_at,
            _ => return Err(DropReason::Unsolicited),
        };
        if now.duration_since(sent_at) > self.timing.reply_age_max {
            return Err(DropReason::TooOld);
        }
        lock(&self.stamps).insert(from, reply.stamp);
        self.handler.on_reply(from, sent_at, reply);
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
