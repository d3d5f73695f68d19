//! Links between one machine and the servers, which can be cut.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::http::quit;

/// Whether the links of a machine are cut: its connections are reset, and new ones end at once.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Opens a link to a server; returns its address. While it is cut, nobody listens there.
    pub fn link_to(&self, server: SocketAddr) -> SocketAddr {
        let bind = |address| TcpListener::bind(address);
        let first = bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap_or_else(|it| quit(&it.to_string()));
        let address = first.local_addr().unwrap_or_else(|it| quit(&it.to_string()));
        let cut = self.clone();
        thread::spawn(move || {
            let mut listener = Some(first);
            loop {
                if cut.is_cut() {
                    listener = None;
                } else if listener.is_none() {
                    listener = bind(address).ok();
                }
                let Some(open) = &listener else {
                    thread::sleep(std::time::Duration::from_millis(5));
                    continue;
                };
                let _ = open.set_nonblocking(true);
                match open.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let cut = cut.clone();
                        thread::spawn(move || carry(stream, server, &cut));
                    }
                    Err(_) => thread::sleep(std::time::Duration::from_millis(1)),
                }
            }
        });
        address
    }
}

fn carry(client: TcpStream, server: SocketAddr, cut: &Cut) {
    let Ok(server) = TcpStream::connect(server) else { return };
    let _ = server.set_nodelay(true);
    let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone()) else { return };
    let (cut_there, cut_back) = (cut.clone(), cut.clone());
    let there = thread::spawn(move || copy(client_in, server, &cut_there));
    copy(server_in, client, &cut_back);
    let _ = there.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let _ = from.set_read_timeout(Some(std::time::Duration::from_millis(20)));
    let mut part = [0; 8192];
    while !cut.is_cut() {
        match from.read(&mut part) {
            Ok(0) => break,
            Ok(count) => {
                if to.write_all(&part[..count]).is_err() {
                    break;
                }
            }
            Err(it) if matches!(it.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
