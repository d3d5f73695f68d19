//! A small JSON reader; values are written with `format!`.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(it) => it.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(it) => it,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(it) => *it as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(it) => it,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    out.push(match *self.bytes.get(self.at + 1)? {
                        b'n' => b'\n',
                        b'r' => b'\r',
                        b't' => b'\t',
                        it => it,
                    });
                    self.at += 2;
                }
                it => {
                    out.push(it);
                    self.at += 1;
                }
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.at += 1;
        let mut out = Vec::new();
        if self.take(b']') {
            return Some(Json::List(out));
        }
        loop {
            out.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(out));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut out = BTreeMap::new();
        if self.take(b'}') {
            return Some(Json::Table(out));
        }
        loop {
            self.skip();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            out.insert(name, self.value()?);
            if self.take(b'}') {
                return Some(Json::Table(out));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }
}

/// Standard base64 with padding.
pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, it| bits << 8 | u32::from(*it)) << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

/// Decodes standard base64.
pub fn unbase64(text: &str) -> Vec<u8> {
    let value = |it: u8| match it {
        b'A'..=b'Z' => it - b'A',
        b'a'..=b'z' => it - b'a' + 26,
        b'0'..=b'9' => it - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut out = Vec::new();
    for part in text.trim_end_matches('=').as_bytes().chunks(4) {
        let bits = part.iter().fold(0_u32, |bits, it| bits << 6 | u32::from(value(*it))) << (6 * (4 - part.len()));
        out.extend_from_slice(&bits.to_be_bytes()[1..part.len()]);
    }
    out
}
