//! Random disruptions for a while, with a judge of its own. Not a case: it looks for faults.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::CLAIM;
use crate::Call;
use crate::DRAFT;
use crate::LETTER;
use crate::Site;
use crate::front::Front;
use crate::http::Answer;
use crate::http::Request;
use crate::http::answer;
use crate::http::exchange;
use crate::link::Cut;
use crate::server::EVENTS;
use crate::server::Server;
use crate::server::event;

pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % end
    }
}

fn fault(server: &Server, request: &Request, stream: &mut TcpStream, dice: &mut Dice) -> Option<bool> {
    let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
    let signed = server.signed_headers(request);
    let is_stream = server.id.starts_with("i-llm");
    match dice.below(100) {
        0..3 => Some(answer(stream, 503, &format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n"), "")),
        3..5 => {
            server.begin(request);
            let _ = stream.shutdown(Shutdown::Both);
            Some(false)
        }
        5..8 => {
            server.begin(request);
            thread::sleep(Duration::from_millis(200 + dice.below(1800)));
            if is_stream {
                return Some(answer(stream, 500, &signed, "late failure"));
            }
            Some(answer(stream, 200, &format!("{signed}Content-Type: text/plain\r\n"), &format!("the answer to {attempt}")))
        }
        8..10 => {
            server.begin(request);
            Some(answer(stream, 500, &signed, "failed"))
        }
        10..13 if !is_stream => {
            server.begin(request);
            let text = format!("the answer to {attempt}");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{signed}\r\n{text}", text.len());
            let _ = stream.write_all(head.as_bytes());
            if dice.below(2) == 0 {
                thread::sleep(Duration::from_millis(dice.below(60)));
            }
            Some(stream.write_all(head.as_bytes()).is_ok())
        }
        13..15 if !is_stream => {
            server.begin(request);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n{signed}\r\nthe ans");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
            Some(false)
        }
        10..18 if is_stream => {
            server.begin(request);
            let after: u64 = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{signed}\r\n");
            let _ = stream.write_all(head.as_bytes());
            let stop = after + dice.below(EVENTS);
            for id in after + 1..=EVENTS.min(stop) {
                thread::sleep(Duration::from_millis(20));
                let event = event("x", id);
                let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            }
            if dice.below(2) == 0 {
                let _ = stream.write_all(b"7\r\nid: 9\nd\r\n");
            }
            if dice.below(3) == 0 {
                thread::sleep(Duration::from_millis(2500));
            }
            let _ = stream.shutdown(Shutdown::Both);
            Some(false)
        }
        _ => None,
    }
}

type Seen = Arc<Mutex<Vec<(String, &'static str, Answer)>>>;

pub fn play(record: &str) -> i32 {
    let seed: u64 = std::env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    let cut = Cut::default();
    let mut site = Site::start_linked(record, 3, Some(&cut));
    for (at, server) in site.desk.iter().chain(&site.engines).enumerate() {
        let dice = Mutex::new(Dice::new(seed * 100 + at as u64));
        server.set_fault(Some(move |server: &Server, request: &Request, stream: &mut TcpStream| {
            let mut drawn = Dice::new(dice.lock().unwrap_or_else(PoisonError::into_inner).below(u64::MAX >> 12));
            fault(server, request, stream, &mut drawn)
        }));
    }
    let end = Instant::now() + Duration::from_secs(80);
    let seen: Seen = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let addresses: Vec<_> = site.fronts.iter().map(|it| it.address).collect();
    let mut clients = Vec::new();
    for client in 0..24_u64 {
        let (seen, is_over, next) = (Arc::clone(&seen), Arc::clone(&is_over), Arc::clone(&next));
        let (addresses, record) = (addresses.clone(), site.record.clone());
        clients.push(thread::spawn(move || {
            let mut dice = Dice::new(seed * 1000 + client);
            let mut kept: Option<TcpStream> = None;
            while !is_over.load(Ordering::SeqCst) {
                let (name, call) = match dice.below(10) {
                    0..4 => ("claim", CLAIM),
                    4..6 => ("status", Call { method: "GET", path: "/status/1", body: "", ..CLAIM }),
                    6..8 => ("draft", DRAFT),
                    _ => ("letter", LETTER),
                };
                let attempt = format!("{name}_{}_", next.fetch_add(1, Ordering::SeqCst));
                let address = addresses[dice.below(3) as usize];
                let connect = || TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
                let Some(mut stream) = kept.take().or_else(connect) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                record.add(&format!("sent {attempt} to {}", stream.peer_addr().map_or(String::new(), |it| it.to_string())));
                let call = Call { attempt: &attempt, ..call };
                let patience = if dice.below(20) == 0 { 100 + dice.below(400) } else { call.deadline_ms + 300 };
                let answer = exchange(&mut stream, &call.text(), Duration::from_millis(patience));
                let closes = answer.header("connection").is_some_and(|it| it.contains("close"));
                if answer.is_whole && !closes && dice.below(10) > 0 {
                    kept = Some(stream);
                }
                record.add(&format!("answered {attempt}: {} whole {} {}", answer.status, answer.is_whole, answer.body.chars().take(40).collect::<String>().replace('\n', " ")));
                seen.lock().unwrap_or_else(PoisonError::into_inner).push((attempt, name, answer));
                thread::sleep(Duration::from_millis(dice.below(60)));
            }
        }));
    }
    let mut dice = Dice::new(seed);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(500 + dice.below(2500)));
        let at = dice.below(3) as usize;
        let Site { fronts, record, store, .. } = &mut site;
        let front: &mut Front = &mut fronts[at];
        let pause = Duration::from_millis(300 + dice.below(3500));
        match dice.below(6) {
            0 => {
                record.add(&format!("{} stopped for {pause:?}", front.name));
                front.signal("STOP");
                thread::sleep(pause);
                front.signal("CONT");
            }
            1 => {
                record.add(&format!("{} killed", front.name));
                front.signal("KILL");
                front.restart();
            }
            2 => {
                record.add(&format!("{} terminated", front.name));
                front.signal("TERM");
                front.restart();
            }
            3 => {
                record.add(&format!("the first entry VM cut for {pause:?}"));
                cut.set(true);
                thread::sleep(pause);
                cut.set(false);
            }
            4 => {
                record.add(&format!("store silent for {pause:?}"));
                store.set_silent(true);
                thread::sleep(pause);
                store.set_silent(false);
            }
            _ => front.signal("HUP"),
        }
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(Duration::from_secs(3));
    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let mut broken = Vec::new();
    let mut statuses = std::collections::BTreeMap::new();
    let runs = site.record.runs();
    for (attempt, name, answer) in seen.iter() {
        *statuses.entry((*name, answer.status, answer.is_whole)).or_insert(0) += 1;
        let runs = runs.get(attempt).copied().unwrap_or(0);
        let is_once = matches!(*name, "claim" | "letter");
        if is_once && runs > 1 {
            broken.push(format!("TWICE {attempt} {runs}"));
        }
        if is_once && [408, 421, 429, 503].contains(&answer.status) && runs > 0 {
            broken.push(format!("REFUSED {attempt} {} {runs}", answer.status));
        }
        if answer.status == 200 && answer.is_whole {
            let is_right = match *name {
                "claim" | "status" => answer.body == format!("the answer to {attempt}"),
                _ => {
                    let ids: Vec<u64> =
                        answer.body.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok()).collect();
                    ids == (1..=EVENTS).collect::<Vec<u64>>() && answer.body.ends_with("\n\n")
                }
            };
            if !is_right || answer.header("Server-Seal").is_none() || answer.header("Attempt-Id") != Some(attempt) {
                broken.push(format!("MIXED {attempt} {:?}", answer.body));
            }
        }
        if answer.status != 0 && answer.header("Attempt-Id") != Some(attempt) {
            broken.push(format!("MIXED {attempt} answered as {:?}", answer.header("Attempt-Id")));
        }
    }
    println!("{statuses:?}");
    broken.iter().take(10).for_each(|it| println!("{it}"));
    site.judge("all", &broken)
}
