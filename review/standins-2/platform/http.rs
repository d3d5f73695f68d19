//! HTTP/1.1 as the stand-ins speak it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }

    pub fn query(&self, name: &str) -> String {
        let pairs = self.target.split_once('?').map(|it| it.1).unwrap_or_default();
        let found = pairs.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
        found.map(|it| it.1.to_owned()).unwrap_or_default()
    }

    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let (head, rest) = read_head(stream)?;
        let mut lines = head.lines();
        let mut first = lines.next()?.split(' ');
        let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
        let headers = headers(lines);
        let mut this = Self { method, target, headers, body: rest };
        let length = this.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        while this.body.len() < length {
            let mut part = vec![0; length - this.body.len()];
            let count = stream.read(&mut part).ok().filter(|it| *it > 0)?;
            this.body.extend_from_slice(&part[..count]);
        }
        Some(this)
    }
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let header = |it: &str| {
        let (name, value) = it.split_once(':')?;
        Some((name.to_owned(), value.trim().to_owned()))
    };
    lines.filter_map(header).collect()
}

/// Returns the head and what was read beyond it.
fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut data = Vec::new();
    let mut part = [0; 4096];
    loop {
        if let Some(at) = data.windows(4).position(|it| it == b"\r\n\r\n") {
            let rest = data.split_off(at + 4);
            return Some((String::from_utf8_lossy(&data).into_owned(), rest));
        }
        let count = stream.read(&mut part).ok().filter(|it| *it > 0)?;
        data.extend_from_slice(&part[..count]);
    }
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Serves connections until the process ends; a handler returns whether the connection is kept.
pub fn listen(
    address: SocketAddr,
    handle: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap_or_else(|it| quit(&format!("{address}: {it}")));
    let address = listener.local_addr().unwrap_or(address);
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                while let Some(request) = Request::read(&mut stream) {
                    if !handle(&request, &mut stream) {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// What a client saw of one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Zero if no answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body came to the end that its framing tells.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }
}

/// Sends a request on a connection and reads its answer.
pub fn exchange(stream: &mut TcpStream, request: &str, patience: Duration) -> Answer {
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::default();
    }
    let Some((head, mut data)) = read_head(stream) else { return Answer::default() };
    let mut lines = head.lines();
    let status = lines.next().and_then(|it| it.split(' ').nth(1)?.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, headers: headers(lines), ..Answer::default() };
    let length: Option<usize> = answer.header("content-length").and_then(|it| it.parse().ok());
    let is_chunked = answer.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let mut has_ended = false;
    loop {
        let body = match (is_chunked, length) {
            (true, _) => unchunk(&data),
            (false, Some(length)) => (data.clone(), data.len() >= length),
            (false, None) => (data.clone(), has_ended),
        };
        if body.1 || has_ended {
            answer.body = String::from_utf8_lossy(&body.0).into_owned();
            answer.is_whole = body.1;
            return answer;
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(count) if count > 0 => data.extend_from_slice(&part[..count]),
            Ok(_) => has_ended = true,
            // A reset or the end of the client's patience is no end of a body.
            Err(_) => {
                answer.body = String::from_utf8_lossy(&body.0).into_owned();
                return answer;
            }
        }
    }
}

/// Returns the data of chunks, and whether the last one has come.
fn unchunk(data: &[u8]) -> (Vec<u8>, bool) {
    let (mut out, mut rest) = (Vec::new(), data);
    loop {
        let Some(end) = rest.windows(2).position(|it| it == b"\r\n") else { return (out, false) };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16) else {
            return (out, false);
        };
        if size == 0 {
            return (out, rest.len() >= end + 4);
        }
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else {
            out.extend_from_slice(&rest[end + 2..]);
            return (out, false);
        };
        out.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
}

/// Processes that this one has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(110);

fn children() -> MutexGuard<'static, Vec<u32>> {
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn add_child(id: u32) {
    children().push(id);
}

pub fn remove_child(id: u32) {
    children().retain(|it| *it != id);
}

/// Ends the case if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        quit("it takes too long");
    });
}

/// Sends a signal to a process that this one has started.
pub fn send_signal(id: u32, name: &str) {
    let _ = std::process::Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

/// Ends the process and those that it has started because the case could not run.
pub fn quit(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for id in children().iter() {
        send_signal(*id, "KILL");
    }
    std::process::exit(2);
}
