//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;

/// Requests a second: a finite number that is not negative.
///
/// # Examples
///
/// ```
/// use mangocross_types::RequestRate;
///
/// let rate: RequestRate = "4.2".parse().expect("a decimal number");
/// assert_eq!(rate.per_s(), 4.2);
/// assert_eq!(rate.to_string(), "4.2/s");
/// assert!("1e400".parse::<RequestRate>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = NumberError;

    /// # Errors
    ///
    /// Fails if the number is negative or not finite.
    fn try_from(per_s: f64) -> Result<Self, NumberError> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(Self(per_s)).ok_or_else(|| error(per_s.to_string()))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = NumberError;

    /// Parses a decimal number of requests a second, with an optional unit `/s`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not made of digits and at most one point, or is beyond all measure.
    fn from_str(text: &str) -> Result<Self, NumberError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let is_decimal = number.starts_with(|it: char| it.is_ascii_digit())
            && number.chars().all(|it| it.is_ascii_digit() || it == '.');
        let per_s = is_decimal.then(|| number.parse::<f64>().ok()).flatten();
        per_s.and_then(|it| it.try_into().ok()).ok_or_else(|| error(text.to_owned()))
    }
}

fn error(text: String) -> NumberError {
    /// Maximum number of characters of a text that an error shows.
    const SHOWN_CHARS_MAX: usize = 40;
    NumberError { what: "request rate", text: text.chars().take(SHOWN_CHARS_MAX).collect() }
}
