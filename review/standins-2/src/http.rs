//! A small blocking HTTP/1.1 reader and writer for stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message; names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a path in requests, a status in responses.
    pub fn word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// As announced by a length or by the last chunk, or there was none.
    Framed,
    /// With the connection, where nothing else tells the end.
    Closed,
    /// The connection ended before the announced end.
    Short,
    /// The connection was reset, or timed out.
    Broken,
}

/// A connection with what has been read beyond the last message.
pub struct Peer {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self::new(stream))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closed before it began.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                let after = self.rest.split_off(end + 4);
                let head = std::mem::replace(&mut self.rest, after);
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.trim_end().split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| {
                    (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                });
                return Ok(Some(Head { first, headers: headers.collect() }));
            }
            if self.more()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, length: usize) -> Result<Vec<u8>, (Vec<u8>, End)> {
        while self.rest.len() < length {
            match self.more() {
                Ok(0) => return Err((std::mem::take(&mut self.rest), End::Short)),
                Ok(_) => {}
                Err(_) => return Err((std::mem::take(&mut self.rest), End::Broken)),
            }
        }
        let after = self.rest.split_off(length);
        Ok(std::mem::replace(&mut self.rest, after))
    }

    fn line(&mut self) -> Result<String, End> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let after = self.rest.split_off(end + 2);
                let line = std::mem::replace(&mut self.rest, after);
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            match self.more() {
                Ok(0) => return Err(End::Short),
                Ok(_) => {}
                Err(_) => return Err(End::Broken),
            }
        }
    }

    /// Reads the body that belongs to `head`. `closes` tells that without a length the body ends with the connection.
    pub fn body(&mut self, head: &Head, closes: bool) -> (Vec<u8>, End) {
        let chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            let mut whole = Vec::new();
            loop {
                let size = match self.line() {
                    Ok(line) => line,
                    Err(end) => return (whole, end),
                };
                let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                else {
                    return (whole, End::Broken);
                };
                if size == 0 {
                    let end = self.line().map_or_else(|end| end, |_| End::Framed);
                    return (whole, end);
                }
                match self.exactly(size + 2) {
                    Ok(data) => whole.extend_from_slice(&data[..size]),
                    Err((data, end)) => {
                        whole.extend_from_slice(&data);
                        return (whole, end);
                    }
                }
            }
        }
        if let Some(length) = head.get("content-length").and_then(|value| value.parse().ok()) {
            return match self.exactly(length) {
                Ok(data) => (data, End::Framed),
                Err(cut) => cut,
            };
        }
        if !closes {
            return (Vec::new(), End::Framed);
        }
        loop {
            match self.more() {
                Ok(0) => return (std::mem::take(&mut self.rest), End::Closed),
                Ok(_) => {}
                Err(_) => return (std::mem::take(&mut self.rest), End::Broken),
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Answers with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut text =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
        text.extend_from_slice(body);
        self.send(&text)
    }
}
