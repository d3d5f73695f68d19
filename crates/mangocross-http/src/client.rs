//! The HTTP client.

use std::ops::Range;

use ureq::Agent;
use ureq::http::Request;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;

use crate::CallError;
use crate::CallErrorKind;
use crate::HttpCall;
use crate::HttpResponse;
use crate::HttpTimeouts;
use crate::tracker;
use crate::tracker::TrackingConnector;

/// Largest response header, in bytes.
const HEADER_BYTES_MAX: usize = 32 * 1024;
/// Buffer for each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Statuses of final answers.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Makes HTTP calls, each on its own connection.
#[derive(Debug, Clone)]
pub struct HttpClient {
    agent: Agent,
}

impl HttpClient {
    /// Creates a client; connections are opened by [`HttpClient::call`].
    pub fn open() -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .max_response_header_size(HEADER_BYTES_MAX)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .no_delay(true)
            .build();
        let connector = TcpConnector::default().chain(TrackingConnector);
        Self { agent: Agent::with_parts(config, connector, DefaultResolver::default()) }
    }

    /// Makes a call and returns once the response headers have been received.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, breaks or stalls; the error tells whether any
    /// byte was sent. No status code from 200 to 599 is an error; others are no answer.
    pub fn call(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let keep_waiting = call.keep_waiting.clone();
        let request = self.request(call)?;
        let read_limit = tracker::begin_call(keep_waiting);
        let response = self.agent.run(request);
        tracker::finish_headers();
        let response =
            response.map_err(|it| CallError::from_call(&it, tracker::any_byte_sent()))?;
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let text = format!("{status} is not the status of a final answer");
            return Err(CallError::after_send(CallErrorKind::Malformed, text));
        }
        let headers = parts
            .headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
        Ok(HttpResponse { status, headers, body: body.into_reader(), read_limit })
    }

    fn request(&self, call: HttpCall) -> Result<Request<ureq::SendBody<'static>>, CallError> {
        let HttpTimeouts { connect, idle, total } = call.timeouts;
        let mut builder = Request::builder().method(call.method.as_str()).uri(&call.url);
        for (name, value) in &call.headers {
            builder = builder.header(name, value);
        }
        let has_body = !call.body.is_empty();
        if has_body {
            builder = builder.header("content-length", call.body.len());
        }
        let body = if has_body {
            ureq::SendBody::from_owned_reader(std::io::Cursor::new(call.body))
        } else {
            ureq::SendBody::none()
        };
        let request = builder.body(body).map_err(|it| CallError {
            kind: CallErrorKind::Malformed,
            outcome: mangocross_types::RunOutcome::NotRun,
            message: it.to_string(),
        })?;
        Ok(self
            .agent
            .configure_request(request)
            .timeout_connect(Some(connect))
            .timeout_per_read(Some(idle))
            .timeout_per_write(Some(idle))
            .timeout_global(Some(total))
            .build())
    }
}
