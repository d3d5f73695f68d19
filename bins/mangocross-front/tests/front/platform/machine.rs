//! A machine whose server process can crash and start again at the same address.

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

/// Time after which a thread that waits for connections looks at the state of the machine.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two looks at the state of a machine that accepts nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of new connections that wait to be accepted.
const ACCEPT_QUEUE: i32 = 128;
/// Time after which a connection counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
pub(super) struct Machine {
    is_down: AtomicBool,
    /// The listening socket, unless the machine is down.
    listener: Mutex<Option<Arc<TcpListener>>>,
    /// Time after a crash for which connections are still accepted, and closed.
    listens_on: Mutex<Duration>,
    /// Held while connections are waited for.
    accepting: Mutex<()>,
    /// Whether attempts to connect are to remain unanswered.
    is_deaf: AtomicBool,
    /// Connections that fill the queue of those to be accepted, so that further ones are dropped.
    queued: Mutex<Vec<TcpStream>>,
    /// Open connections by the callers' addresses.
    connections: Mutex<Vec<(SocketAddr, TcpStream)>>,
}

impl Machine {
    /// Serves requests in the background, except while the machine is down; returns the address.
    pub(super) fn listen(
        self: &Arc<Self>,
        handle: impl Fn(Request, &mut TcpStream) + Send + Sync + 'static,
    ) -> SocketAddr {
        self.listen_with(move |stream| {
            while let Some(request) = Request::read(stream) {
                handle(request, stream);
            }
        })
    }

    /// Serves connections in the background, except while the machine is down; returns the address.
    pub(super) fn listen_with(
        self: &Arc<Self>,
        serve: impl Fn(&mut TcpStream) + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        *lock(&self.listener) = Some(Arc::new(listener));
        let serve = Arc::new(serve);
        let machine = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let Some((mut stream, caller)) = machine.accept(address) else { continue };
                let machine = Arc::clone(&machine);
                let serve = Arc::clone(&serve);
                thread::spawn(move || {
                    serve(&mut stream);
                    // The connection is closed only once no copy of it is left.
                    lock(&machine.connections).retain(|(it, _)| *it != caller);
                });
            }
        });
        address
    }

    /// Waits for a connection for a while; one that comes while the machine is down or deaf is closed.
    fn accept(&self, address: SocketAddr) -> Option<(TcpStream, SocketAddr)> {
        let accepting = lock(&self.accepting);
        let Some(listener) = self.listener(address).filter(|_| !self.is_deaf()) else {
            drop(accepting);
            thread::sleep(CHECK_INTERVAL);
            return None;
        };
        let accepted = listener.accept();
        drop(accepting);
        let (stream, caller) = accepted.ok()?;
        // The timeout of the listening socket is inherited.
        stream.set_read_timeout(None).ok()?;
        // No connection is accepted and kept after a crash has closed the others.
        let _listener = lock(&self.listener);
        if self.is_down() || self.is_deaf() {
            return None;
        }
        lock(&self.connections).push((caller, stream.try_clone().ok()?));
        Some((stream, caller))
    }

    /// Returns the listening socket, a new one if the machine has started again.
    fn listener(&self, address: SocketAddr) -> Option<Arc<TcpListener>> {
        let mut listener = lock(&self.listener);
        if listener.is_none() && !self.is_down() {
            *listener = bind(address).ok().map(Arc::new);
        }
        listener.clone()
    }

    fn is_deaf(&self) -> bool {
        self.is_deaf.load(Ordering::SeqCst)
    }

    /// Leaves attempts to connect without an answer, or goes on to accept connections.
    pub(super) fn set_deaf(&self, is_deaf: bool) {
        self.is_deaf.store(is_deaf, Ordering::SeqCst);
        // From here on no connection that fills the queue is accepted.
        let _accepting = lock(&self.accepting);
        let mut queued = lock(&self.queued);
        queued.clear();
        let Some(listener) = lock(&self.listener).clone() else { return };
        let queue = if is_deaf { 0 } else { ACCEPT_QUEUE };
        let address = listener.local_addr().expect("an address");
        SockRef::from(&*listener).listen(queue).expect("a listening socket");
        while is_deaf && let Ok(it) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            queued.push(it);
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
        if listens_on.is_zero() {
            self.stop_listening();
        } else if was_up {
            let machine = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(listens_on);
                machine.stop_listening();
            });
        }
        let _listener = lock(&self.listener);
        for (_, connection) in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        was_up
    }

    fn stop_listening(&self) {
        if let Some(listener) = lock(&self.listener).take() {
            // The thread that waits for connections has the socket, too.
            let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
    }

    pub(super) fn start(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    pub(super) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }
}

/// Listens at an address, with a limit on the time of each wait for a connection.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    SockRef::from(&listener).set_read_timeout(Some(ACCEPT_TIMEOUT))?;
    Ok(listener)
}
