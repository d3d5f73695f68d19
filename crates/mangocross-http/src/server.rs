//! The HTTP server.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

use crate::ByteBudget;
use crate::HeaderError;
use crate::ServerLimits;
use crate::ServerRequest;
use crate::connection::Connection;
use crate::connection::NextRequest;
use crate::held::ConnectionGuard;

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 1024;
/// Idle time after which TCP keep-alive probes start.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// Time between TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Divisor of the memory that the byte budget is derived from. The allocator gives threads arenas of
/// their own, which keep what is freed in them.
const ARENA_DIVISOR: u64 = 2;
/// Pause after an error of `accept`.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

type Handler = dyn Fn(ServerRequest) + Send + Sync;

/// A running server with one thread per connection, up to a limit, which handles the requests of
/// the connection sequentially.
///
/// Accepted connections inherit the listener's write timeout, keep-alive probes and limit on
/// unacknowledged data, so an unresponsive caller cannot hold resources forever. Dropping the
/// server closes its listener; each connection is closed after its current request.
pub struct HttpServer {
    address: SocketAddr,
    listener: TcpListener,
    shared: Arc<Shared>,
}

struct Shared {
    limits: ServerLimits,
    budget: ByteBudget,
    handler: Box<Handler>,
    refuse: Box<Handler>,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    closed: AtomicBool,
}

impl HttpServer {
    /// Binds an address and serves it.
    ///
    /// `handler` runs on the thread of the request's connection. `refuse` runs instead, and must
    /// respond without delay, if too many requests are in flight, if too many connections are open,
    /// or if the header could not be read ([`ServerRequest::header_error`]).
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: impl Fn(ServerRequest) + Send + Sync + 'static,
        refuse: impl Fn(ServerRequest) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen(address, &limits)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            budget: ByteBudget::of_memory(limits.memory_bytes_max / ARENA_DIVISOR),
            handler: Box::new(handler),
            refuse: Box::new(refuse),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        });
        let (accept_shared, accept_listener) = (Arc::clone(&shared), listener.try_clone()?);
        let accept = move || accept(&accept_shared, &accept_listener);
        thread::Builder::new().name("http-accept".into()).spawn(accept)?;
        Ok(Self { address, listener, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests being handled.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the budget of the bytes that the server buffers for its clients.
    pub fn budget(&self) -> &ByteBudget {
        &self.shared.budget
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        // Wakes the accept loop.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }
}

fn listen(address: SocketAddr, limits: &ServerLimits) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(limits.write_timeout))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.closed.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => dispatch(shared, stream),
            Err(_) if shared.closed.load(Ordering::SeqCst) => return,
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                thread::sleep(ACCEPT_ERROR_PAUSE);
            }
        }
    }
}

fn dispatch(shared: &Arc<Shared>, stream: TcpStream) {
    let guard = CountGuard::enter(shared, Count::Connections);
    let admission = Admission::of(guard.previous, &shared.limits);
    if admission == Admission::Close {
        log::warn!("closed a new connection: {} are already open", guard.previous);
        return;
    }
    let spawned = thread::Builder::new().name("http-connection".into()).spawn(move || {
        let client = guard.shared.budget.enter();
        serve(&guard.shared, Connection::new(stream, guard.shared.limits, client), admission);
    });
    if let Err(error) = spawned {
        log::error!("failed to start a thread for a connection: {error}");
    }
}

/// Treatment of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Its requests are handled.
    Handle,
    /// Its first request is refused.
    Refuse,
    /// It is closed.
    Close,
}

impl Admission {
    fn of(connections: usize, limits: &ServerLimits) -> Self {
        let spare = limits.spare_connections;
        let handled_max = limits.in_flight_max.saturating_add(spare);
        if connections < handled_max {
            Self::Handle
        } else if connections < handled_max.saturating_add(spare) {
            Self::Refuse
        } else {
            Self::Close
        }
    }
}

/// Serves the requests of a connection sequentially.
fn serve(shared: &Arc<Shared>, mut connection: Connection, admission: Admission) {
    while !shared.closed.load(Ordering::SeqCst) {
        let next = connection.next();
        let returned = match next {
            NextRequest::Request(request) => handle(shared, connection, *request, admission),
            NextRequest::Unreadable(error) => refuse_unreadable(shared, connection, error),
            NextRequest::Closed => break,
        };
        match returned {
            Some(returned) => connection = returned,
            None => return,
        }
        if admission == Admission::Refuse {
            break;
        }
    }
    connection.close();
}

/// Handles one request; returns the connection, or `None` if a handler leaked it.
fn handle(
    shared: &Arc<Shared>,
    connection: Connection,
    request: Request<Incoming>,
    admission: Admission,
) -> Option<Connection> {
    let guard = CountGuard::enter(shared, Count::InFlight);
    let header_error = check_header_values(request.headers()).err();
    let full = admission == Admission::Refuse || guard.previous >= shared.limits.in_flight_max;
    let (connection, returned) = ConnectionGuard::new(connection);
    let request = ServerRequest::new(request, header_error, connection, shared.limits);
    if full || header_error.is_some() {
        drop(guard);
        (shared.refuse)(request);
    } else {
        (shared.handler)(request);
        drop(guard);
    }
    returned.recv().ok()
}

/// Refuses a request whose header cannot be read, the last one on its connection.
fn refuse_unreadable(
    shared: &Shared,
    connection: Connection,
    error: HeaderError,
) -> Option<Connection> {
    let (connection, request) = connection.into_placeholder()?;
    let (connection, returned) = ConnectionGuard::new(connection);
    (shared.refuse)(ServerRequest::new(request, Some(error), connection, shared.limits));
    returned.recv().ok()
}

/// Checks that all values are visible ASCII, since handlers get them as `&str`.
fn check_header_values(headers: &HeaderMap) -> Result<(), HeaderError> {
    let readable = headers.values().all(|it| it.to_str().is_ok());
    if readable { Ok(()) } else { Err(HeaderError::Malformed) }
}

/// Which count a guard belongs to.
#[derive(Debug, Clone, Copy)]
enum Count {
    Connections,
    InFlight,
}

/// Counts a connection or request until it is dropped.
struct CountGuard {
    shared: Arc<Shared>,
    count: Count,
    /// The count before this one was added.
    previous: usize,
}

impl CountGuard {
    fn enter(shared: &Arc<Shared>, count: Count) -> Self {
        let previous = shared.count(count).fetch_add(1, Ordering::SeqCst);
        Self { shared: Arc::clone(shared), count, previous }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.shared.count(self.count).fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    fn count(&self, count: Count) -> &AtomicUsize {
        match count {
            Count::Connections => &self.connections,
            Count::InFlight => &self.in_flight,
        }
    }
}
