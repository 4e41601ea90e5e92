//! A stand-in of a plain server. Paths tell what it does with a request:
//! `/P/wait/MS/..` answers after MS milliseconds; `/P/parts/MS/..` sends the head without a length and half of
//! the body at once, and after MS milliseconds the other half, and then ends the connection. `/P/events/MS/..`
//! does the same with a stream of events.

use std::{
    fs::{File, OpenOptions},
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Request};

/// Milliseconds of the time of day.
pub fn time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|time| time.as_millis()).unwrap_or(0)
}

/// The body that a request with this id is answered with.
pub fn body_of(id: &str) -> String {
    let lines: Vec<String> = (1..=40).map(|line| format!("{id} line {line} of 40\n")).collect();
    lines.concat()
}

/// The events that a stream for a request with this id has.
pub fn events_of(id: &str) -> String {
    let events: Vec<String> = (1..=10).map(|event| format!("id: {event}\ndata: {id} event {event}\n\n")).collect();
    events.concat()
}

/// Length of the first half: whole lines or events.
fn first_half(body: &str) -> usize {
    let middle = body.len() / 2;
    body[middle..].find("\n\n").or_else(|| body[middle..].find('\n').map(|at| at - 1)).map_or(middle, |at| middle + at + 2)
}

struct Server {
    id: String,
    record: Mutex<File>,
}

/// Runs until the process is killed: `server ADDRESS ID RECORD`.
pub fn run(args: &[String]) {
    let [address, id, record] = args else { panic!("server ADDRESS ID RECORD") };
    let record = OpenOptions::new().create(true).append(true).open(record).expect("the record");
    let server = Arc::new(Server { id: id.clone(), record: Mutex::new(record) });
    let listener = TcpListener::bind(address).expect("the address of the server");
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    fn note(&self, text: &str) {
        let line = format!("{} server {} {text}\n", time_ms(), self.id);
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection is kept.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let instance = [("Instance-Id", self.id.as_str())];
        if request.path() == "/health" {
            return http::write_answer(writer, "200 OK", &instance, b"").is_ok();
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            self.note(&format!("declines {id}: 421"));
            return http::write_answer(writer, "421 Misdirected Request", &instance, b"").is_ok();
        }
        let words: Vec<&str> = request.path().split('/').collect();
        let time = words.get(3).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = body_of(&id);
        let stamp = format!("{}.{id}", self.id);
        self.note(&format!("runs {id} {} {}", request.method, request.target));
        let parts = match words.get(2) {
            Some(&"parts") => Some(("text/plain", body.clone())),
            Some(&"events") => Some(("text/event-stream", events_of(&id))),
            _ => None,
        };
        if let Some((kind, body)) = parts {
            let (first, second) = body.split_at(first_half(&body));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\nContent-Type: {kind}\r\nConnection: close\r\n\r\n{first}"
            );
            let _ = writer.write_all(head.as_bytes());
            self.note(&format!("sent the first half for {id}, {} of {} bytes", first.len(), body.len()));
            thread::sleep(Duration::from_millis(time));
            let _ = writer.write_all(second.as_bytes());
            self.note(&format!("sent the second half for {id}"));
            return false;
        }
        thread::sleep(Duration::from_millis(time));
        let headers = [("Request-Id", id.as_str()), ("Response-Stamp", stamp.as_str())];
        let sent = http::write_answer(writer, "200 OK", &headers, body.as_bytes());
        self.note(&format!("answered {id}, written: {}", sent.is_ok()));
        sent.is_ok()
    }
}
