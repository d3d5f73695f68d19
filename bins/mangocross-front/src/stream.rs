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

use self::start::NoAnswer;
use self::start::StreamStart;
use crate::answer_body::AnswerBody;
use crate::dispatch::Call;
use crate::outcome::RequestRecord;
use crate::peer_forwarding;

/// Serves an event stream.
pub(crate) async fn serve(call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    call.record_demand();
    let started = StreamStart::new(&call).run().await;
    match started {
        Ok((answer, runs)) => (forwarder::spawn(call, answer, runs), None),
        Err(NoAnswer::Refused(response)) => (*response, Some(call.record)),
        Err(NoAnswer::NeedsPeer) => peer_forwarding::serve(call).await,
    }
}
