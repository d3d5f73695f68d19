//! A reader of the words of a line.

use std::str::FromStr;

use mangocross_types::did_you_mean;

use crate::ParseError;

/// Reads the words of a line one by one.
pub(crate) struct Words<'a> {
    rest: std::vec::IntoIter<&'a str>,
    /// The words read so far.
    consumed: Vec<&'a str>,
}

impl<'a> Words<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        let words: Vec<&str> = line.split_whitespace().collect();
        Self { rest: words.into_iter(), consumed: Vec::new() }
    }

    /// Reads the next word, which must be one of the known ones.
    pub(crate) fn one_of(&mut self, known: &[&'static str]) -> Result<&'static str, ParseError> {
        let word = self.next(&known.join(", "))?;
        known.iter().find(|it| **it == word).copied().ok_or_else(|| self.unknown(word, known))
    }

    /// Reads the next word, if there is one; it must be one of the known ones.
    pub(crate) fn option(
        &mut self,
        known: &[&'static str],
    ) -> Result<Option<&'static str>, ParseError> {
        if self.rest.as_slice().is_empty() { Ok(None) } else { self.one_of(known).map(Some) }
    }

    /// Reads the next word as a value.
    pub(crate) fn value<T: FromStr>(&mut self, what: &str) -> Result<T, ParseError>
    where
        T::Err: ToString,
    {
        let word = self.next(what)?;
        word.parse().map_err(|error| not_valid(what, word, &error))
    }

    /// Reads the next word as a comma-separated list; `none_word` denotes an empty one.
    pub(crate) fn list<T: FromStr>(
        &mut self,
        what: &str,
        none_word: &str,
    ) -> Result<Vec<T>, ParseError>
    where
        T::Err: ToString,
    {
        let word = self.next(what)?;
        if word == none_word {
            return Ok(Vec::new());
        }
        let items =
            word.split(',').map(|it| it.parse().map_err(|error| not_valid(what, it, &error)));
        items.collect()
    }

    /// Checks that no words remain.
    pub(crate) fn end(&mut self) -> Result<(), ParseError> {
        match self.rest.next() {
            None => Ok(()),
            Some(word) => Err(ParseError {
                message: format!("`{word}` is too much after `{}`", self.consumed.join(" ")),
            }),
        }
    }

    fn next(&mut self, expected: &str) -> Result<&'a str, ParseError> {
        let word = self.rest.next().ok_or_else(|| {
            let message = if self.consumed.is_empty() {
                format!("the line is empty; write one of: {expected}")
            } else {
                format!("after `{}` write: {expected}", self.consumed.join(" "))
            };
            ParseError { message }
        })?;
        self.consumed.push(word);
        Ok(word)
    }

    fn unknown(&self, word: &str, known: &[&'static str]) -> ParseError {
        let hint = did_you_mean(word, known.iter().copied());
        let before = &self.consumed[..self.consumed.len() - 1];
        let place = match before {
            [] => "at the start".to_owned(),
            _ => format!("after `{}`", before.join(" ")),
        };
        let message =
            format!("`{word}` is not known {place}{hint}; write one of: {}", known.join(", "));
        ParseError { message }
    }
}

fn not_valid(what: &str, word: &str, error: &impl ToString) -> ParseError {
    let message = error.to_string();
    if message.contains(word) {
        return ParseError { message };
    }
    ParseError { message: format!("`{word}` is not a valid {what}: {message}") }
}
