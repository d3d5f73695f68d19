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
                let accepted = listener.as_ref().and_then(accept);
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
