//! JSON, base64 and HTTP/1.1, as far as the stand-ins need them.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(it) => it.iter().find(|it| it.0 == name).map_or(&Json::Null, |it| &it.1),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(it) = self { it } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(it) = self { Some(*it as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(it) = self { it } else { &[] }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn takes(&mut self, byte: u8) -> bool {
        self.space();
        let takes = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(takes);
        takes
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut table = Vec::new();
                if self.takes(b'}') {
                    return Some(Json::Table(table));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.takes(b':').then_some(())?;
                    table.push((name, self.value()?));
                    if !self.takes(b',') {
                        return self.takes(b'}').then_some(Json::Table(table));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.takes(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if !self.takes(b',') {
                        return self.takes(b']').then_some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&b'"')).then_some(())?;
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    match *self.text.get(self.at)? {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at + 1..self.at + 5)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().into_bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(bytes).ok()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0_u32, |sum, it| sum << 8 | u32::from(*it));
        let number = number << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|it| DIGITS.iter().position(|digit| *digit == it));
    let digits: Vec<usize> = digits.collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let number = part.iter().fold(0, |sum, it| sum << 6 | it) << (6 * (4 - part.len()));
        (0..part.len() - 1).for_each(|at| bytes.push((number >> (16 - 8 * at) & 255) as u8));
    }
    bytes
}

/// A request that a stand-in received.
pub struct Request {
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads a request; `None` at the end of the connection.
    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let head = read_head(stream)?;
        let mut lines = head.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let target = first.nth(1)?.to_owned();
        let mut this = Self { target, headers: headers(lines), body: Vec::new() };
        this.body = read_body(stream, &this.headers)?;
        Some(this)
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> &str {
        let pairs = self.target.split_once('?').map_or("", |it| it.1).split('&');
        let found = pairs.filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
        found.map_or("", |it| it.1)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|it| it.split_once(':'));
    pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect()
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|it| it.0 == name).map_or("", |it| &it.1)
}

fn read_body(stream: &mut TcpStream, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = header(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// Writes an answer; returns whether it could be written.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    stream.write_all(text.as_bytes()).is_ok()
}
