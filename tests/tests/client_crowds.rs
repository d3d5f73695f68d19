//! Crowds of clients outside the limits, at a gateway and at a coordinator.
//!
//! The tests check only that the process lives, that its memory stays within its setting, and that an
//! ordinary request is answered afterwards.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Process;

/// Memory of the process under test.
const MEMORY_MB: u64 = 64;
/// Clients whose bodies together are two and a half times that memory.
const CLIENTS: usize = 160;
/// The largest body that is allowed.
const BODY_BYTES_MAX: usize = 1 << 20;
/// Time without progress after which a client writes no more.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which the crowd stays after its last byte, shorter than the time limit of a body.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// The tests share the machine's memory, so one runs at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Sends bodies that stop just short of their end; returns when the process has had time to read them.
fn send_crowd(address: SocketAddr, path: &str, headers: &str) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {BODY_BYTES_MAX}\r\n\r\n"
    );
    let body = vec![b'x'; BODY_BYTES_MAX - 1];
    let crowd: Vec<TcpStream> = (0..CLIENTS)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            // The process may refuse the client or close its connection.
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
            Some(stream)
        })
        .collect();
    thread::sleep(HOLD_TIME);
    drop(crowd);
}

/// Checks that the process has never used more memory than its setting says.
fn assert_within_memory(process: &Process) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("the process lives");
    let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
    println!("peak {peak_kb:?} kB");
    assert!(peak_kb.is_some_and(|it| it <= MEMORY_MB << 10), "{peak_kb:?} of {MEMORY_MB} MB");
}

/// Guards against a gateway that ends for lack of memory since many bodies of legal size stop just
/// short of their end and are kept until their deadline.
#[test]
fn gateway_stays_within_its_memory() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = ClusterBuilder::new(1, &[1]).gateway_setting("memory_mb", MEMORY_MB).start();
    let headers = "x-customer: town\r\nx-request-kind: status\r\n";
    send_crowd(cluster.gateway(0), "/v1/services/registry/status", headers);
    let call = CallerRequest::service("town", "status", "registry/status", "");
    cluster.wait_until("an answer", || cluster.send_request(0, &call).status == 200);
    assert_within_memory(&cluster.gateways[0]);
}

/// Like the test of the gateway, for the coordinator's port for operators.
#[test]
fn coordinator_stays_within_its_memory() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = ClusterBuilder::new(1, &[1]).coordinator_setting("memory_mb", MEMORY_MB).start();
    send_crowd(cluster.operator(0), "/v1/operator", "");
    cluster.wait_until("an answer", || cluster.operate(0, "show nodes").is_ok());
    assert_within_memory(&cluster.coordinators[0]);
}
