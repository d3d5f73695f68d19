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
        let handle = Arc::new(handle);
        let machine = Arc::clone(self);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if machine.is_down.load(Ordering::SeqCst) {
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                if let Some(it) = &listener {
                    machine.fill_or_clear_queue(it);
                }
                let is_queue_full = !lock(&machine.queued).is_empty();
                let accepted = listener.as_ref().filter(|_| !is_queue_full).and_then(accept);
                let Some(mut stream) = accepted else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let Ok(caller) = stream.peer_addr() else { continue };
                lock(&machine.connections).extend(stream.try_clone().map(|it| (caller, it)));
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

    /// Closes all connections and refuses new ones until `start`; returns whether it was up.
    pub(super) fn crash(&self) -> bool {
        let was_up = !self.is_down.swap(true, Ordering::SeqCst);
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
