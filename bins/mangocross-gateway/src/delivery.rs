//! Delivery of an answer to its caller, streamed or as one body.

use std::io;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::LeasedGroup;
use mangocross_http::ServerRequest;
use mangocross_types::Refusal;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;
use peer_caller::ChatRequest;
use peer_caller::EventStream;
use peer_caller::respond_refusal;
use peer_engine::FinishReason;

use crate::handler::ValidatedRequest;

/// Largest answer that is buffered before it is sent, in bytes.
const COLLECTED_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Delivers an answer to its caller.
pub(crate) struct Delivery<'a> {
    incoming: &'a ValidatedRequest,
    chat: &'a ChatRequest,
    sink: Sink,
    keep_alive: Duration,
    written_at: Instant,
}

/// Destination of the answer.
enum Sink {
    /// Not started, or buffered until it is complete.
    Collected { request: Box<ServerRequest>, text: String },
    /// Sent to the caller token by token.
    Stream(EventStream),
    /// The caller disconnected when the stream was started.
    Disconnected,
}

impl<'a> Delivery<'a> {
    pub(crate) fn new(
        request: ServerRequest,
        incoming: &'a ValidatedRequest,
        chat: &'a ChatRequest,
        keep_alive: Duration,
        now: Instant,
    ) -> Self {
        let sink = Sink::Collected { request: Box::new(request), text: String::new() };
        Self { incoming, chat, sink, keep_alive, written_at: now }
    }

    /// Delivers one token; fails if the caller has disconnected or the answer is too large to
    /// buffer.
    pub(crate) fn token(
        &mut self,
        group: &LeasedGroup,
        token_index: TokenIndex,
        text: &str,
        now: Instant,
    ) -> io::Result<()> {
        if self.chat.stream {
            self.start(group)?;
        }
        self.written_at = now;
        match &mut self.sink {
            Sink::Disconnected => Err(caller_disconnected()),
            Sink::Stream(stream) => {
                stream.send(&self.chat.chunk(&self.incoming.id, token_index, text, None))
            }
            Sink::Collected { text: collected, .. } => {
                if collected.len() + text.len() > COLLECTED_BYTES_MAX {
                    return Err(io::Error::other("the answer is too large to be buffered"));
                }
                collected.push_str(text);
                Ok(())
            }
        }
    }

    /// Writes a keep-alive if nothing was written for the interval; fails if the caller has
    /// disconnected.
    pub(crate) fn keep_alive(&mut self, now: Instant) -> io::Result<()> {
        if now.duration_since(self.written_at) < self.keep_alive {
            return Ok(());
        }
        self.written_at = now;
        match &mut self.sink {
            Sink::Disconnected => Err(caller_disconnected()),
            Sink::Stream(stream) => stream.keep_alive(),
            Sink::Collected { .. } => Ok(()),
        }
    }

    /// Ends a complete answer.
    pub(crate) fn finish(self, tokens: TokenIndex, reason: FinishReason) {
        let reason = match reason {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        };
        match self.sink {
            Sink::Stream(mut stream) => {
                let last = self.chat.chunk(&self.incoming.id, tokens, "", Some(reason));
                let _ = stream.send(&last).and_then(|()| stream.finish());
            }
            Sink::Collected { request, text } => {
                let id = &self.incoming.id;
                let body = self.chat.completion(id, &text, tokens.0, reason);
                let headers = [
                    ("content-type", "application/json"),
                    ("x-request-id", id.as_str()),
                    ("x-run-outcome", RunOutcome::Ran.as_str()),
                ];
                request.respond(200, &headers, body.into_bytes());
            }
            Sink::Disconnected => {}
        }
    }

    /// Ends an incomplete answer with a refusal.
    pub(crate) fn fail(self, refusal: &Refusal) {
        match self.sink {
            Sink::Collected { request, .. } => {
                respond_refusal(*request, refusal, Some(&self.incoming.id));
            }
            Sink::Stream(stream) => {
                let _ = stream.fail(refusal, &self.incoming.id);
            }
            Sink::Disconnected => {}
        }
    }

    /// Starts the stream if it has not been started yet.
    fn start(&mut self, group: &LeasedGroup) -> io::Result<()> {
        let request = match std::mem::replace(&mut self.sink, Sink::Disconnected) {
            Sink::Collected { request, .. } => request,
            started => {
                self.sink = started;
                return Ok(());
            }
        };
        let incarnation = group.incarnation.to_string();
        let headers = [
            ("x-request-id", self.incoming.id.as_str()),
            ("x-group", group.group.as_str()),
            ("x-incarnation", incarnation.as_str()),
            ("x-run-outcome", RunOutcome::Ran.as_str()),
        ];
        self.sink = Sink::Stream(EventStream::open(*request, &headers)?);
        Ok(())
    }
}

fn caller_disconnected() -> io::Error {
    io::Error::other("the caller has disconnected")
}
