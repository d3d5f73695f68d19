//! Bodies that are charged to the byte budget.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::BudgetClient;
use crate::BudgetExhausted;
use crate::HeldBytes;

/// Smallest size of a part after the first one, in bytes.
const PART_BYTES_MIN: usize = 4 << 10;
/// Largest size of a part, in bytes. Parts of one size that the allocator serves from its heap leave
/// no gaps between them.
const PART_BYTES_MAX: usize = 64 << 10;
/// Bytes that a part needs beside its content.
const PART_OVERHEAD_BYTES: usize = 128;

/// Memory of a part, with its charge.
#[derive(Debug)]
struct Part {
    bytes: Vec<u8>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being received.
///
/// Data is copied into parts of its own, so that small pieces do not keep the buffers that they were
/// read into.
#[derive(Debug)]
pub struct BodyBuffer {
    client: BudgetClient,
    body: BodyParts,
    open: Option<Part>,
}

impl BodyBuffer {
    /// Creates an empty buffer whose bytes are charged to a client.
    pub fn new(client: BudgetClient) -> Self {
        Self { client, body: BodyParts::default(), open: None }
    }

    /// Returns the number of bytes received.
    pub fn length(&self) -> usize {
        self.body.length + self.open.as_ref().map_or(0, |it| it.bytes.len())
    }

    /// Moves data into the buffer; it is empty when this is complete.
    ///
    /// # Errors
    ///
    /// Fails as [`BudgetClient::poll_hold`] does.
    pub fn poll_extend(
        &mut self,
        cx: &Context<'_>,
        data: &mut Bytes,
    ) -> Poll<Result<(), BudgetExhausted>> {
        while !data.is_empty() {
            if let Some(part) = &mut self.open {
                let room = part.bytes.capacity() - part.bytes.len();
                let copied = data.split_to(room.min(data.len()));
                part.bytes.extend_from_slice(&copied);
                if data.is_empty() {
                    break;
                }
            }
            self.close_part();
            let size = match self.body.length {
                0 => data.len().min(PART_BYTES_MAX),
                length => length.clamp(PART_BYTES_MIN, PART_BYTES_MAX),
            };
            let held = ready!(self.client.poll_hold(cx, size + PART_OVERHEAD_BYTES))?;
            self.open = Some(Part { bytes: Vec::with_capacity(size), _held: held });
        }
        Poll::Ready(Ok(()))
    }

    /// Returns the body.
    pub fn finish(mut self) -> BodyParts {
        self.close_part();
        self.body
    }

    fn close_part(&mut self) {
        if let Some(part) = self.open.take() {
            self.body.push(Bytes::from_owner(part));
        }
    }
}

/// A complete body in parts, each of which is freed once nothing refers to it.
#[derive(Debug, Clone, Default)]
pub struct BodyParts {
    /// The first part, apart since most bodies have one only.
    first: Bytes,
    /// The other parts in reverse order once the body is being sent.
    rest: Vec<Bytes>,
    length: usize,
    is_reversed: bool,
}

impl BodyParts {
    /// Returns the number of bytes that are left.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the parts of a body that has not been sent.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        std::iter::once(&self.first).chain(&self.rest).map(|it| &**it)
    }

    fn push(&mut self, part: Bytes) {
        self.length += part.len();
        match self.first.is_empty() {
            true => self.first = part,
            false => self.rest.push(part),
        }
    }

    /// Removes the next part; `None` at the end.
    pub fn next_part(&mut self) -> Option<Bytes> {
        let part = match self.first.is_empty() {
            false => std::mem::take(&mut self.first),
            true => {
                if !self.is_reversed {
                    self.rest.reverse();
                    self.is_reversed = true;
                }
                self.rest.pop()?
            }
        };
        self.length -= part.len();
        Some(part)
    }
}

impl From<Bytes> for BodyParts {
    fn from(first: Bytes) -> Self {
        Self { length: first.len(), first, ..Self::default() }
    }
}

impl Body for BodyParts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_part().map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
