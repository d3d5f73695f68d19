//! Reads bodies of callers' requests and of answers, charged to the byte budget of the process.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Incoming;
use mangocross_http::BodyBuffer;
use mangocross_http::BodyParts;
use mangocross_http::BudgetClient;
use mangocross_http::BudgetExhausted;
use mangocross_http::HeldBytes;
use tokio::time::Instant;

/// Minimum rate of a body, from the end of its head on. A link of 20 Mbit/s that 2,300 connections
/// share, the most that the smallest entry VM accepts, leaves twice as much for each.
const BODY_BYTES_PER_SECOND_MIN: u64 = 512;
/// Time after which the rate of a body is judged, as long as a head may take.
const BODY_RATE_GRACE: Duration = Duration::from_secs(3);
/// Time between two checks of the rate.
const RATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Reason of requests and answers for which the byte budget has no room.
pub(crate) const NO_MEMORY_REASON: &str = "no memory is left for it";

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The connection broke, or the body is malformed.
    Broken,
    /// It was not complete in time, or came at less than the minimum rate.
    TooSlow,
    /// The byte budget has no room for it.
    NoMemory,
}

/// A body that is being read.
struct Reading {
    body: Incoming,
    bytes_max: usize,
    /// Data that the buffer has not taken yet.
    data: Bytes,
    buffer: BodyBuffer,
    /// The caller whose request is read; `None` for an answer.
    sender: Option<BudgetClient>,
}

impl Reading {
    fn new(body: Incoming, bytes_max: usize, client: &BudgetClient) -> Result<Self, BodyError> {
        if body.size_hint().lower() > bytes_max as u64 {
            return Err(BodyError::TooLarge);
        }
        let buffer = BodyBuffer::new(client.clone());
        Ok(Self { body, bytes_max, data: Bytes::new(), buffer, sender: None })
    }

    /// Reads on; ready at the end of the body.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        loop {
            if !self.data.is_empty() {
                // The sender is not to blame for the time until there is room.
                self.set_awaited(false);
                let extended = ready!(self.buffer.poll_extend(cx, &mut self.data));
                extended.map_err(|_| BodyError::NoMemory)?;
            }
            self.set_awaited(true);
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
                return Poll::Ready(Ok(()));
            };
            // Trailers are read and dropped.
            self.data = frame.map_err(|_| BodyError::Broken)?.into_data().unwrap_or_default();
            if self.data.len() > self.bytes_max - self.buffer.length() {
                return Poll::Ready(Err(BodyError::TooLarge));
            }
            if let Some(sender) = &self.sender {
                sender.record_progress(self.data.len());
            }
        }
    }

    fn set_awaited(&self, is_awaited: bool) {
        if let Some(sender) = &self.sender {
            sender.set_awaited(is_awaited);
        }
    }
}

/// Reads the body of a caller's request.
pub(crate) async fn read_request(
    body: Incoming,
    bytes_max: usize,
    client: &BudgetClient,
    ends_at: Instant,
) -> Result<BodyParts, BodyError> {
    if body.is_end_stream() {
        return Ok(BodyParts::default());
    }
    let mut reading = Reading::new(body, bytes_max, client)?;
    let mut check_at = Instant::now() + BODY_RATE_GRACE;
    client.begin(true);
    reading.sender = Some(client.clone());
    let read = loop {
        let step = tokio::time::timeout_at(check_at.min(ends_at), poll_fn(|cx| reading.poll(cx)));
        match step.await {
            Ok(it) => break it,
            Err(_) if Instant::now() >= ends_at || is_too_slow(client) => {
                break Err(BodyError::TooSlow);
            }
            Err(_) => check_at += RATE_CHECK_INTERVAL,
        }
    };
    client.set_awaited(false);
    read.map(|()| reading.buffer.finish())
}

fn is_too_slow(client: &BudgetClient) -> bool {
    let (bytes, time) = client.progress();
    (bytes as f64) < time.as_secs_f64() * BODY_BYTES_PER_SECOND_MIN as f64
}

/// Charges bytes, and waits for those of clients that are being closed.
///
/// # Errors
///
/// Fails if there is no room.
pub(crate) async fn hold(
    client: &BudgetClient,
    bytes: usize,
) -> Result<HeldBytes, BudgetExhausted> {
    poll_fn(|cx| client.poll_hold(cx, bytes)).await
}

/// Reads the body of an answer, charged to the caller.
pub(crate) async fn read_answer(
    body: Incoming,
    bytes_max: usize,
    client: &BudgetClient,
) -> Result<BodyParts, BodyError> {
    let mut reading = Reading::new(body, bytes_max, client)?;
    poll_fn(|cx| reading.poll(cx)).await?;
    Ok(reading.buffer.finish())
}
