//! Accepts callers' connections.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use mangocross_serving::CallerLimits;
use mangocross_serving::Moment;
use mangocross_serving::RecentMaximum;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::answer_body::AnswerBody;
use crate::connection;
use crate::connection::ConnectionState;
use crate::connection::Ended;
use crate::connection::Overdue;
use crate::connection::TimeLimits;
use crate::connection::TrackedSocket;
use crate::dispatch;
use crate::dispatch::RequestSender;
use crate::exposed_port;
use crate::exposed_port::Connections;
use crate::pool;
use crate::state::AppState;

/// Time between checks for connections that exceed a time limit.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a change in which callers may still go by an earlier limit.
const LIMIT_NOTICE_TIME: Duration = Duration::from_secs(4);
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes beyond the limit on headers that are read ahead of a request's end, of its body or of the next
/// request.
pub(crate) const READ_AHEAD_BYTES: usize = 8 << 10;
/// Smallest limit on a connection's buffer that hyper accepts, rounded up.
pub(crate) const BUFFER_BYTES_MIN: usize = 16 << 10;
/// Time for which a connection has been waited for before another one may take its place: a caller that
/// sends its next request on it at once is not cut off.
const REPLACED_WAIT_MIN: Duration = Duration::from_secs(1);
/// Fraction of the process's sockets that callers may use; the rest is for backend servers, other
/// entry VMs and operators.
const CALLER_SOCKET_RATIO: f64 = 0.6;

/// The longest time limits that callers may go by.
#[derive(Debug)]
struct RecentLimits {
    idle_timeouts: RecentMaximum,
    header_timeouts: RecentMaximum,
}

impl RecentLimits {
    fn new() -> Self {
        Self {
            idle_timeouts: RecentMaximum::new(LIMIT_NOTICE_TIME),
            header_timeouts: RecentMaximum::new(LIMIT_NOTICE_TIME),
        }
    }

    /// Records the limits that are in force, and returns the longest recent ones.
    fn record(&mut self, limits: &CallerLimits, now: Moment) -> TimeLimits {
        TimeLimits {
            idle_timeout: self.idle_timeouts.record(limits.idle_timeout, now),
            header_timeout: self.header_timeouts.record(limits.header_timeout, now),
        }
    }
}

