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

use super::Request;
use super::lock;

/// Time between checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug, Default)]
pub(super) struct Machine {
    is_down: AtomicBool,
    /// The listening socket, unless the machine is down.
    listener: Mutex<Option<TcpListener>>,
    /// Time after a crash for which connections are still accepted, and closed.
    listens_on: Mutex<Duration>,
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
        let stream = accept(listener.as_ref()?)?;
        let caller = stream.peer_addr().ok()?;
        if self.is_down() {
            return None;
        }
        lock(&self.connections).push((caller, stream.try_clone().ok()?));
        Some((stream, caller))
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
