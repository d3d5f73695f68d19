//! Numbered result codes; docs/ERRORS.md contains the same table.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal;)*) => {
        /// A numbered result code.
        ///
        /// 1xxx: the caller's input. 2xxx: limits and capacity. 3xxx: backend
        /// servers. 4xxx: idempotency keys. 5xxx: the platform. 6xxx: operators'
        /// commands and configuration. 7xxx: settings. 8xxx: this system.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes, in numeric order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns the name of the code.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$name),)*
                    _ => Err(format!("{number} is not a known result code")),
                }
            }
        }
    };
}

result_codes! {
    /// The request could not be parsed.
    MalformedRequest = 1001, 400;
    /// A header is missing or malformed.
    HeaderInvalid = 1002, 400;
    /// The body is larger than the limit.
    BodyTooLarge = 1003, 413;
    /// The customer is not configured.
    UnknownCustomer = 1004, 403;
    /// The request kind is not configured.
    UnknownKind = 1005, 400;
    /// The path is not served here.
    UnknownRoute = 1006, 404;
    /// The caller sent its request too slowly.
    SlowSender = 1007, 408;
    /// A request of this kind needs an idempotency key.
    KeyMissing = 1008, 400;
    /// The idempotency key is malformed.
    KeyInvalid = 1009, 400;
    /// The header is larger than the limit.
    HeaderTooLarge = 1010, 431;
    /// The customer's key is missing or unknown.
    CustomerKeyUnknown = 1011, 401;
    /// The customer's limit is exhausted.
    CustomerLimit = 2001, 429;
    /// The system sheds load.
    Overloaded = 2002, 503;
    /// No complete group serves this request.
    NoCompleteGroup = 2003, 503;
    /// The deadline cannot be met or has passed.
    DeadlineExceeded = 2004, 504;
    /// This entry VM is stopping.
    Stopping = 2005, 503;
    /// This entry VM cannot confirm that its configuration is in force.
    NotFresh = 2006, 503;
    /// The retry budget is exhausted.
    RetryBudget = 2007, 503;
    /// A part of the request's prompt crashed several servers.
    PromptQuarantined = 2008, 503;
    /// The request crashed several servers.
    RequestQuarantined = 2009, 503;
    /// The backend server could not be reached.
    BackendUnreachable = 3001, 502;
    /// The backend server refused the request before running it.
    BackendRefused = 3002, 503;
    /// The answer ended early.
    BackendBroken = 3003, 502;
    /// The backend server stopped responding.
    BackendSilent = 3004, 504;
    /// The answer of the backend server belongs to another request.
    BackendMismatch = 3005, 502;
    /// The idempotency key was used with another body.
    KeyBodyMismatch = 4001, 422;
    /// The idempotency key is in use by another customer.
    KeyCustomerMismatch = 4002, 422;
    /// The first attempt with this key has not ended.
    ClaimInProgress = 4003, 409;
    /// The first attempt with this key ended with an unknown outcome.
    OutcomeUnknown = 4004, 409;
    /// The idempotency key is older than the retention time.
    KeyExpired = 4005, 422;
    /// The request ran before; its answer was too large to be stored.
    AnswerNotKept = 4006, 409;
    /// The platform's store does not answer.
    StoreUnavailable = 5001, 503;
    /// A store write's answer was lost.
    StoreAnswerLost = 5002, 503;
    /// The platform does not answer.
    PlatformUnavailable = 5003, 503;
    /// The command could not be parsed.
    CommandSyntax = 6001, 400;
    /// The command was based on a revision that is not the newest.
    RevisionConflict = 6002, 409;
    /// The configuration that would result is not valid.
    ConfigurationInvalid = 6003, 422;
    /// The named object does not exist.
    NotFound = 6004, 404;
    /// The change is stored and not yet in force everywhere.
    NotYetInForce = 6005, 202;
    /// The operator's key is missing or unknown.
    OperatorUnknown = 6006, 401;
    /// The settings file is not valid.
    SettingsInvalid = 7001, 500;
    /// An internal error.
    Internal = 8001, 500;
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.name())
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}
