//! Forwards the events of a stream, which may move to other servers.

use std::cell::Cell;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use mangocross_serving::CompleteEvents;
use mangocross_serving::Moment;
use mangocross_types::ResultCode;
use mangocross_types::VmId;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;

use super::search::Answer;
use super::source::Received;
use super::source::Source;
use super::successor::media_type;
use crate::answer_body::AnswerBody;
use crate::answer_body::Chunk;
use crate::body_reader::NO_MEMORY_REASON;
use crate::body_reader::hold;
use crate::dispatch::Call;
use crate::silence::wait_for_silence;

/// Chunks buffered for a caller that reads slowly.
const QUEUED_CHUNKS_MAX: usize = 8;
/// Time without an event after which another server is asked to continue a stream, as a share of
/// the time after which its caller abandons it; a stall of its whole group is usually detected
/// earlier.
pub(super) const SILENCE_SHARE: f64 = 0.75;
/// Minimum silence of a stream before a stall of its group concerns it.
pub(super) const STALL_SILENCE_MIN: Duration = Duration::from_millis(350);

/// Time after a failed search before another server is asked again to continue a silent stream.
const SEARCH_PAUSE: Duration = Duration::from_millis(400);

/// Starts the task that forwards events, and returns the head of the answer; `runs` is the number
/// of attempts that may have run.
pub(super) fn spawn(call: Call, (mut source, first): Answer, runs: u32) -> Response<AnswerBody> {
    let status = StatusCode::OK;
    let headers = std::mem::take(&mut source.headers);
    let media_type = media_type(&headers);
    call.record.answer_started(status);
    let (chunks, received) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let last_id = Cell::new(call.caller_head.last_event_id);
    let runs = Cell::new(runs);
    let last_event_at = Cell::new(Instant::now());
    let task = tokio::task::spawn_local(async move {
        let forwarder = Forwarder { call, media_type, chunks, runs, last_id, last_event_at };
        forwarder.run((source, first)).await;
    });
    let mut response = Response::new(AnswerBody::chunks(received, task.abort_handle()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Why forwarding ended.
enum End {
    /// The answer is complete.
    Complete,
    /// The server failed, and no other continues the stream.
    Broken(&'static str),
    /// The caller's deadline has passed.
    TimeOver,
    /// The caller disconnected.
    CallerLeft,
}

/// Why forwarding from one server stopped.
enum Stop {
    /// The answer has ended.
    End(End),
    /// The server or the connection to it failed.
    Broken(&'static str),
    /// The server is silent, but its answer may still go on.
    Silent(&'static str),
}

/// The time since the last event of a stream.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Instant,
    /// The same moment on the clock of suspicions.
    since_boot: Moment,
}

impl Silence {
    fn begin(call: &Call) -> Self {
        Self { since: Instant::now(), since_boot: call.state.now() }
    }
}

/// How a stream goes on.
enum Next {
    /// From this server.
    From(Source),
    /// From a silent server, since no other continues the stream.
    Silent(Source),
    /// Not at all.
    End(End),
}

/// Forwards one stream.
pub(super) struct Forwarder {
    pub(super) call: Call,
    /// Type of the answer that the caller has received the head of.
    pub(super) media_type: Option<String>,
    chunks: Sender<Chunk>,
    /// Attempts that may have run.
    pub(super) runs: Cell<u32>,
    /// Last complete event that was forwarded.
    pub(super) last_id: Cell<Option<u64>>,
    pub(super) last_event_at: Cell<Instant>,
}

impl Forwarder {
    async fn run(&self, begun: Answer) {
        let mut search_from = Instant::now();
        let mut next = self.follow(begun).await;
        let end = loop {
            let mut source = match next {
                Next::From(it) => it,
                Next::Silent(it) => {
                    search_from = Instant::now() + SEARCH_PAUSE;
                    it
                }
                Next::End(end) => break end,
            };
            let stop = self.forward(&mut source, search_from).await;
            next = match stop {
                Stop::End(End::Complete) => break self.complete(source).await,
                Stop::End(end) => break end,
                Stop::Broken(reason) => {
                    self.record_break(&source, reason).await;
                    self.move_on(source, Some(reason)).await
                }
                Stop::Silent(reason) => {
                    self.call.record.log_step("stream silent", &source.vm, reason);
                    self.move_on(source, None).await
                }
            };
        };
        match end {
            End::Complete => {
                self.call.record.answer_completed();
                let _ = self.chunks.send(Chunk::End).await;
            }
            End::Broken(reason) => {
                self.call.record.answer_failed(ResultCode::BackendBroken, reason);
            }
            End::TimeOver => {
                self.call.record.answer_failed(ResultCode::DeadlineExceeded, "time is over");
            }
            End::CallerLeft => {}
        }
    }

    /// Forwards events from a server until it ends, fails or, after `search_from` and if the stream
    /// may move to another server, is silent.
    async fn forward(&self, source: &mut Source, search_from: Instant) -> Stop {
        let call = &self.call;
        let vm = source.vm.clone();
        let silence_max = call.route.event_gap_max.mul_f64(SILENCE_SHARE);
        let mut silence = Silence::begin(call);
        loop {
            let may_move = self.may_be_continued();
            let silent_until = (silence.since + silence_max).max(search_from);
            let stalled_from = (silence.since + STALL_SILENCE_MIN).max(search_from);
            let received = tokio::select! {
                it = source.receive() => it,
                () = wait_until_stalled(call, &vm, silence.since_boot, stalled_from), if may_move => {
                    return Stop::Silent("group is stalled");
                }
                () = wait_for_silence(silent_until), if may_move => {
                    return Stop::Silent("no event for too long");
                }
                () = tokio::time::sleep_until(call.ends_at) => return Stop::End(End::TimeOver),
                () = self.chunks.closed() => return Stop::End(End::CallerLeft),
            };
            let events = match received {
                Received::Events(it) => it,
                Received::End => return Stop::End(End::Complete),
                Received::Broken(reason) => return Stop::Broken(reason),
            };
            let has_content = events.has_content;
            if let Some(end) = self.deliver(source, events).await {
                return Stop::End(end);
            }
            // The time that the caller took to read does not count as silence of the server.
            if has_content {
                silence = Silence::begin(call);
            }
        }
    }

    /// Continues the stream at another server. A server that has not failed is read meanwhile, and
    /// the first of the two that sends something new is followed.
    async fn move_on(&self, source: Source, broken: Option<&'static str>) -> Next {
        let (mut source, mut broken) = (source, broken);
        let failed = source.vm.clone();
        let successor = self.find_successor(&failed);
        tokio::pin!(successor);
        loop {
            let received = tokio::select! {
                it = &mut successor => match it {
                    Ok(answer) => return self.follow(answer).await,
                    Err(reason) => {
                        self.call.record.log_step("stream not resumed", &failed, reason);
                        return match broken {
                            Some(reason) => Next::End(End::Broken(reason)),
                            None => Next::Silent(source),
                        };
                    }
                },
                it = source.receive(), if broken.is_none() => it,
                end = self.wait_for_end() => return Next::End(end),
            };
            match received {
                Received::Events(it) => {
                    let is_progress = it.has_content || source.last_id() != self.last_id.get();
                    if let Some(end) = self.deliver(&mut source, it).await {
                        return Next::End(end);
                    }
                    if is_progress {
                        self.call.record.log_step("silent server goes on", &failed, "");
                        return Next::From(source);
                    }
                }
                Received::End => return Next::End(self.complete(source).await),
                Received::Broken(reason) => {
                    self.record_break(&source, reason).await;
                    broken = Some(reason);
                }
            }
        }
    }

    /// Goes on with an answer that has begun.
    async fn follow(&self, (mut source, first): Answer) -> Next {
        match first {
            None => Next::From(source),
            Some(Received::Events(it)) => match self.deliver(&mut source, it).await {
                Some(end) => Next::End(end),
                None => Next::From(source),
            },
            Some(Received::End) => Next::End(self.complete(source).await),
            Some(Received::Broken(reason)) => Next::End(End::Broken(reason)),
        }
    }

    /// Records the end of a complete answer.
    async fn complete(&self, source: Source) -> End {
        self.call.record_answer_end(&source.vm, source.start).await;
        source.finish(&self.call.state);
        End::Complete
    }

    /// Records that a server's answer broke.
    async fn record_break(&self, source: &Source, reason: &'static str) {
        let detail = self.call.break_detail(reason, source.start.events);
        self.call.record.log_step("stream broke", &source.vm, &detail);
        self.call.record_break(&source.vm, source.start).await;
    }

    /// Waits until the caller disconnects or its deadline has passed.
    async fn wait_for_end(&self) -> End {
        tokio::select! {
            () = self.chunks.closed() => End::CallerLeft,
            () = tokio::time::sleep_until(self.call.ends_at) => End::TimeOver,
        }
    }

    /// Passes events on; waits for a slow caller until the deadline.
    async fn deliver(&self, source: &mut Source, events: CompleteEvents) -> Option<End> {
        self.last_id.set(source.last_id());
        if events.has_content {
            self.call.record_events(&mut source.start);
        }
        if events.data.is_empty() {
            return None;
        }
        let now = Instant::now();
        let gap = now.duration_since(self.last_event_at.replace(now));
        self.call.state.metrics.record_event_gap(gap);
        let sending = async {
            let held = hold(&self.call.client, events.data.len()).await;
            let held = held.map_err(|_| End::Broken(NO_MEMORY_REASON))?;
            let sent = self.chunks.send(Chunk::Data(events.data, held)).await;
            sent.map_err(|_| End::CallerLeft)
        };
        match tokio::time::timeout_at(self.call.ends_at, sending).await {
            Ok(Ok(())) => None,
            Ok(Err(end)) => Some(end),
            Err(_) => Some(End::TimeOver),
        }
    }
}

/// Waits until the streams of a head's group are found stalled after a moment, but not before
/// `earliest`.
pub(super) async fn wait_until_stalled(call: &Call, head: &VmId, after: Moment, earliest: Instant) {
    loop {
        call.state.wait_until_suspect(head, after).await;
        if earliest <= Instant::now() {
            return;
        }
        tokio::time::sleep_until(earliest).await;
    }
}
