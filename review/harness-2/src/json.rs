//! A small JSON value: enough for the bodies of the platform's store.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The digits as they were written, so that no precision is lost.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(digits) => digits.parse().ok(),
            _ => None,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(digits) => out.write_str(digits),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                out.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                out.write_str("]")
            }
            Json::Table(fields) => {
                out.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    out.write_str("\"")
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, expected: &[u8]) -> Option<()> {
    let found = bytes.get(*at..*at + expected.len())? == expected;
    *at += expected.len();
    found.then_some(())
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'n' => take(bytes, at, b"null").map(|()| Json::Null),
        b't' => take(bytes, at, b"true").map(|()| Json::Bool(true)),
        b'f' => take(bytes, at, b"false").map(|()| Json::Bool(false)),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b'[' => parse_list(bytes, at),
        b'{' => parse_table(bytes, at),
        _ => parse_number(bytes, at),
    }
}

fn parse_number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let begin = *at;
    while bytes.get(*at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
        *at += 1;
    }
    let digits = std::str::from_utf8(&bytes[begin..*at]).ok()?;
    digits.parse::<f64>().ok().map(|_| Json::Number(digits.to_owned()))
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, b"\"")?;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escape = *bytes.get(*at + 1)?;
                *at += 2;
                let c = match escape {
                    b'n' => '\n',
                    b'r' => '\r',
                    b't' => '\t',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                    }
                    other => other as char,
                };
                text.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

fn parse_list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    take(bytes, at, b"[")?;
    let mut items = Vec::new();
    loop {
        skip_blanks(bytes, at);
        if bytes.get(*at) == Some(&b']') {
            *at += 1;
            return Some(Json::List(items));
        }
        if !items.is_empty() {
            take(bytes, at, b",")?;
        }
        items.push(parse_value(bytes, at)?);
    }
}

fn parse_table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    take(bytes, at, b"{")?;
    let mut fields = Vec::new();
    loop {
        skip_blanks(bytes, at);
        if bytes.get(*at) == Some(&b'}') {
            *at += 1;
            return Some(Json::Table(fields));
        }
        if !fields.is_empty() {
            take(bytes, at, b",")?;
            skip_blanks(bytes, at);
        }
        let name = parse_text(bytes, at)?;
        skip_blanks(bytes, at);
        take(bytes, at, b":")?;
        fields.push((name, parse_value(bytes, at)?));
    }
}
