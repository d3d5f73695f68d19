//! The link from one entry VM to a backend server, which can be cut.

use std::io::copy;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use super::machine::Machine;

/// How a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Open connections are closed, new ones are refused.
    Refused,
    /// Attempts to connect remain unanswered, while open connections live on.
    Unanswered,
}

/// A link to a backend server; connections to its address are passed on to the server.
#[derive(Debug)]
pub(crate) struct Link {
    machine: Arc<Machine>,
    pub(crate) address: SocketAddr,
}

impl Link {
    pub(crate) fn to(server: SocketAddr) -> Self {
        let machine = Arc::new(Machine::default());
        let address = machine.listen_with(move |stream| pass_on(stream, server));
        Self { machine, address }
    }

    pub(crate) fn cut(&self, how: Cut) {
        match how {
            Cut::Refused => drop(self.machine.crash()),
            Cut::Unanswered => self.machine.set_deaf(true),
        }
    }

    /// Ends the cut.
    pub(crate) fn mend(&self) {
        self.machine.set_deaf(false);
        self.machine.start();
    }
}

/// Passes on both directions of a connection until either side closes it.
fn pass_on(caller: &mut TcpStream, server: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(server) else { return };
    let (Ok(mut from_server), Ok(mut to_caller)) = (server.try_clone(), caller.try_clone()) else {
        return;
    };
    let answers = thread::spawn(move || {
        let _ = copy(&mut from_server, &mut to_caller);
        let _ = to_caller.shutdown(Shutdown::Both);
    });
    let _ = copy(caller, &mut server);
    let _ = server.shutdown(Shutdown::Both);
    let _ = answers.join();
}
