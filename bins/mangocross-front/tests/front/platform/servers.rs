//! Backend servers: engines that form groups, and a plain service.

mod cold;
mod copies;
mod crashes;
mod groups;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

pub(crate) use self::copies::CopyPart;
pub(crate) use self::copies::CopyTime;
pub(crate) use self::copies::LateCopy;
use self::copies::Sent;
use super::AnswerEnd;
use super::OddAnswer;
use super::Request;
use super::Store;
use super::answer;
use super::answer_without_length;
use super::lock;
use super::machine::Machine;

/// Time from the start of a run, or from the head of a stream, until it crashes the server.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Start time that a server reports in its entry; each restart adds one.
const FIRST_START_UNIX_MS: u64 = 1000;
/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 5;

/// How the next streams of a server go wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// They don't.
    #[default]
    None,
    /// After two events come comments only, one every 200 ms.
    OnlyComments,
    /// After two events comes one that never ends.
    EndlessEvent,
    /// The answer is a failure whose body never ends.
    EndlessFailure,
    /// The connection ends after the head of the answer, before any event.
    HeadOnly,
    /// Events come without a pause until the connection ends.
    #[allow(dead_code, reason = "used by tests/clients")]
    EndlessEvents,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) attempt: String,
    pub(crate) at: Instant,
    /// Life of the server, as its answers' signature names it.
    pub(crate) life: String,
    /// Time for which the server wants nothing, if it refused the request with one.
    pub(crate) pause: Option<Duration>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    stream_fault: StreamFault,
    answer_end: AnswerEnd,
    /// Number of bytes that are added to the answers of a plain service.
    answer_padding: usize,
    /// Whether all answers say that the server is leaving.
    is_leaving: bool,
    /// Refusals of streams that are to be resumed, by attempt, if the first one of each is refused.
    resumption_refusals: Option<BTreeMap<String, String>>,
    /// What first attempts that run are answered with; the connection is closed after it.
    odd_answer: Option<OddAnswer>,
    /// What a stream is answered with that is to be resumed; the connection is closed after it.
    resumption_answer: Option<OddAnswer>,
    /// Requests a second that all answers name as the server's limit.
    named_limit: Option<String>,
    /// For how long and how the server says that it is cold.
    cold: cold::Coldness,
    /// Availability zone; `zone-a` if it is empty.
    zone: String,
    /// `Retry-After` with which requests are refused.
    retry_after: Option<String>,
    /// Whether orders and questions for reports are turned away like requests.
    turns_planner_away: bool,
    /// Requests that arrived, in order, also those that were refused.
    arrivals: Vec<Arrival>,
    orders: u64,
    /// Questions for reports that arrived.
    reports: usize,
    /// Orders that were carried out, with the times.
    carried_out: Vec<(Instant, Value)>,
    group: Value,
    model: Option<String>,
    /// Attempts that ran, in order.
    ran: Vec<String>,
    /// Number of next streams that break off in the middle of their third event.
    streams_to_break: u32,
    /// Whether requests run without being answered.
    withholds_answers: bool,
    /// Whether requests are refused without being run.
    is_refusing: bool,
    /// Whether answers lack the server's signature.
    is_unsigned: bool,
    /// Shared part of prompts that crashes the server.
    crashing_part: Option<String>,
    /// Path and body of requests that crash the server.
    crashing_request: Option<(String, String)>,
    /// Time from a crash until the server is back.
    restart_time: Option<Duration>,
    /// Requests that reached the server and crash it.
    crashing_requests: usize,
    crashes: u32,
    /// Restarts of the server; its entry shows them as a later start time.
    starts: u64,
    /// Members of the group, the head first.
    members: Vec<Value>,
    /// Members of the group with their entries at the time when it was opened.
    opened_with: Vec<(String, Value)>,
    /// Time between two events.
    event_pause: Duration,
    /// Longest time that a stream of an attempt was without an event, by attempt.
    silences: BTreeMap<String, Duration>,
    /// Event after which the server falls silent, and for how long.
    pub(super) silence_after: Option<(u64, Duration)>,
    /// Until when nothing is answered, and no stream goes on.
    pub(super) silent_until: Option<Instant>,
    /// Time before the head of a stream is sent.
    pub(super) head_pause: Duration,
    /// Second copies of earlier answers on the same connection.
    late_copy: Option<LateCopy>,
    sent: Sent,
    /// Violated guarantees that the server observed.
    violations: Vec<String>,
}

