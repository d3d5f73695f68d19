//! Coordinators are queried concurrently, up to a bound, within one time limit.

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use peer_entry::ConfigurationDocument;
use peer_entry::FetchServer;
use peer_entry::FetchSource;
use peer_entry::PeerKey;
use peer_entry::RequestFailure;
use peer_entry::SearchLimits;
use peer_entry::search_request_failure;

const COORDINATORS: usize = 4;

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn key() -> PeerKey {
    "a secret of the test's own".parse().expect("long enough")
}

fn request() -> RequestId {
    "r-1".parse().expect("a valid id")
}

/// Answers only once all coordinators are queried; the first one has the failure.
struct BarrierSource {
    all_queried: Arc<Barrier>,
    has_failure: bool,
}

impl FetchSource for BarrierSource {
    fn configuration(&self) -> Option<ConfigurationDocument> {
        None
    }

    fn earlier_text(&self, _revision: Revision) -> Option<Arc<str>> {
        None
    }

    fn failure(&self, request: &RequestId) -> Option<RequestFailure> {
        self.all_queried.wait();
        self.has_failure.then(|| RequestFailure {
            request: request.clone(),
            code: ResultCode::Overloaded,
            outcome: RunOutcome::NotRun,
            message: "come back".to_owned(),
            failed_at_unix_ms: 1,
        })
    }
}

#[test]
fn all_coordinators_are_queried_concurrently() {
    let all_queried = Arc::new(Barrier::new(COORDINATORS));
    let servers: Vec<FetchServer> = (1..=COORDINATORS)
        .map(|it| {
            let source =
                BarrierSource { all_queried: Arc::clone(&all_queried), has_failure: it == 1 };
            FetchServer::bind(any_port(), key(), Arc::new(source)).expect("binds")
        })
        .collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(FetchServer::address).collect();
    let limits = SearchLimits { concurrency_max: COORDINATORS, total: Duration::from_secs(30) };
    let search = search_request_failure(&addresses, &key(), &request(), limits);
    let found = search.found.expect("the first one has it");
    assert_eq!(found.coordinator, addresses[0]);
}

/// Silent coordinators occupy at most the permitted concurrency, and are reported when the time
/// limit expires.
#[test]
fn silent_coordinators_are_bounded_and_reported() {
    let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let silent = |_| {
        let listener = TcpListener::bind(any_port()).expect("binds");
        let address = listener.local_addr().expect("an address");
        let (open, most) = (Arc::clone(&open), Arc::clone(&most));
        thread::spawn(move || {
            let Ok((mut stream, _)) = listener.accept() else { return };
            most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            let _ = stream.read_to_end(&mut Vec::new());
            open.fetch_sub(1, Ordering::SeqCst);
        });
        address
    };
    let addresses: Vec<SocketAddr> = (0..3 * COORDINATORS).map(silent).collect();
    let limits = SearchLimits { concurrency_max: COORDINATORS, total: Duration::from_secs(1) };
    let search = search_request_failure(&addresses, &key(), &request(), limits);
    assert_eq!(search.found, None);
    assert_eq!(search.unanswered, addresses);
    assert!(most.load(Ordering::SeqCst) <= COORDINATORS);
}
