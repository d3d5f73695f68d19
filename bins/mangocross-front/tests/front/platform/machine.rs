//! A machine whose server process can crash and start again at the same address.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::Request;
use super::lock;

/// Time between checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Number of new connections that wait to be accepted.
const ACCEPT_QUEUE: i32 = 128;
/// Time after which a connection counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
pub(super) struct Machine {
    is_down: AtomicBool,
    /// The listening socket, unless the machine is down.
    listener: Mutex<Option<TcpListener>>,
    /// Time after a crash for which connections are still accepted, and closed.
    listens_on: Mutex<Duration>,
    /// Whether attempts to connect are to remain unanswered.
    is_deaf: AtomicBool,
    /// Connections that fill the queue of those to be accepted, so that further ones are dropped.
    queued: Mutex<Vec<TcpStream>>,
    /// Open connections by the callers' addresses.
    connections: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl Machine {
    /// Serves connections in the background, except while the machine is down; returns the address.
    pub(super) fn listen(
        self: &Arc<Self>,
        handle: impl Fn(Request, &mut TcpStream) + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        *lock(&self.listener) = Some(listener);
        let handle = Arc::new(handle);
        let machine = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let Some((mut stream, caller)) = machine.accept(address) else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let machine = Arc::clone(&machine);
                let handle = Arc::clone(&handle);
                thread::spawn(move || {
                    while let Some(request) = Request::read(&mut stream) {
                        handle(request, &mut stream);
                    }
                    // The connection is closed only once no copy of it is left.
                    lock(&machine.connections).retain(|(it, _)| *it != caller);
                });
            }
        });
        address
    }

    /// Accepts a connection if there is one; while the machine is down it is closed at once.
    fn accept(&self, address: SocketAddr) -> Option<(TcpStream, SocketAddr)> {
        let mut listener = lock(&self.listener);
        if listener.is_none() && !self.is_down() {
            *listener = TcpListener::bind(address).ok();
        }
        let listener = listener.as_ref()?;
        self.fill_or_clear_queue(listener);
        if !lock(&self.queued).is_empty() {
            return None;
        }
        let stream = accept(listener)?;
        let caller = stream.peer_addr().ok()?;
        if self.is_down() {
            return None;
        }
        lock(&self.connections).push((caller, stream.try_clone().ok()?));
        Some((stream, caller))
    }

    fn fill_or_clear_queue(&self, listener: &TcpListener) {
        let mut queued = lock(&self.queued);
        let is_deaf = self.is_deaf.load(Ordering::SeqCst);
        if is_deaf != queued.is_empty() {
            return;
        }
        queued.clear();
        let queue = if is_deaf { 0 } else { ACCEPT_QUEUE };
        let address = listener.local_addr().expect("an address");
        SockRef::from(listener).listen(queue).expect("a listening socket");
        while is_deaf && let Ok(it) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            queued.push(it);
        }
    }

    /// Leaves attempts to connect without an answer, or goes on to accept connections.
    pub(super) fn set_deaf(&self, is_deaf: bool) {
        self.is_deaf.store(is_deaf, Ordering::SeqCst);
        while lock(&self.queued).is_empty() == is_deaf {
            thread::sleep(ACCEPT_INTERVAL);
        }
    }

    /// Sets for how long a crashed server still accepts connections, as one does whose listening
    /// process outlives the one that crashed.
    pub(super) fn set_listens_on(&self, duration: Duration) {
        *lock(&self.listens_on) = duration;
    }

    /// Refuses new connections and closes all others until `start`; returns whether it was up.
    pub(super) fn crash(self: &Arc<Self>) -> bool {
        let was_up = !self.is_down.swap(true, Ordering::SeqCst);
        let listens_on = *lock(&self.listens_on);
        let mut listener = lock(&self.listener);
        match listens_on.is_zero() {
            true => *listener = None,
            false if was_up => {
                let machine = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(listens_on);
                    *lock(&machine.listener) = None;
                });
            }
            false => {}
        }
        for (_, connection) in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        was_up
    }

    pub(super) fn start(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    pub(super) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).ok()?;
    match listener.accept() {
        Ok((stream, _)) => {
            stream.set_nonblocking(false).ok()?;
            Some(stream)
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        Err(_) => None,
    }
}
