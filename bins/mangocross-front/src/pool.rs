//! Connections to backend servers and the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::ext::ReasonPhrase;
use hyper_util::rt::TokioIo;
use mangocross_http::BodyParts;
use mangocross_platform::ConnectionUse;
use mangocross_platform::begins_as_another;
use mangocross_serving::BootClock;
use mangocross_serving::ConnectTimes;
use mangocross_serving::IdleLimits;
use mangocross_serving::IdleServer;
use mangocross_serving::is_final_status;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::clock::SystemBootClock;
use crate::head_limit::HeadLimit;
use crate::head_limit::HeadLimitedSocket;
use crate::state::AppState;

/// TCP_USER_TIMEOUT of connections to servers and entry VMs: time without acknowledgement after
/// which the kernel closes a connection.
pub(crate) const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// TCP_USER_TIMEOUT of callers' connections. It also counts while a caller does not read and its
/// window is closed, so it leaves time for a pause.
pub(crate) const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the read buffer of a connection to a server, which grows while an answer comes fast; the heads
/// of answers must fit into it.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;
/// Maximum number of idle connections per address.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Why a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// No process listens at the address.
    Refused,
    /// No answer, or the network is unreachable.
    Unreachable,
}

/// Why an exchange on an established connection failed.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    /// Why, for the log.
    pub(crate) reason: String,
    /// Whether it is certain that nothing of the request was sent.
    pub(crate) is_unsent: bool,
}

/// A connection; dropping it closes it at once, which stops the server's work on the request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<BodyParts>,
    driver: AbortHandle,
    address: SocketAddr,
    is_reused: bool,
    head_limit: HeadLimit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Returns whether the connection has served a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns what an answer on the connection may belong to.
    pub(crate) fn connection_use(&self) -> ConnectionUse {
        if self.is_reused { ConnectionUse::Reused } else { ConnectionUse::New }
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// Fails if the head is joined with bytes that belong to no request: its status and headers may be
    /// those of different answers, so what became of the request is unknown. It is the same with a
    /// status that is not that of a final answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<BodyParts>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let awaiting_head = self.head_limit.begin();
        let sent = self.sender.send_request(request).await;
        drop(awaiting_head);
        let response = sent
            .map_err(|it| ExchangeError { reason: it.to_string(), is_unsent: it.is_canceled() })?;
        let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
        if begins_as_another(reason, response.headers(), self.connection_use()) {
            let reason = "the answer is joined with a part of another one".to_owned();
            return Err(ExchangeError { reason, is_unsent: false });
        }
        let status = response.status();
        if !is_final_status(status.as_u16()) {
            let reason = format!("{} is not the status of a final answer", status.as_u16());
            return Err(ExchangeError { reason, is_unsent: false });
        }
        Ok(response)
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Idle connections, by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Times of connections to servers.
    connect_times: Cell<ConnectTimes>,
    idle_limits: RefCell<IdleLimits>,
}

impl Pool {
    /// Returns an idle connection to a server, if there is one.
    pub(crate) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop)?;
            if idle.until <= now {
                continue;
            }
            if !idle.connection.sender.is_ready() {
                self.record_early_close(address);
                continue;
            }
            let mut connection = idle.connection;
            connection.is_reused = true;
            return Some(connection);
        }
    }

    /// Opens a new connection to a server; `failures` is the number of failed connections of the same
    /// request.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        failures: u32,
    ) -> Result<Connection, ConnectError> {
        let mut times = self.connect_times.get();
        let began_at = Instant::now();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES_MAX);
        let connection = connect_with(&builder, address, times.limit(failures)).await?;
        times.record(began_at.elapsed());
        self.connect_times.set(times);
        Ok(connection)
    }

    /// Returns a connection to the pool once its answer has been read completely.
    ///
    /// `keep_alive_timeout` is the one that the server announced, if any; `is_warm` tells whether this
    /// VM often sends to the server.
    pub(crate) async fn put(
        &self,
        mut connection: Connection,
        keep_alive_timeout: Option<Duration>,
        is_warm: bool,
    ) {
        // The connection can be reused only after its task has processed the end of the answer.
        let ready = tokio::time::timeout(Duration::from_millis(50), connection.sender.ready());
        if !matches!(ready.await, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let for_address = idle.entry(connection.address).or_default();
        let server = IdleServer {
            address: connection.address,
            keep_alive: keep_alive_timeout,
            is_warm,
            idle_connections: for_address.len(),
        };
        let idle_timeout = self.idle_limits.borrow().idle_time(&server, SystemBootClock.now());
        if for_address.len() < IDLE_CONNECTIONS_MAX && !idle_timeout.is_zero() {
            for_address.push(IdleConnection { connection, until: Instant::now() + idle_timeout });
        }
    }

    /// Records that a connection broke before an answer. A server that closes idle connections early
    /// breaks reused ones, and those that are still idle would break the next requests.
    pub(crate) fn record_broken(&self, connection: &Connection) {
        if connection.is_reused {
            self.record_early_close(connection.address);
            self.close_idle(connection.address);
        }
    }

    fn record_early_close(&self, address: SocketAddr) {
        self.idle_limits.borrow_mut().record_early_close(address, SystemBootClock.now());
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for (address, for_address) in idle.iter_mut() {
            for_address.retain(|it| it.until > now);
            if for_address.iter().any(|it| !it.connection.sender.is_ready()) {
                self.record_early_close(*address);
                for_address.retain(|it| it.connection.sender.is_ready());
            }
        }
        idle.retain(|_, it| !it.is_empty());
        self.idle_limits.borrow_mut().expire(SystemBootClock.now());
    }
}

impl AppState {
    /// Returns a connection to the pool in the background: it may still be sending the request, and
    /// the end of the answer does not wait for that.
    pub(crate) fn recycle(
        self: &Rc<Self>,
        connection: Connection,
        keep_alive_timeout: Option<Duration>,
        is_warm: bool,
    ) {
        let state = Rc::clone(self);
        tokio::task::spawn_local(async move {
            state.pool.put(connection, keep_alive_timeout, is_warm).await;
        });
    }
}

/// Opens a new connection to the store, another entry VM or a server that is only asked for its state.
///
/// Its read buffer has hyper's limit: with 64 KiB a fleet of 300 entry VMs that starts together reads
/// the lists of the store and of relays too slowly.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<Connection, ConnectError> {
    connect_with(&http1::Builder::new(), address, timeout).await
}

async fn connect_with(
    builder: &http1::Builder,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Connection, ConnectError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(it)) => it,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(ConnectError::Unreachable),
    };
    if let Err(error) = set_options(&stream, SERVER_USER_TIMEOUT) {
        log::debug!(error:% = error, address:% = address; "socket options are not available");
    }
    let head_limit = HeadLimit::default();
    let socket = HeadLimitedSocket::new(stream, head_limit.clone());
    let handshake = builder.handshake(TokioIo::new(socket)).await;
    let (sender, driver) = handshake.map_err(|_| ConnectError::Unreachable)?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(error:% = error, address:% = address; "connection ended");
        }
    });
    let driver = driver.abort_handle();
    Ok(Connection { sender, driver, address, is_reused: false, head_limit })
}

/// Sets the socket options of an accepted or opened connection.
pub(crate) fn set_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))
}
