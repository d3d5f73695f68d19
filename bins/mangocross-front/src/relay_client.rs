//! Asks a relay for changes of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use mangocross_http::BodyParts;
use mangocross_types::StoreRevision;
use snafu::Snafu;

use crate::pool;
use crate::pool::Connection;
use crate::relay_messages::ANSWER_BYTES_MAX;
use crate::relay_messages::CHANGES_PATH;
use crate::relay_messages::RelayAnswer;
use crate::relay_messages::RelayQuestion;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Added to the time that a question waits before it counts as unanswered.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// Why a relay gave no answer.
#[derive(Debug, Snafu)]
pub(crate) enum RelayError {
    /// No connection.
    #[snafu(display("[5106] the relay cannot be reached"))]
    Unreachable,
    /// No answer in time.
    #[snafu(display("[5107] the relay did not answer within {timeout:?}"))]
    TimedOut { timeout: Duration },
    /// The connection broke, or the answer is malformed.
    #[snafu(display("[5108] the relay's answer is unusable: {reason}"))]
    Malformed { reason: String },
}

/// A connection to a relay.
#[derive(Debug)]
pub(crate) struct RelayClient {
    connection: Connection,
    address: SocketAddr,
    own_name: Arc<str>,
}

impl RelayClient {
    /// Connects to a relay.
    pub(crate) async fn open(address: SocketAddr, own_name: Arc<str>) -> Result<Self, RelayError> {
        let connection =
            pool::connect(address, CONNECT_TIMEOUT).await.map_err(|_| RelayError::Unreachable)?;
        Ok(Self { connection, address, own_name })
    }

    /// Asks for the changes after a revision; the relay waits for some until `wait` has passed.
    pub(crate) async fn ask(
        &mut self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<RelayAnswer, RelayError> {
        let timeout = wait + ANSWER_SLACK;
        let answer = tokio::time::timeout(timeout, self.exchange(after, wait)).await;
        answer.unwrap_or(Err(RelayError::TimedOut { timeout }))
    }

    async fn exchange(
        &mut self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<RelayAnswer, RelayError> {
        let malformed = |reason: String| RelayError::Malformed { reason };
        let question = RelayQuestion { from: Arc::clone(&self.own_name), after, wait };
        let body = postcard::to_allocvec(&question).map_err(|it| malformed(it.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(Uri::from_static(CHANGES_PATH))
            .header(header::HOST, self.address.to_string())
            .body(BodyParts::from(Bytes::from(body)))
            .map_err(|it| malformed(it.to_string()))?;
        let response = self.connection.send(request).await.map_err(|it| malformed(it.reason))?;
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|it| malformed(it.to_string()))?.to_bytes();
        postcard::from_bytes(&body).map_err(|it| malformed(it.to_string()))
    }
}
