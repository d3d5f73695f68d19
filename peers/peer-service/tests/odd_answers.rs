//! Calls to a service that answers with bytes that are no answer.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::thread;

use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::RunOutcome;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;
use peer_service::ServiceClient;
use peer_service::ServiceError;

/// Calls a service that writes a text and closes the connection.
fn call_answered_with(text: &str) -> Result<ServiceAnswer, ServiceError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let text = text.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(text.as_bytes());
    });
    let call = ServiceCall {
        method: HttpMethod::Post,
        path: "/claim".to_owned(),
        content_type: None,
        body: b"{}".to_vec(),
        request_id: "r-1".parse().expect("an id"),
        attempt_id: "a-1".parse().expect("an id"),
        customer: "town".parse().expect("an id"),
        idempotency_key: None,
        traceparent: None,
    };
    ServiceClient::open().call(address, &call, HttpTimeouts::default(), || true)
}

/// Guards against a caller of the gateway that gets an answer whose status is none, or one that stops in
/// its head or body.
#[test]
fn odd_answers_are_unknown_outcomes() {
    let rest = "x-attempt-id: a-1\r\nContent-Length: 4\r\n\r\nbody";
    let whole = call_answered_with(&format!("HTTP/1.1 200 OK\r\n{rest}")).expect("an answer");
    assert_eq!((whole.status, whole.body.as_slice()), (200, &b"body"[..]));
    let statuses = ["000 None", "000", "101 Switch", "600 High", "999 End"];
    let mut odd: Vec<String> =
        statuses.iter().map(|it| format!("HTTP/1.1 {it}\r\n{rest}")).collect();
    let answer = format!("HTTP/1.1 200 OK\r\n{rest}");
    odd.extend((0..answer.len()).map(|length| answer[..length].to_owned()));
    for text in odd {
        let error = call_answered_with(&text).expect_err(&text);
        assert_eq!(error.outcome, RunOutcome::Unknown, "{text}");
    }
}
