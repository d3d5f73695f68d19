//! Accepts callers' connections.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use slab::Slab;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::connection::ConnectionState;
use crate::connection::Overdue;
use crate::connection::TrackedSocket;
use crate::dispatch;
use crate::front::Front;
use crate::pool;

/// Time between looks for connections over a limit.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Part of the process's sockets that callers may hold; the rest is for backend servers.
const CALLERS_PART: f64 = 0.6;

/// Callers' connections.
#[derive(Debug)]
pub(crate) struct Callers {
    connections: RefCell<Slab<Rc<ConnectionState>>>,
    stop_accepting: Notify,
}

impl Callers {
    /// Closes connections as soon as they rest.
    pub(crate) fn close_idle(&self) {
        for (_, it) in self.connections.borrow().iter() {
            it.close.notify_one();
        }
    }

    /// Takes no new connections.
    pub(crate) fn stop_accepting(&self) {
        self.stop_accepting.notify_one();
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

/// Listens for callers.
pub(crate) async fn bind(front: Rc<Front>) -> Result<Rc<Callers>, String> {
    let address = front.vm.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|it| format!("[8102] {address} cannot be bound for callers: {it}"))?;
    let callers =
        Rc::new(Callers { connections: RefCell::default(), stop_accepting: Notify::new() });
    tokio::task::spawn_local(accept(Rc::clone(&front), Rc::clone(&callers), listener));
    tokio::task::spawn_local(close_overdue(front, Rc::clone(&callers)));
    Ok(callers)
}

async fn accept(front: Rc<Front>, callers: Rc<Callers>, listener: TcpListener) {
    let connections_max = (front.vm.sockets_max as f64 * CALLERS_PART) as usize;
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = callers.stop_accepting.notified() => return,
        };
        match accepted {
            Ok(_) if callers.count() >= connections_max => {
                if front.log_rate.admit("connection refused", front.now()).is_some() {
                    log::warn!(connections_max; "[2101] caller's connection refused: too many");
                }
            }
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&front), Rc::clone(&callers), stream));
            }
            Err(error) => {
                if front.log_rate.admit("accept failed", front.now()).is_some() {
                    log::warn!(error:% = error; "caller's connection not accepted");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(front: Rc<Front>, callers: Rc<Callers>, stream: TcpStream) {
    if let Err(error) = pool::set_options(&stream) {
        log::debug!(error:% = error; "socket options are not available");
    }
    let state = ConnectionState::new(front.clock);
    let key = callers.connections.borrow_mut().insert(Rc::clone(&state));
    let header_bytes_max = front.configuration().map_or(16 << 10, |it| it.limits.header_bytes_max);
    let socket = TrackedSocket::new(stream, Rc::clone(&state));
    let service = service_fn(|request: http::Request<Incoming>| {
        let in_progress = state.begin_request();
        let front = Rc::clone(&front);
        async move { Ok::<_, Infallible>(dispatch::answer(front, request, in_progress).await) }
    });
    // The buffer holds a whole head, and at least what the library needs.
    let connection = http1::Builder::new()
        .max_buf_size((header_bytes_max + (8 << 10)).max(16 << 10))
        .serve_connection(socket, service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        it = &mut connection => it,
        () = state.close.notified() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller's connection ended");
    }
    callers.connections.borrow_mut().remove(key);
}

/// Closes connections that rest, or send headers, for longer than allowed.
async fn close_overdue(front: Rc<Front>, callers: Rc<Callers>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(configuration) = front.configuration() else { continue };
        let now = front.now();
        for (_, it) in callers.connections.borrow().iter() {
            match it.overdue(now, &configuration.limits) {
                Overdue::No => {}
                Overdue::Idle | Overdue::Headers => it.close.notify_one(),
            }
        }
    }
}
