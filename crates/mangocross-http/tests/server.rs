//! The server limits the resources that a caller can hold.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use mangocross_http::CallErrorKind;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpServer;
use mangocross_http::ServerLimits;
use mangocross_http::ServerRequest;

fn echo(mut request: ServerRequest) {
    match request.read_body() {
        Ok(body) => request.respond(200, &[("x-path", "echo")], body),
        Err(error) => request.respond(413, &[], error.to_string().into_bytes()),
    }
}

fn serve(limits: ServerLimits) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::bind(address, limits, echo, |it| it.respond(503, &[], Vec::new())).unwrap()
}

fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the condition did not become true in time");
}

#[test]
fn whole_response_is_returned() {
    let server = serve(ServerLimits::default());
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hello".to_vec());
    let answer = HttpClient::open().call(call).unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.header("x-path"), Some("echo"));
    assert_eq!(answer.read_all(100).unwrap(), b"hello");
}

#[test]
fn large_body_is_refused() {
    let server = serve(ServerLimits::default().body_bytes_max(4));
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hello".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 413);
}

#[test]
fn slow_header_is_cut_off_and_others_are_served() {
    let server = serve(ServerLimits::default().read_timeout(Duration::from_millis(200)));
    let mut slow = TcpStream::connect(server.address()).unwrap();
    slow.write_all(b"POST /x HTTP/1.1\r\nhost").unwrap();
    slow.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut buf = Vec::new();
    let closed = slow.read_to_end(&mut buf);
    assert!(closed.is_ok(), "the connection stayed open");
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hi".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
}

#[test]
fn endless_header_is_refused_after_its_timeout() {
    let server = serve(ServerLimits::default().header_timeout(Duration::from_millis(300)));
    let mut slow = TcpStream::connect(server.address()).unwrap();
    slow.write_all(b"POST /x HTTP/1.1\r\nhost: x\r\nx-slow: ").unwrap();
    let mut trickle = slow.try_clone().unwrap();
    thread::spawn(move || {
        while trickle.write_all(b"a").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    slow.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let mut answer = String::new();
    slow.read_to_string(&mut answer).expect("the connection stayed open");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

#[test]
fn unreadable_headers_are_refused_with_their_reason() {
    let refuse = |it: ServerRequest| {
        let reason = format!("{:?}", it.header_error());
        it.respond(400, &[], reason.into_bytes());
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, ServerLimits::default(), echo, refuse).unwrap();
    let lines = "x-line: a\r\n".repeat(200);
    for (header, reason) in [
        (format!("GET / HTTP/1.1\r\n{lines}\r\n"), "TooLarge"),
        (format!("GET / HTTP/1.1\r\nx-large: {}\r\n\r\n", "a".repeat(1 << 20)), "TooLarge"),
        ("GET / HTTP/1.1\r\nno colon\r\n\r\n".to_owned(), "Malformed"),
        ("GET / HTTP/1.1\r\nx-key: \u{e9}\r\nconnection: close\r\n\r\n".to_owned(), "Malformed"),
    ] {
        let mut connection = TcpStream::connect(server.address()).unwrap();
        connection.write_all(header.as_bytes()).unwrap();
        connection.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).expect("the connection stayed open");
        assert!(answer.starts_with("HTTP/1.1 400"), "{reason}: {answer}");
        assert!(answer.contains(reason), "{reason}: {answer}");
    }
}

#[test]
fn expect_continue_is_answered_with_100_continue() {
    let server = serve(ServerLimits::default());
    let mut connection = TcpStream::connect(server.address()).unwrap();
    let header = "POST /x HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    connection.write_all(header.as_bytes()).unwrap();
    let mut interim = [0; 25];
    connection.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    connection.write_all(b"hi").unwrap();
    connection.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("hi"), "{answer}");
}

#[test]
fn idle_listener_keeps_accepting() {
    let server = serve(ServerLimits::default().read_timeout(Duration::from_millis(60)));
    thread::sleep(Duration::from_millis(400));
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hi".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
}

#[test]
fn chunks_arrive_one_by_one() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (sender, receiver) = std::sync::mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let stream = move |request: ServerRequest| {
        let mut stream = request.respond_stream(200, &[]).unwrap();
        stream.write_chunk(b"one").unwrap();
        receiver.lock().unwrap().recv().unwrap();
        stream.write_chunk(b"two").unwrap();
        stream.finish().unwrap();
    };
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    let server = HttpServer::bind(address, ServerLimits::default(), stream, refuse).unwrap();
    let call = HttpCall::new(HttpMethod::Get, server.address(), "/");
    let mut answer = HttpClient::open().call(call).unwrap();
    let mut first = [0; 3];
    answer.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"one");
    sender.send(()).unwrap();
    assert_eq!(answer.read_all(100).unwrap(), b"two");
}

#[test]
fn request_beyond_in_flight_max_is_refused() {
    let server = serve(ServerLimits::default().in_flight_max(0));
    let call = HttpCall::new(HttpMethod::Get, server.address(), "/x");
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 503);
}

