//! Server-sent events.

use std::io;

use mangocross_http::BodyStream;
use mangocross_http::ServerRequest;
use mangocross_types::Refusal;
use mangocross_types::RequestId;

use crate::RefusalBody;

/// An answer that is sent as server-sent events.
pub struct EventStream {
    body: BodyStream,
}

impl EventStream {
    /// Starts the answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn open(request: ServerRequest, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut all = vec![("content-type", "text/event-stream"), ("cache-control", "no-cache")];
        all.extend_from_slice(headers);
        Ok(Self { body: request.respond_stream(200, &all)? })
    }

    /// Sends one event.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or does not read.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        self.body.write_chunk(format!("data: {data}\n\n").as_bytes())
    }

    /// Sends a comment, so that both ends detect a broken connection.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or does not read.
    pub fn keep_alive(&mut self) -> io::Result<()> {
        self.body.write_chunk(b": keep-alive\n\n")
    }

    /// Ends a complete answer with the end marker.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.send("[DONE]")?;
        self.body.finish()
    }

    /// Ends an incomplete answer with an error event.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn fail(mut self, refusal: &Refusal, request_id: &RequestId) -> io::Result<()> {
        let body = RefusalBody::new(refusal, Some(request_id)).to_json();
        self.body.write_chunk(format!("event: error\ndata: {body}\n\n").as_bytes())?;
        self.body.finish()
    }
}
