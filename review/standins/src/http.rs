//! The little of HTTP/1.1 that the stand-ins and the caller need.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a stand-in reads it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The value of a header; names are compared without case.
pub fn value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        value(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next request; `None` if the peer closed the connection before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut words = first.split_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("/").to_owned());
    let headers = read_headers(reader)?;
    let length = value(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes an answer with a length.
pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(&[text.as_bytes(), body].concat())
}

/// What a caller got for a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The answer ended as its framing says.
    pub whole: bool,
    /// How the connection ended, where the answer is not whole.
    pub error: String,
    pub sent: Instant,
    pub ended: Instant,
}

/// A request of a caller.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub time: Duration,
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, call: &Call) -> Answer {
    let sent = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        whole: false,
        error: String::new(),
        sent,
        ended: sent,
    };
    if let Err(error) = exchange(address, call, &mut answer) {
        answer.error = error.to_string();
    }
    answer.ended = Instant::now();
    answer
}

fn exchange(address: SocketAddr, call: &Call, answer: &mut Answer) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.time))?;
    let mut text = format!("{} {} HTTP/1.1\r\nConnection: close\r\n", call.method, call.path);
    for (name, value) in call.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !call.body.is_empty() || call.method == "POST" || call.method == "PUT" {
        text.push_str(&format!("Content-Length: {}\r\n", call.body.len()));
    }
    text.push_str("\r\n");
    (&stream).write_all(&[text.as_bytes(), call.body].concat())?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::Error::other("closed without an answer"));
    }
    answer.status = first.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = read_headers(&mut reader)?;
    let chunked = value(&answer.headers, "transfer-encoding").is_some_and(|text| text.contains("chunked"));
    let length: Option<usize> = value(&answer.headers, "content-length").and_then(|text| text.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::Error::other("closed in the middle of the answer"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            piece.truncate(size);
            answer.body.extend(piece);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        let got = reader.take(length as u64).read_to_end(&mut answer.body)?;
        if got < length {
            return Err(io::Error::other("closed in the middle of the answer"));
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.whole = true;
    Ok(())
}