#[test]
fn dropped_body_ends_in_an_error_at_once() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let stream = move |request: ServerRequest| {
        let mut stream = request.respond_stream(200, &[]).unwrap();
        stream.write_chunk(b"one").unwrap();
    };
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    let server = HttpServer::bind(address, ServerLimits::default(), stream, refuse).unwrap();
    let answer =
        HttpClient::open().call(HttpCall::new(HttpMethod::Get, server.address(), "/")).unwrap();
    let error = answer.read_all(100).unwrap_err();
    assert_ne!(error.kind, CallErrorKind::Timeout);
}

#[test]
fn dropped_body_of_http_1_0_ends_in_a_reset() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let stream = move |request: ServerRequest| {
        request.respond_stream(200, &[]).unwrap().write_chunk(b"one").unwrap();
    };
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    let server = HttpServer::bind(address, ServerLimits::default(), stream, refuse).unwrap();
    let mut connection = TcpStream::connect(server.address()).unwrap();
    connection.write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    connection.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let error = connection.read_to_end(&mut Vec::new()).expect_err("the body looks complete");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test]
fn caller_that_stops_reading_ends_its_response() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (sender, ended) = std::sync::mpsc::channel();
    let stream = move |request: ServerRequest| {
        let mut stream = request.respond_stream(200, &[]).unwrap();
        while stream.write_chunk(&[b'a'; 64 * 1024]).is_ok() {}
        sender.send(()).unwrap();
    };
    let limits =
        ServerLimits { write_timeout: Duration::from_millis(200), ..ServerLimits::default() };
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    let server = HttpServer::bind(address, limits, stream, refuse).unwrap();
    let mut silent = TcpStream::connect(server.address()).unwrap();
    silent.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    ended.recv_timeout(Duration::from_secs(60)).expect("the response is still being written");
}

#[test]
fn connections_are_bounded() {
    let server = serve(ServerLimits::default().in_flight_max(1).spare_connections(1));
    let call = || {
        let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hi".to_vec());
        HttpClient::open().call(call).map(|it| it.status())
    };
    let idle = [(); 2].map(|()| {
        let mut idle = TcpStream::connect(server.address()).unwrap();
        idle.write_all(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        assert!(idle.read(&mut [0; 512]).unwrap() > 0);
        idle
    });
    assert_eq!(call().unwrap(), 503);
    drop(idle);
    wait_until(|| call().is_ok_and(|it| it == 200));
}

#[test]
fn dropped_server_releases_its_address() {
    let server = serve(ServerLimits::default());
    let address = server.address();
    let call = HttpCall::new(HttpMethod::Post, address, "/x").body(b"hi".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
    drop(server);
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    wait_until(|| HttpServer::bind(address, ServerLimits::default(), echo, refuse).is_ok());
}

#[test]
fn refusal_behind_a_long_response_blocks_no_other_connection() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (sender, receiver) = std::sync::mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let stream = move |request: ServerRequest| {
        let mut stream = request.respond_stream(200, &[]).unwrap();
        stream.write_chunk(b"one").unwrap();
        receiver.lock().unwrap().recv().unwrap();
        stream.finish().unwrap();
    };
    let refuse = |it: ServerRequest| it.respond(503, &[], Vec::new());
    let limits = ServerLimits::default().in_flight_max(1);
    let server = HttpServer::bind(address, limits, stream, refuse).unwrap();
    let mut pipelining = TcpStream::connect(server.address()).unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    pipelining.write_all(&[request.as_slice(), request].concat()).unwrap();
    let mut buf = [0; 512];
    assert!(pipelining.read(&mut buf).unwrap() > 0);
    thread::sleep(Duration::from_millis(100));
    let call = HttpCall::new(HttpMethod::Get, server.address(), "/");
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 503);
    sender.send(()).unwrap();
}

#[test]
fn slow_body_is_refused_and_releases_its_slot() {
    let limits = ServerLimits::default()
        .read_timeout(Duration::from_millis(300))
        .body_timeout(Duration::from_millis(400))
        .in_flight_max(1);
    let server = serve(limits);
    let mut slow = TcpStream::connect(server.address()).unwrap();
    slow.write_all(b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n").unwrap();
    let trickle = slow.try_clone().unwrap();
    thread::spawn(move || {
        let mut trickle = trickle;
        while trickle.write_all(b"a").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    let mut buf = [0; 512];
    let length = slow.read(&mut buf).unwrap();
    assert!(String::from_utf8_lossy(&buf[..length]).starts_with("HTTP/1.1 413"));
    // The rest of the body is still arriving.
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hi".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
}

/// Guards against a process that ends for lack of memory since many bodies of legal size stop just
/// short of their end and are kept until their deadline.
#[test]
fn bodies_that_stop_short_stay_within_the_byte_budget() {
    let memory_bytes = 4 << 20;
    let server = serve(ServerLimits::default().memory_bytes_max(memory_bytes));
    let head = "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 1048576\r\n\r\n";
    let body = vec![b'x'; (1 << 20) - 1];
    let crowd: Vec<TcpStream> = (0..16)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
            // The server may close the connection, or stop reading.
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
            stream
        })
        .collect();
    for _ in 0..50 {
        assert!(server.budget().used() <= server.budget().bytes_max());
        thread::sleep(Duration::from_millis(10));
    }
    let call = HttpCall::new(HttpMethod::Post, server.address(), "/x").body(b"hi".to_vec());
    assert_eq!(HttpClient::open().call(call).unwrap().status(), 200);
    drop(crowd);
    wait_until(|| server.budget().used() < 1 << 20);
}
