//! Frames that are damaged, forged, replayed or late, and connections that stall.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::Clock;
use mangocross_types::ManualClock;
use mangocross_types::RequestId;
use mangocross_types::Revision;
use peer_entry::ConfigurationDocument;
use peer_entry::FetchServer;
use peer_entry::FetchSource;
use peer_entry::PeerKey;
use peer_entry::Poll;
use peer_entry::PollReply;
use peer_entry::PollResponder;
use peer_entry::PollScope;
use peer_entry::PollTiming;
use peer_entry::Poller;
use peer_entry::PollerHandler;
use peer_entry::ProcessRole;
use peer_entry::ReplyStamp;
use peer_entry::RequestFailure;
use peer_entry::fetch_configuration;
use peer_entry::fetch_request_failure;

/// Longest wait for an expected condition.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Pause between two bytes on a slow connection.
const BYTE_INTERVAL: Duration = Duration::from_millis(300);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn key(secret: &str) -> PeerKey {
    secret.parse().expect("a long enough secret")
}

fn own_key() -> PeerKey {
    key("the secret of these tests")
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_MAX;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn reply_to(poll: &Poll) -> PollReply {
    PollReply {
        nonce: poll.nonce,
        vm: "entry-1".parse().expect("a valid id"),
        stamp: ReplyStamp { process_id: 7, uptime_ms: 70 },
        revision: Revision(3),
        newest_known: Revision(3),
        established: true,
        stopping: false,
        freshness_lease_ms: 6_000,
        store_age_ms: None,
        placements_revision: Revision(9),
        assignments_revision: Revision(8),
        service_servers: Vec::new(),
        health_leases: Vec::new(),
        domains: Vec::new(),
        leaving: Vec::new(),
        usage: None,
        majority_age_ms: None,
        owners: Vec::new(),
        vm_list: None,
        gateways: Vec::new(),
        caches: Vec::new(),
    }
}

/// Polls one coordinator and records its replies.
struct RecordingHandler {
    target: SocketAddr,
    received: Mutex<Vec<(Instant, Revision)>>,
}

impl PollerHandler for RecordingHandler {
    fn targets(&self) -> Vec<SocketAddr> {
        vec![self.target]
    }

    fn poll(&self, _to: SocketAddr) -> Poll {
        Poll {
            nonce: 0,
            vm: "entry-2".parse().expect("a valid id"),
            role: ProcessRole::Gateway,
            process_id: 9,
            revision: Revision(2),
            serving: true,
            scope: PollScope::All,
            reports: true,
            usage: Vec::new(),
            failures: Vec::new(),
            echo: None,
        }
    }

    fn on_reply(&self, _from: SocketAddr, sent_at: Instant, reply: PollReply) {
        self.received.lock().expect("no test panics here").push((sent_at, reply.revision));
    }
}

/// A poller with a manual clock and a relay in front of its coordinator.
struct Fixture {
    poller: Poller,
    handler: Arc<RecordingHandler>,
    clock: Arc<ManualClock>,
    relay: UdpSocket,
    responder: PollResponder,
}

impl Fixture {
    fn open(interval: Duration, coordinator_key: PeerKey) -> Self {
        let responder = PollResponder::bind(any_port(), coordinator_key, reply_to).expect("binds");
        let relay = UdpSocket::bind(any_port()).expect("binds");
        relay.set_read_timeout(Some(WAIT_MAX)).expect("a time limit");
        let target = relay.local_addr().expect("an address");
        let handler = Arc::new(RecordingHandler { target, received: Mutex::new(Vec::new()) });
        let clock = Arc::new(ManualClock::new());
        let timing = PollTiming { interval, reply_age_max: Duration::from_secs(5) };
        let poller = Poller::spawn(
            any_port(),
            own_key(),
            timing,
            Arc::clone(&clock) as Arc<dyn Clock>,
            Arc::clone(&handler) as Arc<dyn PollerHandler>,
        )
        .expect("binds");
        Self { poller, handler, clock, relay, responder }
    }

    /// Receives the next poll and the poller's address.
    fn poll(&self) -> (Vec<u8>, SocketAddr) {
        loop {
            let (frame, from) = self.receive();
            if from != self.responder.address() {
                return (frame, from);
            }
        }
    }

    /// Forwards a poll and receives the coordinator's reply.
    fn answer(&self, poll: &[u8]) -> Vec<u8> {
        self.relay.send_to(poll, self.responder.address()).expect("sent");
        loop {
            let (frame, from) = self.receive();
            if from == self.responder.address() {
                return frame;
            }
        }
    }

    fn receive(&self) -> (Vec<u8>, SocketAddr) {
        let mut buf = [0; 2048];
        let (length, from) = self.relay.recv_from(&mut buf).expect("a frame comes");
        (buf[..length].to_vec(), from)
    }

    fn received(&self) -> Vec<(Instant, Revision)> {
        self.handler.received.lock().expect("no test panics here").clone()
    }
}

#[test]
fn damaged_truncated_and_arbitrary_frames_are_dropped_and_counted() {
    let fixture = Fixture::open(Duration::from_secs(3_600), own_key());
    let (poll, _) = fixture.poll();
    let send = |frame: &[u8]| {
        let before = fixture.responder.dropped_frames();
        fixture.relay.send_to(frame, fixture.responder.address()).expect("sent");
        wait_until("the frame is counted", || fixture.responder.dropped_frames() > before);
    };
    for index in 0..poll.len() {
        let mut damaged = poll.clone();
        damaged[index] ^= 1 << (index % 8);
        send(&damaged);
    }
    for length in [0, 1, 16, 17, poll.len() - 1] {
        send(&poll[..length]);
    }
    let mut longer = poll.clone();
    longer.push(0);
    send(&longer);
    send(&[0xff; 20_000]);
    // The responder still answers.
    assert!(!fixture.answer(&poll).is_empty());
}

#[test]
fn damaged_reply_and_poll_with_another_key_are_dropped_and_counted() {
    let fixture = Fixture::open(Duration::from_secs(3_600), own_key());
    let (poll, poller) = fixture.poll();
    let reply = fixture.answer(&poll);
    let mut damaged = reply.clone();
    *damaged.last_mut().expect("a body") ^= 1;
    fixture.relay.send_to(&damaged, poller).expect("sent");
    wait_until("the reply is counted", || fixture.poller.dropped_frames() == 1);
    assert!(fixture.received().is_empty());
    let other_responder =
        PollResponder::bind(any_port(), key("another secret, long enough"), reply_to);
    let other_responder = other_responder.expect("binds");
    fixture.relay.send_to(&poll, other_responder.address()).expect("sent");
    wait_until("the poll is counted", || other_responder.dropped_frames() == 1);
}

#[test]
fn replayed_reply_is_dated_by_when_its_poll_was_sent() {
    let fixture = Fixture::open(Duration::from_secs(3_600), own_key());
    let sent_at = fixture.clock.now();
    let (poll, poller) = fixture.poll();
    let reply = fixture.answer(&poll);
    for count in 1..=3 {
        fixture.relay.send_to(&reply, poller).expect("sent");
        wait_until("the reply is received", || fixture.received().len() == count);
        fixture.clock.advance(Duration::from_secs(1));
    }
    assert!(fixture.received().iter().all(|(polled_at, _)| *polled_at == sent_at));
}

#[test]
fn reply_that_is_too_old_or_comes_from_elsewhere_is_dropped_and_counted() {
    let fixture = Fixture::open(Duration::from_secs(3_600), own_key());
    let (poll, poller) = fixture.poll();
    let reply = fixture.answer(&poll);
    let elsewhere = UdpSocket::bind(any_port()).expect("binds");
    elsewhere.send_to(&reply, poller).expect("sent");
    wait_until("the reply from elsewhere is counted", || fixture.poller.dropped_frames() == 1);
    fixture.clock.advance(Duration::from_secs(6));
    fixture.relay.send_to(&reply, poller).expect("sent");
    wait_until("the old reply is counted", || fixture.poller.dropped_frames() == 2);
    assert!(fixture.received().is_empty());
}

#[test]
fn poll_echoes_the_stamp_of_the_newest_reply() {
    let echoes = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&echoes);
    let responder = PollResponder::bind(any_port(), own_key(), move |poll| {
        seen.lock().expect("no test panics here").push(poll.echo);
        reply_to(poll)
    });
    let target = responder.as_ref().expect("binds").address();
    let handler = Arc::new(RecordingHandler { target, received: Mutex::new(Vec::new()) });
    let timing =
        PollTiming { interval: Duration::from_millis(20), reply_age_max: Duration::from_secs(5) };
    let clock = Arc::new(ManualClock::new());
    let _poller = Poller::spawn(any_port(), own_key(), timing, clock, handler).expect("binds");
    wait_until("an echo comes", || {
        let echoes = echoes.lock().expect("no test panics here");
        echoes.last().copied().flatten() == Some(ReplyStamp { process_id: 7, uptime_ms: 70 })
    });
    assert_eq!(echoes.lock().expect("no test panics here").first(), Some(&None));
}