/// A backend server that keeps its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    id: String,
    service: String,
    store: Store,
    /// Address in the server's entry, at which entry VMs reach it.
    advertised: SocketAddr,
    pub(super) state: Arc<Mutex<State>>,
    pub(super) machine: Arc<Machine>,
}

impl Server {
    pub(crate) fn spawn(store: &Store, id: &str, service: &str) -> Self {
        Self::spawn_behind(store, id, service, |address| address)
    }

    /// Starts a server that publishes another address than its own, such as that of a relay.
    pub(crate) fn spawn_behind(
        store: &Store,
        id: &str,
        service: &str,
        advertise: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        Self::spawn_in_state(store, id, service, advertise, State::default())
    }

    fn spawn_in_state(
        store: &Store,
        id: &str,
        service: &str,
        advertise: impl FnOnce(SocketAddr) -> SocketAddr,
        state: State,
    ) -> Self {
        let state = Arc::new(Mutex::new(state));
        let server_cell = Arc::new(Mutex::new(None::<Self>));
        let served_cell = Arc::clone(&server_cell);
        let machine = Arc::new(Machine::default());
        let address = machine.listen(move |request, stream| {
            let server = lock(&served_cell).clone();
            if let Some(server) = server {
                server.serve(&request, stream);
            }
        });
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            store: store.clone(),
            advertised: advertise(address),
            state,
            machine,
        };
        *lock(&server_cell) = Some(server.clone());
        server.publish();
        server
    }

    /// Returns the address in the server's entry.
    pub(crate) fn address(&self) -> SocketAddr {
        self.advertised
    }

    /// Returns the attempts that the server ran, in order.
    pub(crate) fn ran(&self) -> Vec<String> {
        lock(&self.state).ran.clone()
    }

    /// Returns the attempts that arrived at the server, also those that it refused.
    pub(crate) fn arrived(&self) -> Vec<String> {
        self.arrivals().into_iter().map(|it| it.attempt).collect()
    }

    /// Returns the requests that arrived at the server, also those that it refused.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }

    /// Sets whether all answers say that the server is leaving; its entry does not.
    pub(crate) fn set_leaving(&self, is_leaving: bool) {
        lock(&self.state).is_leaving = is_leaving;
    }

    /// Refuses the first resumption of each stream; on a connection that was in use before, the next
    /// one gets the same refusal once more while it runs.
    pub(crate) fn repeat_refusals_of_resumptions(&self) {
        lock(&self.state).resumption_refusals = Some(BTreeMap::new());
    }

    /// Answers requests that run, but not resumptions, with this, and closes the connection.
    pub(crate) fn set_answer(&self, answer: Option<OddAnswer>) {
        lock(&self.state).odd_answer = answer;
    }

    /// Answers streams that are to be resumed with this, and closes the connection.
    pub(crate) fn set_resumption_answer(&self, answer: OddAnswer) {
        lock(&self.state).resumption_answer = Some(answer);
    }

    /// Sets the requests a second that all answers name as the server's limit, if they name one.
    pub(crate) fn set_named_limit(&self, value: Option<&str>) {
        lock(&self.state).named_limit = value.map(str::to_owned);
    }

    /// Sets the `Retry-After` with which requests are refused, if they are.
    pub(crate) fn set_retry_after(&self, value: Option<&str>) {
        lock(&self.state).retry_after = value.map(str::to_owned);
    }

    /// Sets whether orders and questions for reports are turned away like requests.
    pub(crate) fn set_turning_planner_away(&self, turns_away: bool) {
        lock(&self.state).turns_planner_away = turns_away;
    }

    /// Returns the number of questions for reports that reached the server.
    pub(crate) fn reports(&self) -> usize {
        lock(&self.state).reports
    }

    /// Sets the number of bytes that are added to the answers of a plain service.
    #[allow(dead_code, reason = "used by tests/clients")]
    pub(crate) fn set_answer_padding(&self, bytes: usize) {
        lock(&self.state).answer_padding = bytes;
    }

    /// Sets how answers to requests end.
    pub(crate) fn set_answer_end(&self, end: AnswerEnd) {
        lock(&self.state).answer_end = end;
    }

    /// Returns the name of the server's group, if it is a member of one.
    pub(crate) fn group(&self) -> Option<String> {
        lock(&self.state).group["name"].as_str().map(str::to_owned)
    }

    /// Writes an entry of a server that has ended and whose address this server has by now.
    pub(crate) fn publish_former(&self, id: &str) {
        let status = self.status(&lock(&self.state));
        self.store.put(&format!("servers/{id}"), &status);
    }

    /// Writes the server's entry again, as it is.
    pub(crate) fn publish_again(&self) {
        self.publish();
    }

    /// Returns whether the server is the head of an open group.
    pub(crate) fn is_open(&self) -> bool {
        lock(&self.state).group["state"] == "open"
    }

    /// Returns name and incarnation of the open group that the server is the head of.
    pub(crate) fn open_group(&self) -> Option<(Value, Value)> {
        let group = &lock(&self.state).group;
        (group["state"] == "open").then(|| (group["name"].clone(), group["epoch"].clone()))
    }

    /// Makes the next `count` streams break off in the middle of an event.
    pub(crate) fn break_streams(&self, count: u32) {
        lock(&self.state).streams_to_break = count;
    }

    /// Sets how streams go wrong.
    pub(crate) fn set_stream_fault(&self, fault: StreamFault) {
        lock(&self.state).stream_fault = fault;
    }

    /// Makes the server run requests without answering them.
    pub(crate) fn withhold_answers(&self) {
        self.set_withholding_answers(true);
    }

    /// Sets whether the server runs requests without answering them.
    pub(crate) fn set_withholding_answers(&self, withholds_answers: bool) {
        lock(&self.state).withholds_answers = withholds_answers;
    }

    /// Sets whether the server refuses requests without running them.
    pub(crate) fn set_refusing(&self, is_refusing: bool) {
        lock(&self.state).is_refusing = is_refusing;
    }

    /// Sets whether answers lack the server's signature.
    pub(crate) fn set_unsigned(&self, is_unsigned: bool) {
        lock(&self.state).is_unsigned = is_unsigned;
    }

    /// Sets the time between two events of a stream.
    pub(crate) fn set_event_pause(&self, pause: Duration) {
        lock(&self.state).event_pause = pause;
    }

    /// Returns the orders that were carried out, in order, with the times.
    pub(crate) fn carried_out(&self) -> Vec<(Instant, Value)> {
        lock(&self.state).carried_out.clone()
    }

    /// Returns the longest time for which a stream of an attempt had no event, at most; on a busy
    /// machine it exceeds the pause that was set.
    pub(crate) fn longest_silence(&self, attempt: &str) -> Duration {
        lock(&self.state).silences.get(attempt).copied().unwrap_or_default()
    }

    /// Returns the incarnation of the group that the server is in.
    pub(crate) fn incarnation(&self) -> Option<u64> {
        lock(&self.state).group["epoch"].as_u64()
    }

    /// Removes the server's entry, as after a crash.
    pub(crate) fn unlist(&self) {
        lock(&self.state).group = Value::Null;
        self.store.remove(&format!("servers/{}", self.id));
    }

    /// Restarts the server: it loses its state and writes its entry again.
    pub(crate) fn restart(&self) {
        let mut state = lock(&self.state);
        state.starts += 1;
        state.orders = 0;
        state.group = Value::Null;
        state.model = None;
        self.publish_state(&state);
    }

    /// Returns the violated guarantees that the server observed.
    pub(crate) fn violations(&self) -> Vec<String> {
        lock(&self.state).violations.clone()
    }

    fn status(&self, state: &State) -> Value {
        let models: Vec<Value> =
            state.model.iter().map(|it| json!({"name": it, "version": 1})).collect();
        let zone = if state.zone.is_empty() { "zone-a" } else { &state.zone };
        let mut status = json!({"service": self.service, "address": self.advertised, "zone": zone, "slots": 4,
            "state": "ready", "seq": state.orders, "born": FIRST_START_UNIX_MS + state.starts,
            "models": models,
            "domain": if self.service == "models" { json!("d0") } else { Value::Null },
            "staged": state.model.iter().collect::<Vec<_>>(), "group": state.group});
        state.cold.add_to(&mut status);
        status
    }

    fn publish(&self) {
        self.publish_state(&lock(&self.state));
    }

    /// Writes the server's entry. The caller holds the lock on the state, so no report or answer
    /// can show the new state earlier.
    fn publish_state(&self, state: &State) {
        self.store.put(&format!("servers/{}", self.id), &self.status(state));
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) {
        self.wait_while_silent();
        let is_report = request.target == "/-/report";
        lock(&self.state).reports += usize::from(is_report);
        match request.target.as_str() {
            "/-/report" | "/-/order" if lock(&self.state).turns_planner_away => {
                answer(stream, 503, &format!("{}{}", self.notice(), self.retry_after()), "");
            }
            "/-/report" => {
                let status = self.status(&lock(&self.state));
                self.send(stream, 200, &self.notice(), &status.to_string());
            }
            "/-/order" => self.order(request, stream),
            _ => self.run(request, stream),
        }
    }

    /// Returns the name of the server's present life.
    fn life(&self, state: &State) -> String {
        format!("{}.{}", self.id, state.starts)
    }

    /// Returns the headers by which all answers say that the server is leaving, and name its limit.
    fn notice(&self) -> String {
        let state = lock(&self.state);
        let leaving = if state.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        let limit = state.named_limit.iter().map(|it| format!("Server-Limit: {it}\r\n"));
        limit.chain(state.cold.header()).fold(leaving.to_owned(), |headers, it| headers + &it)
    }

    /// Returns the header by which refusals say for how long the server wants nothing.
    fn retry_after(&self) -> String {
        let value = lock(&self.state).retry_after.clone();
        value.map_or_else(String::new, |it| format!("Retry-After: {it}\r\n"))
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let crashes = self.is_crashed_by(request);
        lock(&self.state).crashing_requests += usize::from(crashes);
        let is_closed = |it: &State| self.service == "models" && it.group["state"] != "open";
        let notice = self.notice();
        if request.header("Expect-Instance") != Some(&self.id) {
            answer(stream, 421, &format!("Attempt-Id: {attempt}\r\n{notice}"), "");
            return;
        }
        let is_resumption = request.header("Last-Event-Id").is_some();
        if is_resumption && self.refuses_resumption(&attempt, stream) {
            return;
        }
        let retry_after = self.retry_after();
        let refuses = {
            let mut state = lock(&self.state);
            let pause = state.retry_after.as_ref().and_then(|it| it.parse().ok());
            let arrival = Arrival {
                attempt: attempt.clone(),
                at: Instant::now(),
                life: self.life(&state),
                pause: pause.and_then(|it| Duration::try_from_secs_f64(it).ok()),
            };
            state.arrivals.push(arrival);
            state.is_refusing || is_closed(&state) || !retry_after.is_empty()
        };
        if refuses || (self.service == "models" && !self.wait_for_members()) {
            let headers =
                format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n{notice}{retry_after}");
            self.send(stream, 503, &headers, "turned away");
            return;
        }
        let (breaks, withholds_answers) = {
            let mut state = lock(&self.state);
            state.ran.push(attempt.clone());
            let breaks = state.streams_to_break > 0;
            state.streams_to_break = state.streams_to_break.saturating_sub(1);
            (breaks, state.withholds_answers)
        };
        if withholds_answers {
            while lock(&self.state).withholds_answers {
                thread::sleep(Duration::from_millis(50));
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        let odd_answer = lock(&self.state).odd_answer;
        if let Some(it) = odd_answer.filter(|_| !is_resumption) {
            let _ = stream.write_all(it.text(&attempt).as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        assert_eq!(request.header("Tenant"), Some("t1"));
        assert_eq!(request.header("Authorization"), None);
        let life = self.life(&lock(&self.state));
        let signature = match lock(&self.state).is_unsigned {
            true => String::new(),
            false => format!("Server-Seal: {life}\r\n"),
        };
        let headers = format!("Attempt-Id: {attempt}\r\n{signature}{notice}");
        let end = lock(&self.state).answer_end;
        if self.service != "models" && crashes {
            thread::sleep(CRASH_DELAY);
            return self.crash();
        }
        if self.service != "models" {
            match end {
                AnswerEnd::Length => {
                    let mut body = self.plain_body(&attempt);
                    body.extend(std::iter::repeat_n('x', lock(&self.state).answer_padding));
                    self.send(stream, self.plain_status(), &headers, &body);
                }
                _ => answer_without_length(stream, &headers, &["the whole", " body"], end),
            }
            return;
        }
        let resumption = lock(&self.state).resumption_answer;
        if let Some(it) = resumption.filter(|_| is_resumption) {
            let _ = stream.write_all(it.text(&attempt).as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        let after = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        if end != AnswerEnd::Length {
            let events: Vec<String> =
                (after + 1..=EVENTS).map(|id| format!("id: {id}\ndata: token\n\n")).collect();
            let events: Vec<&str> = events.iter().map(String::as_str).collect();
            return answer_without_length(stream, &headers, &events, end);
        }
        let fault = lock(&self.state).stream_fault;
        let status = if fault == StreamFault::EndlessFailure { 500 } else { 200 };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{headers}\r\n"
        );
        let head_pause = lock(&self.state).head_pause;
        thread::sleep(head_pause);
        let mut silent_since = Instant::now();
        self.write_copy(stream, CopyTime::BeforeOwn);
        let _ = stream.write_all(head.as_bytes());
        if crashes {
            thread::sleep(CRASH_DELAY);
            return self.crash();
        }
        if status == 500 {
            return write_until_closed(stream, &"x".repeat(10_000), Duration::ZERO);
        }
        if fault == StreamFault::HeadOnly {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        for id in after + 1..=EVENTS {
            match fault {
                StreamFault::OnlyComments if id == 3 => {
                    return write_until_closed(stream, ": ping\n\n", Duration::from_millis(200));
                }
                StreamFault::EndlessEvent if id == 3 => {
                    return write_until_closed(stream, "data: x\n", Duration::from_millis(1));
                }
                StreamFault::EndlessEvents if id == 3 => {
                    return write_endless_events(stream);
                }
                _ => {}
            }
            // The lock must not be held meanwhile: reports would wait for it.
            let pause = lock(&self.state).event_pause;
            thread::sleep(pause);
            self.wait_while_silent();
            if self.machine.is_down() {
                return;
            }
            if !self.wait_for_members() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            if id == 3 {
                self.write_copy(stream, CopyTime::InsideOwn);
            }
            let event = format!("id: {id}\ndata: token\n\n");
            let event = if breaks && id == 3 { &event[..6] } else { &event };
            let begun_at = Instant::now();
            let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            let silence = silent_since.elapsed();
            silent_since = begun_at;
            let mut state = lock(&self.state);
            let longest = state.silences.entry(attempt.clone()).or_default();
            *longest = silence.max(*longest);
            if let Some((_, duration)) = state.silence_after.take_if(|it| it.0 == id) {
                state.silent_until = Some(Instant::now() + duration);
            }
            drop(state);
            if breaks && id == 3 {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
        let _ = stream.write_all(b"0\r\n\r\n");
        self.note_sent(stream, format!("{head}0\r\n\r\n"));
    }
}

/// Writes chunks until the other side closes the connection.
fn write_until_closed(stream: &mut TcpStream, text: &str, pause: Duration) {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    while stream.write_all(chunk.as_bytes()).is_ok() {
        thread::sleep(pause);
    }
}

/// Writes events of 8 KiB until the connection ends.
fn write_endless_events(stream: &mut TcpStream) {
    for id in 3_u64.. {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(8 << 10));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
}
