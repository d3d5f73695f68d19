//! A TCP relay whose connections can be cut, silenced and delayed.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time for which a silenced connection stays open after one side closed it; longer than any time
/// limit of the system.
const SILENT_CLOSE_DELAY: Duration = Duration::from_secs(60);

/// How the relay treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards everything.
    Pass,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Accepts and reads but forwards nothing in either direction, also on existing connections.
    Silent,
    /// Forwards requests and drops every byte of the answers.
    DropAnswers,
    /// Forwards everything, each chunk after this delay.
    Delay(Duration),
}

/// A running relay.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    mode: Mutex<RelayMode>,
    /// Connections with lower numbers stay silent permanently.
    silent_below: AtomicU64,
    accepted: AtomicU64,
    /// Both ends of each open connection, by its number.
    open: Mutex<HashMap<u64, [TcpStream; 2]>>,
}

impl Relay {
    /// Binds an address and forwards connections to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the relay's address can be bound");
        let address = listener.local_addr().expect("the relay has an address");
        let shared = Arc::new(Shared {
            target,
            mode: Mutex::new(RelayMode::Pass),
            silent_below: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            open: Mutex::new(HashMap::new()),
        });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&acceptor);
                thread::spawn(move || shared.relay(stream));
            }
        });
        Self { address, shared }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the relay's mode.
    pub fn set(&self, mode: RelayMode) {
        *lock(&self.shared.mode) = mode;
        if mode == RelayMode::Cut {
            for stream in lock(&self.shared.open).values().flatten() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Silences all connections that are open now permanently, while new ones work.
    pub fn silence_open_connections(&self) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn relay(self: &Arc<Self>, caller: TcpStream) {
        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
        if self.mode() == RelayMode::Cut {
            return;
        }
        let Ok(server) = TcpStream::connect_timeout(&self.target, Duration::from_secs(1)) else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (Ok(from_caller), Ok(from_server)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        if let (Ok(one), Ok(other)) = (caller.try_clone(), server.try_clone()) {
            lock(&self.open).insert(number, [one, other]);
        }
        let shared = Arc::clone(self);
        let answers = thread::spawn(move || shared.copy(number, from_server, caller, true));
        self.copy(number, from_caller, server, false);
        let _ = answers.join();
        lock(&self.open).remove(&number);
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut buf = [0; 16 * 1024];
        // A connection that has lost bytes forwards no later ones.
        let mut has_lost_bytes = false;
        loop {
            let length = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            has_lost_bytes |= self.is_silent(number, answers);
            if has_lost_bytes {
                continue;
            }
            if let RelayMode::Delay(time) = self.mode() {
                thread::sleep(time);
            }
            if to.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        // The close of a silenced connection is not forwarded, so the other side doesn't notice it.
        if has_lost_bytes || self.is_silent(number, answers) {
            thread::sleep(SILENT_CLOSE_DELAY);
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn is_silent(&self, number: u64, answers: bool) -> bool {
        let is_silenced = number < self.silent_below.load(Ordering::SeqCst);
        let mode = self.mode();
        is_silenced || mode == RelayMode::Silent || (answers && mode == RelayMode::DropAnswers)
    }

    fn mode(&self) -> RelayMode {
        *lock(&self.mode)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
