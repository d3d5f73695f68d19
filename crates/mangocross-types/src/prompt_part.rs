//! Identifiers of the parts of prompts.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::NumberError;

/// Number of hexadecimal digits that are kept of an id.
const DIGITS_MAX: usize = 16;

/// Id of a part of a prompt: the low 64 bits of the hexadecimal number that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let error = || NumberError { what: "prompt part", text: text.to_owned() };
        if text.is_empty() || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
            return Err(error());
        }
        let low = &text[text.len().saturating_sub(DIGITS_MAX)..];
        u64::from_str_radix(low, 16).map(Self).map_err(|_| error())
    }
}
