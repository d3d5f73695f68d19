//! TCP exchange with a coordinator for data that does not fit a datagram.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_types::RequestId;
use mangocross_types::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::Delta;
use crate::RequestFailure;
use crate::frame::PeerKey;
use crate::timed_stream::TimedStream;

/// Largest frame, in bytes: a store value of 1 MiB with its header.
const FRAME_BYTES_MAX: usize = 1024 * 1024 + 4096;
/// Time limit for connecting to another coordinator.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit of a whole exchange, however slowly its bytes arrive.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum number of concurrent fetches; further connections are closed.
const FETCHES_MAX: usize = 64;

/// The text of a configuration with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Revision of the store's value.
    pub revision: Revision,
    /// The document as JSON text.
    pub text: String,
}

/// Why a fetch failed.
#[derive(Debug, Snafu)]
#[snafu(display("failed to fetch from {address}: {message}"))]
pub struct FetchError {
    /// Address of the coordinator fetched from.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub message: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct FetchRequest {
    nonce: u64,
    #[serde(rename = "wanted")]
    item: FetchItem,
}

#[derive(Debug, Serialize, Deserialize)]
enum FetchItem {
    /// The configuration, as a difference from this revision if its text is still available.
    Configuration(Revision),
    Failure(RequestId),
    /// The platform's list of VMs, as a difference from the one with this hash.
    ListChange(u64),
}

#[derive(Debug, Serialize, Deserialize)]
struct FetchReply {
    nonce: u64,
    document: Option<SentDocument>,
    failure: Option<RequestFailure>,
    list_change: Option<ListChange>,
}

/// How the platform's list of VMs changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Time since the request to the platform that returned the newer list, in milliseconds,
    /// rounded up.
    pub age_ms: u32,
    /// Difference from the text of the older list to that of the newer one.
    pub delta: Delta,
}

#[derive(Debug, Serialize, Deserialize)]
enum SentDocument {
    Whole(ConfigurationDocument),
    Changed { revision: Revision, delta: Delta },
}

/// Data that a coordinator serves to fetches.
pub trait FetchSource: Send + Sync + 'static {
    /// Returns the configuration that this coordinator serves, if it has one.
    fn configuration(&self) -> Option<ConfigurationDocument>;

    /// Returns the text of an earlier configuration, if it is still available.
    fn earlier_text(&self, revision: Revision) -> Option<Arc<str>>;

    /// Returns the failure of a request at the gateway on the same VM.
    fn failure(&self, request: &RequestId) -> Option<RequestFailure>;

    /// Returns how the platform's list of VMs changed since the one with this hash, if that list
    /// is still available.
    fn list_change(&self, _since: u64) -> Option<ListChange> {
        None
    }
}

/// Fetches a coordinator's configuration, as a difference from `current` if possible.
///
/// # Errors
///
/// Fails if the coordinator does not answer in time, has no configuration, or its frame is
/// damaged.
pub fn fetch_configuration(
    address: SocketAddr,
    key: &PeerKey,
    current: &ConfigurationDocument,
) -> Result<ConfigurationDocument, FetchError> {
    let first = fetch_document(address, key, current.revision)?;
    if let Some(document) = reconstruct_document(first, current) {
        return Ok(document);
    }
    // The difference does not apply to the current text.
    let whole = fetch_document(address, key, Revision(0))?;
    let message = "the coordinator sent a difference instead of the full document".to_owned();
    reconstruct_document(whole, current).ok_or(FetchError { address, message })
}

fn fetch_document(
    address: SocketAddr,
    key: &PeerKey,
    base: Revision,
) -> Result<SentDocument, FetchError> {
    let reply = fetch(address, key, FetchItem::Configuration(base))?;
    let message = "the coordinator holds no configuration yet".to_owned();
    reply.document.ok_or(FetchError { address, message })
}

fn reconstruct_document(
    sent: SentDocument,
    current: &ConfigurationDocument,
) -> Option<ConfigurationDocument> {
    match sent {
        SentDocument::Whole(document) => Some(document),
        SentDocument::Changed { revision, delta } => {
            let text = delta.apply(&current.text, FRAME_BYTES_MAX)?;
            Some(ConfigurationDocument { revision, text })
        }
    }
}

