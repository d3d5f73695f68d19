//! Malformed and oversized input is refused with its result code, and the gateway keeps serving.

use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::RawAnswer;
use mangocross_tests::RawConnection;
use mangocross_types::ResultCode;

const HEADERS: &str = "x-customer: town\r\nx-request-kind: draft\r\n";

fn draft(max_tokens: u32) -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", max_tokens, true)
}

fn serving() -> Cluster {
    let cluster = ClusterBuilder::new(1, &[1]).start();
    let line = "start group letters-1 model letters version v1 members 1";
    cluster.start_group(line, 0, &draft(1));
    cluster
}

fn body(model: &str, max_tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","stream":{stream},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"a"}}]}}"#
    )
}

fn chat(headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn exchange(cluster: &Cluster, request: &[u8]) -> RawAnswer {
    let mut connection = RawConnection::open(cluster.gateway(0));
    connection.send(request);
    connection.answer().expect("an answer")
}

fn assert_refused(answer: &RawAnswer, code: ResultCode, what: &str) {
    assert_eq!(answer.status, code.http_status(), "{what}: {answer:?}");
    let header = format!("x-result-code: {}", code.number());
    assert!(answer.head.contains(&header), "{what}: {answer:?}");
    assert!(answer.head.contains("x-run-outcome: not_run"), "{what}: {answer:?}");
}

#[test]
fn malformed_requests_are_refused_as_not_run() {
    let cluster = serving();
    let good = body("letters", 4, false);
    let with = |extra: &str| format!("{HEADERS}{extra}\r\n");
    let cases: Vec<(&str, Vec<u8>, ResultCode)> = vec![
        ("bad JSON", chat(HEADERS, "{\"model\""), ResultCode::MalformedRequest),
        ("empty body", chat(HEADERS, ""), ResultCode::MalformedRequest),
        ("other model", chat(HEADERS, &body("drills", 4, false)), ResultCode::MalformedRequest),
        ("no tokens", chat(HEADERS, &body("letters", 0, false)), ResultCode::MalformedRequest),
        (
            "many tokens",
            chat(HEADERS, &body("letters", 1 << 31, false)),
            ResultCode::MalformedRequest,
        ),
        (
            "too many tokens",
            chat(HEADERS, &body("letters", 1 << 40, false)),
            ResultCode::MalformedRequest,
        ),
        ("no customer", chat("x-request-kind: draft\r\n", &good), ResultCode::HeaderInvalid),
        ("no kind", chat("x-customer: town\r\n", &good), ResultCode::HeaderInvalid),
        ("bad deadline", chat(&with("x-deadline-ms: soon"), &good), ResultCode::HeaderInvalid),
        ("negative deadline", chat(&with("x-deadline-ms: -1"), &good), ResultCode::HeaderInvalid),
        ("bad priority", chat(&with("x-priority: 300"), &good), ResultCode::HeaderInvalid),
        (
            "long key",
            chat(&with(&format!("idempotency-key: {}", "k".repeat(300))), &good),
            ResultCode::KeyInvalid,
        ),
        (
            "large header",
            chat(&with(&format!("x-large: {}", "a".repeat(100_000))), &good),
            ResultCode::HeaderTooLarge,
        ),
        (
            "unknown customer",
            chat("x-customer: x\r\nx-request-kind: draft\r\n", &good),
            ResultCode::UnknownCustomer,
        ),
        (
            "unknown kind",
            chat("x-customer: town\r\nx-request-kind: x\r\n", &good),
            ResultCode::UnknownKind,
        ),
        (
            "service kind",
            chat("x-customer: town\r\nx-request-kind: status\r\n", &good),
            ResultCode::UnknownRoute,
        ),
        (
            "unknown path",
            b"GET /v2/x HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            ResultCode::UnknownRoute,
        ),
        (
            "unknown method",
            b"PATCH /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n".to_vec(),
            ResultCode::UnknownRoute,
        ),
    ];
    for (what, request, code) in cases {
        assert_refused(&exchange(&cluster, &request), code, what);
    }
    assert!(cluster.send_request(0, &draft(4)).is_complete());
}

#[test]
fn large_body_is_refused_before_it_is_sent() {
    let cluster = serving();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{HEADERS}content-length: 99999999999\r\n\r\n"
    );
    assert_refused(&exchange(&cluster, head.as_bytes()), ResultCode::BodyTooLarge, "length");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n"
    );
    let mut connection = RawConnection::open(cluster.gateway(0));
    connection.send(head.as_bytes());
    let chunk = [b"10000\r\n".as_slice(), &[b'a'; 0x10000], b"\r\n"].concat();
    for _ in 0..20 {
        connection.send(&chunk);
    }
    assert_refused(&connection.answer().unwrap(), ResultCode::BodyTooLarge, "chunked");
    assert!(cluster.send_request(0, &draft(4)).is_complete());
}

#[test]
fn unusual_but_valid_requests_are_served() {
    let cluster = serving();
    let (first, second) = (body("letters", 3, false), body("letters", 5, false));
    let half = first.len() / 2;
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        half,
        &first[..half],
        first.len() - half,
        &first[half..],
    );
    let answer = exchange(&cluster, chunked.as_bytes());
    assert!(answer.body.contains("\"completion_tokens\":3"), "{answer:?}");
    let mut connection = RawConnection::open(cluster.gateway(0));
    connection.send(&[chat(HEADERS, &first), chat(HEADERS, &second)].concat());
    let answers = [connection.answer().unwrap(), connection.answer().unwrap()];
    assert!(answers[0].body.contains("\"completion_tokens\":3"), "{answers:?}");
    assert!(answers[1].body.contains("\"completion_tokens\":5"), "{answers:?}");
}

#[test]
fn http_1_0_callers_get_complete_answers() {
    let cluster = serving();
    for extra in ["", "connection: keep-alive\r\n"] {
        for stream in [false, true] {
            let body = body("letters", 3, stream);
            let request = format!(
                "POST /v1/chat/completions HTTP/1.0\r\n{HEADERS}{extra}content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut connection = RawConnection::open(cluster.gateway(0));
            connection.send(request.as_bytes());
            if !stream {
                let answer = connection.answer().unwrap();
                assert!(answer.body.contains("\"completion_tokens\":3"), "{answer:?}");
                continue;
            }
            let text = connection.read_to_end().expect("the connection is closed after a stream");
            assert!(text.ends_with("data: [DONE]\n\n"), "{extra}: {text}");
        }
    }
}

#[test]
fn large_header_is_refused() {
    let cluster = serving();
    let mut connection = RawConnection::open(cluster.gateway(0));
    connection.send(b"GET /health/live HTTP/1.1\r\nhost: x\r\nx-large: ");
    let piece = [b'a'; 64 * 1024];
    let sent = (0..1024).take_while(|_| connection.send(&piece)).count();
    assert!(sent < 1024, "64 MB of one header were accepted");
}
