//! The server.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tiny_http::Server;

use crate::ServerLimits;
use crate::ServerRequest;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Idle time after which a silent connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// Time between probes of a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which unacknowledged data ends a connection.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(30);
/// Requests being refused at once; beyond, the receiving thread waits.
const REFUSING_MAX: usize = 1024;
/// Wait for one of them to end.
const REFUSING_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait between attempts to renew a failed accept loop.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

type Handler = dyn Fn(ServerRequest) + Send + Sync;

/// A running server: a thread for each request, up to a limit.
///
/// The accepted connections inherit the listener's time limits, keep-alive
/// probes and limit of unacknowledged data, so a silent caller holds nothing
/// for ever.
pub struct HttpServer {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    limits: ServerLimits,
    handler: Box<Handler>,
    overload: Box<Handler>,
    in_flight: AtomicUsize,
    refusing: AtomicUsize,
    closed: AtomicBool,
}

impl HttpServer {
    /// Binds an address and serves it.
    ///
    /// `handler` runs on a thread of its own for each request; so does `overload`,
    /// which takes its place when too many requests are in flight and must answer
    /// at once.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: impl Fn(ServerRequest) + Send + Sync + 'static,
        overload: impl Fn(ServerRequest) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen(address, &limits)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            listener,
            limits,
            handler: Box::new(handler),
            overload: Box::new(overload),
            in_flight: AtomicUsize::new(0),
            refusing: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        });
        start_accepting(&shared)?;
        keep_accepting(&shared, address);
        Ok(Self { address, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests being handled.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
    }
}

fn listen(address: SocketAddr, limits: &ServerLimits) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(limits.write_timeout))?;
    socket.set_read_timeout(Some(limits.read_timeout))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts an accept loop and the thread that takes its requests.
///
/// The library ends its accept loop on any error; the taking thread then
/// starts another loop and goes on serving the connections it has.
fn start_accepting(shared: &Arc<Shared>) -> io::Result<()> {
    let listener = shared.listener.try_clone()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let shared = Arc::clone(shared);
    thread::Builder::new().name("http-receive".into()).spawn(move || receive(&shared, &server))?;
    Ok(())
}

fn receive(shared: &Arc<Shared>, server: &Server) {
    let mut accepting = true;
    while !shared.closed.load(Ordering::Relaxed) {
        match server.recv() {
            Ok(request) => dispatch(shared, ServerRequest::new(request, shared.limits)),
            Err(error) if accepting => {
                log::warn!("accept loop ended and is started again: {error}");
                accepting = false;
                while start_accepting(shared).is_err() {
                    thread::sleep(RESTART_PAUSE);
                }
            }
            Err(error) => log::warn!("request could not be received: {error}"),
        }
    }
}

fn dispatch(shared: &Arc<Shared>, request: ServerRequest) {
    let guard = Counted::enter(shared, Role::Handling);
    if guard.before >= shared.limits.in_flight_max {
        drop(guard);
        return refuse(shared, request);
    }
    let spawned = thread::Builder::new().name("http-request".into()).spawn(move || {
        (guard.shared.handler)(request);
    });
    if let Err(error) = spawned {
        log::error!("no thread for a request: {error}");
    }
}

/// Refuses a request on a thread of its own: its answer may have to wait for an earlier one on the
/// same connection, which must not keep the receiving thread from other connections.
fn refuse(shared: &Arc<Shared>, request: ServerRequest) {
    let mut guard = Counted::enter(shared, Role::Refusing);
    while guard.before >= REFUSING_MAX {
        drop(guard);
        thread::sleep(REFUSING_PAUSE);
        guard = Counted::enter(shared, Role::Refusing);
    }
    let spawned = thread::Builder::new().name("http-refuse".into()).spawn(move || {
        (guard.shared.overload)(request);
    });
    if let Err(error) = spawned {
        log::error!("no thread for a refusal: {error}");
    }
}

/// What a thread does with a request.
#[derive(Debug, Clone, Copy)]
enum Role {
    Handling,
    Refusing,
}

/// Counts a request until dropped.
struct Counted {
    shared: Arc<Shared>,
    role: Role,
    /// Requests counted when this one came.
    before: usize,
}

impl Counted {
    fn enter(shared: &Arc<Shared>, role: Role) -> Self {
        let before = shared.count(role).fetch_add(1, Ordering::SeqCst);
        Self { shared: Arc::clone(shared), role, before }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.count(self.role).fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    fn count(&self, role: Role) -> &AtomicUsize {
        match role {
            Role::Handling => &self.in_flight,
            Role::Refusing => &self.refusing,
        }
    }
}

/// Connects now and then, so that the listener's read time limit, which
/// accepted connections inherit, does not end an idle accept loop.
fn keep_accepting(shared: &Arc<Shared>, address: SocketAddr) {
    let shared = Arc::downgrade(shared);
    let target = match address.ip().is_unspecified() {
        true => SocketAddr::from(([127, 0, 0, 1], address.port())),
        false => address,
    };
    thread::spawn(move || {
        while let Some(shared) = shared.upgrade() {
            if shared.closed.load(Ordering::Relaxed) {
                return;
            }
            let pause = shared.limits.read_timeout / 3;
            drop(shared);
            thread::sleep(pause);
            if let Ok(stream) = TcpStream::connect_timeout(&target, pause) {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    });
}
