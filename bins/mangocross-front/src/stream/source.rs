//! Reads the events of a stream from one server.

use std::rc::Rc;

use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mangocross_platform::AnswerHead;
use mangocross_serving::CompleteEvents;
use mangocross_serving::EventSplitter;
use mangocross_types::VmId;

use super::attempt::StartedStream;
use crate::blame::AnswerStart;
use crate::pool::Connection;
use crate::state::AppState;
use crate::state::InFlightGuard;
use crate::zone_traffic::LeftZoneBytes;

/// What a server sent next.
pub(super) enum Received {
    /// Data that completed these events, or none yet.
    Events(CompleteEvents),
    /// The answer is complete.
    End,
    /// The server or the connection to it failed.
    Broken(&'static str),
}

/// The answer of one server to a stream.
pub(super) struct Source {
    pub(super) vm: VmId,
    /// How far the answer has come.
    pub(super) start: AnswerStart,
    /// Headers of the answer that are passed on to the caller.
    pub(super) headers: HeaderMap,
    connection: Connection,
    in_flight: InFlightGuard,
    body: Incoming,
    answer_head: AnswerHead,
    left_zone: Option<LeftZoneBytes>,
    splitter: EventSplitter,
}

impl Source {
    /// Reads a started stream, which resumes after the event `last_id` if it is not new.
    pub(super) fn new(started: StartedStream, last_id: Option<u64>) -> Self {
        let StartedStream { vm, connection, in_flight, response, answer_head, left_zone } = started;
        let splitter = EventSplitter::resuming_after(last_id);
        let start = AnswerStart::new(response.headers());
        let headers = AnswerHead::forwarded_stream_headers(response.headers());
        let body = response.into_body();
        Self { vm, start, headers, connection, in_flight, body, answer_head, left_zone, splitter }
    }

    /// Returns the id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Waits for the next data. Dropping the future loses nothing.
    pub(super) async fn receive(&mut self) -> Received {
        let data = match self.body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Received::Broken("answer broke off"),
            None if self.splitter.is_inside_event() => {
                return Received::Broken("answer stopped inside an event");
            }
            None => return Received::End,
        };
        self.left_zone.iter().for_each(|it| it.add(data.len()));
        let Ok(events) = self.splitter.push(&data) else {
            return Received::Broken("event too long");
        };
        if events.has_content {
            self.in_flight.record_progress();
        }
        Received::Events(events)
    }

    /// Returns the connection of a complete answer to the pool, unless the server closes it.
    pub(super) fn finish(self, state: &Rc<AppState>) {
        if !self.answer_head.closes {
            let is_warm = state.view.borrow().candidates.is_warm(&self.vm, state.now());
            state.recycle(self.connection, self.answer_head.idle_timeout, is_warm);
        }
    }
}