#[derive(Debug)]
pub(crate) struct CallerConnections {
    connections: Rc<Connections>,
    limits: RefCell<RecentLimits>,
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl CallerConnections {
    /// Closes connections as soon as they are idle.
    pub(crate) fn close_idle(&self) {
        self.connections.for_each(|it| it.close.notify_one());
    }

    /// Stops listening. Connections that were accepted before are counted from then on.
    pub(crate) async fn stop_accepting(&self) {
        let accepting = self.accepting.borrow_mut().take();
        if let Some(task) = accepting {
            task.abort();
            let _ = task.await;
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.connections.count()
    }
}

/// Listens for callers.
pub(crate) async fn bind(state: Rc<AppState>) -> Result<Rc<CallerConnections>, String> {
    let address = state.vm.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|it| format!("[8102] {address} cannot be bound for callers: {it}"))?;
    let callers = Rc::new(CallerConnections {
        connections: Rc::default(),
        limits: RefCell::new(RecentLimits::new()),
        accepting: RefCell::default(),
    });
    let accepting =
        tokio::task::spawn_local(accept(Rc::clone(&state), Rc::clone(&callers), listener));
    callers.accepting.replace(Some(accepting));
    tokio::task::spawn_local(close_overdue(state, Rc::clone(&callers)));
    Ok(callers)
}

async fn accept(state: Rc<AppState>, callers: Rc<CallerConnections>, listener: TcpListener) {
    let connections_max = (state.vm.sockets_max as f64 * CALLER_SOCKET_RATIO) as usize;
    loop {
        match listener.accept().await {
            Ok(_) if !makes_room(&state, &callers, connections_max).await => {
                if state.log_rate.allow("connection refused", state.now()).is_some() {
                    log::warn!(connections_max; "[2101] caller's connection refused: too many");
                }
            }
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&state), Rc::clone(&callers), stream));
            }
            Err(error) => {
                if state.log_rate.allow("accept failed", state.now()).is_some() {
                    log::warn!(error:% = error; "caller's connection not accepted");
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether there is room for another connection, after closing one that has been idle, or whose
/// request has been awaited, for a while.
async fn makes_room(state: &AppState, callers: &CallerConnections, connections_max: usize) -> bool {
    if callers.count() < connections_max {
        return true;
    }
    exposed_port::record_closed(state, "callers", "too_many");
    callers.connections.replace_one(connections_max, state.now(), REPLACED_WAIT_MIN).await
}

/// Counts an accepted connection at once, and returns what serves it.
fn serve(
    state: Rc<AppState>,
    callers: Rc<CallerConnections>,
    stream: TcpStream,
) -> impl Future<Output = ()> {
    if let Err(error) = pool::set_options(&stream, pool::CALLER_USER_TIMEOUT) {
        log::debug!(error:% = error; "socket options are not available");
    }
    let configuration = state.configuration();
    let limits = configuration.as_ref().map(|it| it.limits).unwrap_or_default();
    // Defaults were never announced to callers, so they are not recorded.
    let time_limits = match configuration {
        Some(_) => callers.limits.borrow_mut().record(&limits, state.now()),
        None => TimeLimits::new(&limits),
    };
    let client = state.budget.enter();
    let connection_state = ConnectionState::new(state.clock, time_limits, client);
    let entry = callers.connections.add(Rc::clone(&connection_state));
    async move {
        let _entry = entry;
        let request_state = Rc::clone(&state);
        let socket = TrackedSocket::new(stream, Rc::clone(&connection_state));
        let buffer_bytes = header_buffer_bytes(&limits);
        let service = service_fn(|request: http::Request<Incoming>| {
            let in_progress = connection_state.begin_request();
            let state = Rc::clone(&request_state);
            async move {
                let present = state.configuration().map_or(limits, |it| it.limits);
                let present = header_buffer_bytes(&present);
                if head_bytes(&request) > present {
                    drop(in_progress);
                    return Ok::<_, Infallible>(headers_too_large());
                }
                let sender = RequestSender::Caller;
                let served = dispatch::serve_request(state, request, in_progress, sender);
                let mut response = served.await;
                if present > buffer_bytes {
                    // Only a new connection takes what is allowed now.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok(response)
            }
        });
        let connection =
            http1::Builder::new().max_buf_size(buffer_bytes).serve_connection(socket, service);
        if connection::serve(connection, &connection_state).await == Ended::ForMemory {
            state.record_closed_for_memory("callers");
        }
    }
}

/// Returns the size of the buffer that has to hold a complete request head; hyper has a minimum.
fn header_buffer_bytes(limits: &CallerLimits) -> usize {
    (limits.header_bytes_max + READ_AHEAD_BYTES).max(BUFFER_BYTES_MIN)
}

/// Returns the size of a request's head, as sent with the usual separators.
fn head_bytes(request: &http::Request<Incoming>) -> usize {
    let line = request.method().as_str().len()
        + request.uri().path_and_query().map_or(0, |it| it.as_str().len())
        + " HTTP/1.1\r\n".len();
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    line + request.headers().iter().map(field).sum::<usize>()
}

/// Returns the answer that hyper gives on a connection whose buffer cannot hold a head.
fn headers_too_large() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Closes connections that are idle, or receive headers, for longer than allowed.
async fn close_overdue(state: Rc<AppState>, callers: Rc<CallerConnections>) {
    loop {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        let Some(configuration) = state.configuration() else { continue };
        let now = state.now();
        let limits = callers.limits.borrow_mut().record(&configuration.limits, now);
        callers.connections.for_each(|it| {
            it.set_limits(limits);
            let overdue = it.overdue(now);
            match overdue {
                Overdue::No => {}
                Overdue::Idle | Overdue::Headers | Overdue::Reader => {
                    state.metrics.count_closed_connection("callers", overdue.name());
                    if let Some(left_out) = state.log_rate.allow("caller's connection closed", now)
                    {
                        log::info!(
                            limit:? = overdue, configuration = configuration.version, left_out;
                            "caller's connection closed"
                        );
                    }
                    it.close.notify_one();
                }
            }
        });
    }
}
