//! Request lines as servers read them: a query is split at `&`, `+` and escapes are decoded, and nothing behind `#`
//! counts. Lines with a blank, a byte outside printable ASCII or an invalid escape in the target are refused.

use percent_encoding::percent_decode_str;

/// A request line, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLine {
    /// Method.
    pub method: String,
    /// Segments of the path.
    pub segments: Vec<String>,
    query: Vec<(String, String)>,
}

impl RequestLine {
    /// Reads the request line that `head` begins with; `None` if servers refuse it.
    pub fn read(head: &str) -> Option<Self> {
        let line = head.split("\r\n").next()?;
        let words: Vec<&str> = line.split(' ').collect();
        let [method, target, "HTTP/1.1"] = words[..] else { return None };
        if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
            return None;
        }
        let target = target.split('#').next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let segments = path.strip_prefix('/')?.split('/').map(decode).collect::<Option<_>>()?;
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let decoded = pairs.map(|(name, value)| {
            Some((decode(&name.replace('+', " "))?, decode(&value.replace('+', " "))?))
        });
        Some(Self { method: method.to_owned(), segments, query: decoded.collect::<Option<_>>()? })
    }

    /// The last value of a parameter; as usual, a repeated one replaces those before it.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut values = self.query.iter().rev();
        values.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The same as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn decode(text: &str) -> Option<String> {
    let is_escape = |rest: &str| {
        rest.as_bytes().get(..2).is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    let is_valid = text.split('%').skip(1).all(is_escape);
    is_valid.then(|| percent_decode_str(text).decode_utf8().ok().map(String::from)).flatten()
}
