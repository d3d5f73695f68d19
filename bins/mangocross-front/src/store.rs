//! Client of the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use mangocross_http::BodyParts;
use mangocross_platform::DecodeError;
use mangocross_platform::StoreCall;
use mangocross_platform::store_era;
use mangocross_types::StoreEra;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Histogram;
use snafu::Snafu;

use crate::pool;
use crate::pool::Connection;

/// Timeout of calls that don't wait for changes; a slow store takes some hundred milliseconds.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of an answer; the store sends about 1 MB of values, in base64.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Maximum number of idle connections.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// The connection failed.
    #[snafu(display("[5102] the store cannot be reached"))]
    Unreachable,
    /// No answer in time; the call may still take effect.
    #[snafu(display("[5103] the store did not answer within {timeout:?}"))]
    TimedOut { timeout: Duration },
    /// The connection broke; the call may still take effect.
    #[snafu(display("[5104] the connection to the store broke: {reason}"))]
    Broken { reason: String },
    /// The store refused the call.
    #[snafu(display("[5105] the store answered {status}"))]
    Refused { status: StatusCode },
    /// The answer is from before the store came back from an older copy.
    #[snafu(display("[5109] an answer of era {era} came in era {present}"))]
    FormerEra { era: StoreEra, present: StoreEra },
    /// The store came back from an older copy between two calls that belong together.
    #[snafu(display("[5110] the store came back from an older copy"))]
    EraChanged,
    /// The answer is malformed.
    #[snafu(display("{source}"), context(false))]
    Malformed { source: DecodeError },
}

/// An answer of the store.
#[derive(Debug)]
pub(crate) struct StoreAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    /// Era of all revisions and leases in the body.
    pub(crate) era: StoreEra,
}

/// Client of the store with its own connections.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    era: Cell<StoreEra>,
    call_seconds: Histogram<f64>,
}

impl StoreClient {
    /// Creates a client that records the duration of each call.
    pub(crate) fn new(address: SocketAddr, call_seconds: Histogram<f64>) -> Self {
        Self { address, idle: RefCell::default(), era: Cell::default(), call_seconds }
    }

    /// Returns the latest era that an answer told of.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Makes a call and returns its answer, unless a later era is known by then.
    pub(crate) async fn call(
        &self,
        call: StoreCall,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let kind = call.kind;
        let began = Instant::now();
        let exchange = tokio::time::timeout(timeout, self.exchange(call));
        let result = exchange.await.unwrap_or_else(|_| {
            // Other idle connections may be unresponsive as well.
            self.idle.borrow_mut().clear();
            Err(StoreError::TimedOut { timeout })
        });
        let result = result.and_then(|it| self.check_era(it));
        let outcome = match &result {
            Ok(it) if it.status.is_success() => "answered",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        let labels = [KeyValue::new("call", kind), KeyValue::new("outcome", outcome)];
        self.call_seconds.record(began.elapsed().as_secs_f64(), &labels);
        result
    }

    fn check_era(&self, answer: StoreAnswer) -> Result<StoreAnswer, StoreError> {
        let (era, present) = (answer.era, self.era.get());
        if era < present {
            return Err(StoreError::FormerEra { era, present });
        }
        self.era.set(era);
        Ok(answer)
    }

    async fn exchange(&self, call: StoreCall) -> Result<StoreAnswer, StoreError> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle {
            // The store may have closed it in the meantime; only reads are safe to repeat.
            let is_read = call.method == Method::GET;
            match self.exchange_on(connection, call.clone()).await {
                Err(StoreError::Broken { .. }) if is_read => {}
                result => return result,
            }
        }
        let connection = pool::connect(self.address, CONNECT_TIMEOUT).await;
        self.exchange_on(connection.map_err(|_| StoreError::Unreachable)?, call).await
    }

    async fn exchange_on(
        &self,
        mut connection: Connection,
        call: StoreCall,
    ) -> Result<StoreAnswer, StoreError> {
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(BodyParts::from(call.body))
            .map_err(|it| StoreError::Broken { reason: it.to_string() })?;
        let broken = |reason: String| StoreError::Broken { reason };
        let response = connection.send(request).await.map_err(|it| broken(it.reason))?;
        let status = response.status();
        let era = store_era(response.headers());
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|it| broken(it.to_string()))?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
        Ok(StoreAnswer { status, body: body.to_bytes(), era })
    }
}
