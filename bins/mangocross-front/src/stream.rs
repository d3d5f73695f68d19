//! Event streams from model groups.

mod attempt;
mod forwarder;
mod heads;
mod source;
mod start;
mod successor;

use http::Response;

use self::start::StreamStart;
use crate::answer_body::AnswerBody;
use crate::dispatch::Call;
use crate::outcome::RequestRecord;

/// Serves an event stream.
pub(crate) async fn serve(call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    match StreamStart::new(&call).run().await {
        Ok((started, runs)) => (forwarder::spawn(call, started, runs), None),
        Err(response) => (response, Some(call.record)),
    }
}
