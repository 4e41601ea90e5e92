//! A stand-in of a plain server, as a process of its own.
//!
//! `server ADDRESS ID LOG KIND`: the answers have no length (`unframed`, `long`) or one (`framed`, `grey`). Each answer has twenty
//! numbered lines, or as many as fill 200 KiB, and is sent in two parts with a pause between them, as a server that is still
//! at work does. A `grey` server fails nine of twenty requests after it has run them: 503 without `Not-Executed`.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Head, Peer};

/// Pause between the halves of an answer.
pub const PAUSE: Duration = Duration::from_millis(150);

/// The whole body of the answer to a request.
pub fn whole_body(request: &str, stream: bool) -> String {
    let lines = (1..=20).map(|line| match stream {
        true => format!("id: {line}\ndata: {request} piece {line} of 20\n\n"),
        false => format!("{request} line {line} of 20\n"),
    });
    lines.collect()
}

/// Size of the first part of a long answer.
pub const FIRST_PART: usize = 120 << 10;

/// The whole body of a long answer.
pub fn long_body(request: &str) -> String {
    let lines = (1..=4000).map(|line| format!("{request} {line:04} of 4000 {:-<24}\n", ""));
    lines.collect()
}

struct Server {
    id: String,
    log: Mutex<File>,
    framed: bool,
    long: bool,
    grey: bool,
    /// Requests that it has run.
    count: AtomicUsize,
}

impl Server {
    fn note(&self, text: &str) {
        let mut log = self.log.lock().unwrap();
        let _ = writeln!(log, "{text}");
        let _ = log.flush();
    }

    fn serve(&self, mut peer: Peer) {
        while let Ok(Some(head)) = peer.head() {
            let _ = peer.body(&head, false);
            let id = head.get("request-id").unwrap_or("").to_owned();
            let echo = format!("Request-Id: {id}\r\n");
            if head.get("expect-instance").is_some_and(|wanted| wanted != self.id) {
                let headers = format!("{echo}Instance-Id: {}\r\n", self.id);
                if peer.answer("421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if head.word() == "/health" {
                if peer
                    .answer("200 OK", &format!("{echo}Instance-Id: {}\r\n", self.id), b"ok\n")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if self.run(&mut peer, &head, &id).is_err() || !self.framed {
                return;
            }
        }
    }

    /// Answers with a failure after the request has run. It does not state that the request has not run.
    fn fail(&self, peer: &mut Peer, id: &str) -> std::io::Result<()> {
        std::thread::sleep(PAUSE);
        self.note(&format!("failed {id} by {} pid {}", self.id, std::process::id()));
        let headers = format!("Request-Id: {id}\r\nResponse-Stamp: {}.{id}\r\n", self.id);
        peer.answer("503 Service Unavailable", &headers, b"a part of the service did not answer\n")
    }

    fn run(&self, peer: &mut Peer, head: &Head, id: &str) -> std::io::Result<()> {
        self.note(&format!("run {id} {} by {} pid {}", head.word(), self.id, std::process::id()));
        if self.grey && self.count.fetch_add(1, Ordering::SeqCst) * 9 % 20 < 9 {
            return self.fail(peer, id);
        }
        let stream = head.word().contains("/stream/");
        let body = if self.long { long_body(id) } else { whole_body(id, stream) };
        let kind = if stream { "text/event-stream" } else { "text/plain" };
        let framing = match self.framed {
            true => format!("Content-Length: {}", body.len()),
            false => "Connection: close".to_owned(),
        };
        let first = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nContent-Type: {kind}\r\n{framing}\r\n\r\n",
            self.id
        );
        // The first half ends after the tenth line, or the tenth event.
        let half =
            if stream { body.match_indices("\n\n").nth(9).map(|(at, _)| at + 2) } else { None };
        let half =
            half.or_else(|| body.match_indices('\n').nth(9).map(|(at, _)| at + 1)).unwrap_or(0);
        let (half, pause) = if self.long { (FIRST_PART, 4 * PAUSE) } else { (half, PAUSE) };
        peer.send(first.as_bytes())?;
        peer.send(&body.as_bytes()[..half])?;
        std::thread::sleep(pause);
        peer.send(&body.as_bytes()[half..])?;
        self.note(&format!("whole {id} by {} pid {}", self.id, std::process::id()));
        Ok(())
    }
}

pub fn run(arguments: &[String]) -> i32 {
    let [address, id, log, kind] = arguments else { return 2 };
    let Ok(address) = address.parse::<SocketAddr>() else { return 2 };
    let Ok(log) = OpenOptions::new().create(true).append(true).open(log) else { return 2 };
    let Ok(listener) = TcpListener::bind(address) else { return 2 };
    let server = Arc::new(Server {
        id: id.clone(),
        log: Mutex::new(log),
        framed: kind == "framed" || kind == "grey",
        grey: kind == "grey",
        count: AtomicUsize::new(0),
        long: kind == "long",
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        std::thread::spawn(move || server.serve(Peer::new(stream)));
    }
    0
}
