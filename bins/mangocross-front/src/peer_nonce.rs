//! Tells an entry VM's own answers from those of backend servers that it passes on to another entry VM.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use mangocross_serving::AnswerAuthor;
use mangocross_types::RunOutcome;

use crate::answer_body::AnswerBody;
use crate::outcome::OwnAnswer;
use crate::peer_forwarding::CUT_OFF;
use crate::peer_forwarding::PASSED_ON_BY;

/// Holds the nonce of the request and the author of the answer.
const AUTHOR: HeaderName = HeaderName::from_static("mangocross-answer-of");
/// Separates the name of the entry VM from the nonce, and the nonce from the author.
const SEPARATOR: char = ' ';

/// A random number that one entry VM sends with a request that it passes on, and that the other one
/// repeats in its answer.
///
/// It reaches no server and no caller, so none of them can forge it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerNonce(String);

impl PeerNonce {
    pub(crate) fn new() -> Self {
        Self(format!("{:016x}", fastrand::u64(..)))
    }

    /// Reads the nonce of a request that was passed on; `None` if an earlier build did.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(&PASSED_ON_BY)?.to_str().ok()?;
        value.rsplit_once(SEPARATOR).map(|it| Self(it.1.to_owned()))
    }

    /// Returns the header of a request that the entry VM `name` passes on.
    pub(crate) fn requested_by(&self, name: &str) -> HeaderValue {
        let value = HeaderValue::from_str(&format!("{name}{SEPARATOR}{}", self.0));
        value.unwrap_or_else(|_| header_value(format!("unnamed{SEPARATOR}{}", self.0)))
    }

    /// Returns who the author of an answer to the request with this nonce is, if the answer says so.
    pub(crate) fn author(&self, headers: &HeaderMap) -> Option<AnswerAuthor> {
        let (nonce, author) = headers.get(AUTHOR)?.to_str().ok()?.split_once(SEPARATOR)?;
        author.parse().ok().filter(|_| nonce == self.0)
    }

    /// Adds to an answer who its author is.
    pub(crate) fn add_author(&self, response: &mut Response<AnswerBody>) {
        let author = match response.extensions().get::<OwnAnswer>() {
            None => AnswerAuthor::Server,
            Some(OwnAnswer(RunOutcome::NotRun)) if response.headers().contains_key(&CUT_OFF) => {
                AnswerAuthor::OwnCutOff
            }
            Some(OwnAnswer(RunOutcome::NotRun)) => AnswerAuthor::OwnNotRun,
            Some(OwnAnswer(RunOutcome::Ran | RunOutcome::Unknown)) => AnswerAuthor::OwnUnknown,
        };
        let value = header_value(format!("{}{SEPARATOR}{author}", self.0));
        response.headers_mut().insert(AUTHOR, value);
    }
}

fn header_value(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
}
