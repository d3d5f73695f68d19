//! Event streams from model groups.

mod attempt;
mod forwarder;
mod goal;
mod heads;
mod search;
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
    let started = StreamStart::new(&call).run().await;
    match started {
        Ok((answer, runs)) => (forwarder::spawn(call, answer, runs), None),
        Err(response) => (response, Some(call.record)),
    }
}
