//! Numeric newtypes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A text is not a valid number, or not a valid [`RunOutcome`](crate::RunOutcome).
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a valid {what}: use a whole number in range"))]
pub struct NumberError {
    /// What was expected, for example `rank` or `run outcome`.
    pub what: &'static str,
    /// Text that could not be parsed.
    pub text: String,
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, NumberError> {
                let error = || NumberError { what: $what, text: text.to_owned() };
                text.parse().map(Self).map_err(|_| error())
            }
        }
    };
}

number!(
    /// Number of one formation of a group, from a counter of its fabric domain; rises each time a
    /// group of the domain is formed or re-formed.
    Incarnation,
    u64,
    "incarnation"
);
number!(
    /// Fencing number of a fabric domain's owner; rises with every takeover.
    FencingNumber,
    u64,
    "fencing number"
);
number!(
    /// Revision of a value in the platform's store; zero means absent.
    Revision,
    u64,
    "revision"
);
number!(
    /// Number of returns of the platform's store to an older copy of itself; zero if it tells none.
    StoreEra,
    u64,
    "store era"
);
number!(
    /// Position of a member in its group; rank zero receives the requests.
    Rank,
    u16,
    "rank"
);
number!(
    /// Number of members of a complete group.
    GroupSize,
    u16,
    "group size"
);
number!(
    /// Position of a token in an answer, from zero.
    TokenIndex,
    u32,
    "token index"
);
number!(
    /// Priority of a request; a larger number goes first.
    Priority,
    u8,
    "priority"
);
number!(
    /// Limit of a customer's request rate, in requests per second.
    RequestsPerSecond,
    u32,
    "request rate"
);

impl Incarnation {
    /// Returns the next incarnation.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl FencingNumber {
    /// Returns the next fencing number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