/// Returns the document that a newly started node holds.
fn empty_document() -> ConfigurationDocument {
    ConfigurationDocument { revision: Revision(0), text: String::new() }
}

/// Largest value of the store, in bytes.
const STORE_BYTES_MAX: usize = 1024 * 1024;

/// Holds a configuration of this many bytes, and an earlier one that is one byte shorter.
struct Source(usize);

impl FetchSource for Source {
    fn configuration(&self) -> Option<ConfigurationDocument> {
        Some(ConfigurationDocument { revision: Revision(3), text: "x".repeat(self.0) })
    }

    fn earlier_text(&self, revision: Revision) -> Option<Arc<str>> {
        (revision == Revision(2)).then(|| "x".repeat(self.0 - 1).into())
    }

    fn failure(&self, _request: &RequestId) -> Option<RequestFailure> {
        None
    }
}

#[test]
fn silent_connections_time_out_while_others_are_served() {
    let server =
        FetchServer::bind(any_port(), own_key(), Arc::new(Source(STORE_BYTES_MAX))).expect("binds");
    let mut silent: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(server.address()).expect("connects")).collect();
    let mut slow = TcpStream::connect(server.address()).expect("connects");
    slow.write_all(&[0, 0]).expect("sent");
    let document =
        fetch_configuration(server.address(), &own_key(), &empty_document()).expect("is served");
    assert_eq!((document.revision, document.text.len()), (Revision(3), STORE_BYTES_MAX));
    let request: RequestId = "r-1".parse().expect("a valid id");
    assert_eq!(
        fetch_request_failure(server.address(), &own_key(), &request).expect("is served"),
        None
    );
    silent.push(slow);
    for stream in &mut silent {
        stream.set_read_timeout(Some(WAIT_MAX)).expect("a time limit");
        assert_eq!(stream.read(&mut [0; 1]).expect("the server closes it"), 0);
    }
}