/// Returns this coordinator's configuration, as a difference from the base revision if that is
/// available.
fn document_since(source: &dyn FetchSource, base: Revision) -> Option<SentDocument> {
    let current = source.configuration()?;
    let Some(earlier) = source.earlier_text(base) else {
        return Some(SentDocument::Whole(current));
    };
    let delta = Delta::between(&earlier, &current.text);
    Some(SentDocument::Changed { revision: current.revision, delta })
}

/// Fetches the failure of a request, if the coordinator has a record of it.
///
/// # Errors
///
/// Fails if the coordinator does not answer in time or its frame is damaged.
pub fn fetch_request_failure(
    address: SocketAddr,
    key: &PeerKey,
    request: &RequestId,
) -> Result<Option<RequestFailure>, FetchError> {
    Ok(fetch(address, key, FetchItem::Failure(request.clone()))?.failure)
}

/// Fetches how the platform's list of VMs changed since the one with this hash, if the
/// coordinator still has that list.
///
/// # Errors
///
/// Fails if the coordinator does not answer in time or its frame is damaged.
pub fn fetch_list_change(
    address: SocketAddr,
    key: &PeerKey,
    since: u64,
) -> Result<Option<ListChange>, FetchError> {
    Ok(fetch(address, key, FetchItem::ListChange(since))?.list_change)
}

fn fetch(address: SocketAddr, key: &PeerKey, item: FetchItem) -> Result<FetchReply, FetchError> {
    let failed = |message: String| FetchError { address, message };
    let request = FetchRequest { nonce: fastrand::u64(..), item };
    let reply = exchange(address, key, &request).map_err(|it| failed(it.to_string()))?;
    if reply.nonce != request.nonce {
        return Err(failed("the reply has the nonce of another request".into()));
    }
    Ok(reply)
}

fn exchange(address: SocketAddr, key: &PeerKey, request: &FetchRequest) -> io::Result<FetchReply> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    let mut stream = TimedStream::new(stream, EXCHANGE_TIMEOUT)?;
    write_frame(&mut stream, key, request)?;
    read_frame(&mut stream, key)
}

/// A running server for fetches; dropping it stops accepting connections.
pub struct FetchServer {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl FetchServer {
    /// Binds an address and serves fetches from a source.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        key: PeerKey,
        source: Arc<dyn FetchSource>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let closing = Arc::clone(&closed);
        thread::Builder::new().name("fetch-accept".into()).spawn(move || {
            let running = Arc::new(AtomicUsize::new(0));
            for stream in listener.incoming() {
                if closing.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if running.fetch_add(1, Ordering::Relaxed) >= FETCHES_MAX {
                    running.fetch_sub(1, Ordering::Relaxed);
                    continue;
                }
                let (key, source) = (key.clone(), Arc::clone(&source));
                let running = Arc::clone(&running);
                thread::spawn(move || {
                    if let Err(error) = answer(stream, &key, source.as_ref()) {
                        log::debug!("failed to serve a fetch: {error}");
                    }
                    running.fetch_sub(1, Ordering::Relaxed);
                });
            }
        })?;
        Ok(Self { address, closed })
    }

    /// Returns the address on which fetches are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FetchServer {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
    }
}

fn answer(stream: TcpStream, key: &PeerKey, source: &dyn FetchSource) -> io::Result<()> {
    let mut stream = TimedStream::new(stream, EXCHANGE_TIMEOUT)?;
    let request: FetchRequest = read_frame(&mut stream, key)?;
    let mut reply =
        FetchReply { nonce: request.nonce, document: None, failure: None, list_change: None };
    match &request.item {
        FetchItem::Configuration(base) => reply.document = document_since(source, *base),
        FetchItem::Failure(id) => reply.failure = source.failure(id),
        FetchItem::ListChange(since) => reply.list_change = source.list_change(*since),
    }
    write_frame(&mut stream, key, &reply)
}

fn write_frame<T: Serialize>(
    stream: &mut TimedStream,
    key: &PeerKey,
    message: &T,
) -> io::Result<()> {
    let frame = key.seal(message);
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(&frame)
}

fn read_frame<T: DeserializeOwned>(stream: &mut TimedStream, key: &PeerKey) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(io::Error::other(format!("a frame of {length} bytes is too large")));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame)?;
    key.open(&frame).map_err(io::Error::other)
}