#[test]
fn connection_that_sends_too_slowly_is_closed() {
    let server =
        FetchServer::bind(any_port(), own_key(), Arc::new(Source(STORE_BYTES_MAX))).expect("binds");
    let mut stream = TcpStream::connect(server.address()).expect("connects");
    stream.write_all(&100_000_u32.to_be_bytes()).expect("sent");
    wait_until("the server closes it", || {
        thread::sleep(BYTE_INTERVAL);
        stream.write_all(&[1]).is_err()
    });
}

#[test]
fn fetch_from_a_silent_coordinator_ends_with_an_error() {
    let listener = TcpListener::bind(any_port()).expect("binds");
    let address = listener.local_addr().expect("an address");
    let _held = thread::spawn(move || {
        let held = listener.accept();
        thread::sleep(WAIT_MAX * 2);
        drop(held);
    });
    assert!(fetch_configuration(address, &own_key(), &empty_document()).is_err());
}

#[test]
fn frame_that_claims_to_be_too_large_is_refused() {
    let server =
        FetchServer::bind(any_port(), own_key(), Arc::new(Source(STORE_BYTES_MAX))).expect("binds");
    let mut stream = TcpStream::connect(server.address()).expect("connects");
    stream.write_all(&u32::MAX.to_be_bytes()).expect("sent");
    stream.set_read_timeout(Some(WAIT_MAX)).expect("a time limit");
    assert_eq!(stream.read(&mut [0; 1]).expect("the server closes it"), 0);
    // A complete and valid frame is refused for its size alone.
    let large = Arc::new(Source(2 * STORE_BYTES_MAX));
    let server = FetchServer::bind(any_port(), own_key(), large).expect("binds");
    let refused = fetch_configuration(server.address(), &own_key(), &empty_document());
    assert!(refused.expect_err("the frame is too large").message.contains("too large"));
}

#[test]
fn inapplicable_difference_is_replaced_by_the_full_document() {
    let server =
        FetchServer::bind(any_port(), own_key(), Arc::new(Source(STORE_BYTES_MAX))).expect("binds");
    // The revision is 2, but the text is not the one of revision 2.
    let current = ConfigurationDocument { revision: Revision(2), text: "y".to_owned() };
    let document = fetch_configuration(server.address(), &own_key(), &current).expect("is served");
    assert_eq!(Some(document), Source(STORE_BYTES_MAX).configuration());
}
