//! Servers that send rate limits, drain announcements, backoffs and cold times in their response headers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{header, read_head};

/// How a server responds to a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum AnswerKind {
    /// Serves it.
    #[default]
    Served,
    /// Refuses it.
    Refused,
    /// Answers that it is another server.
    Misdirected,
}

/// How a server responds to every request.
#[derive(Debug, Clone, Default)]
struct AnswerScript {
    kind: AnswerKind,
    /// Additional header lines.
    lines: Vec<String>,
    /// Identifier of the server: requests for another one are answered that they are misdirected.
    identity: Option<String>,
    /// Until when it says that it is cold.
    cold_until: Option<Instant>,
}

/// A server that responds at once, on connections that stay open.
#[derive(Debug, Clone)]
pub struct SignalingServer {
    /// Listen address.
    pub address: SocketAddr,
    script: Arc<Mutex<AnswerScript>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl SignalingServer {
    /// Starts a server on a free port that sends no signals.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("listener is bound");
        let server = Self { address, script: Arc::default(), arrivals: Arc::default() };
        let served = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        server
    }

    /// Serves requests from now on, with these header lines in its responses.
    pub fn serve_with(&self, lines: &[&str]) {
        self.set(AnswerKind::Served, lines);
    }

    /// Refuses requests from now on, with these header lines in its responses.
    pub fn refuse_with(&self, lines: &[&str]) {
        self.set(AnswerKind::Refused, lines);
    }

    /// Answers from now on that it is another server than the one that requests are for.
    pub fn misdirect(&self) {
        self.set(AnswerKind::Misdirected, &[]);
    }

    fn set(&self, kind: AnswerKind, lines: &[&str]) {
        let lines = lines.iter().map(|line| (*line).to_owned()).collect();
        *self.script.lock().expect("lock is not poisoned") =
            AnswerScript { kind, lines, ..AnswerScript::default() };
    }

    /// Takes requests from now on only for `identity`, and says until `cold_until` that it is cold.
    pub fn serve_as(&self, identity: &str, cold_until: Option<Instant>) {
        let identity = Some(identity.to_owned());
        *self.script.lock().expect("lock is not poisoned") =
            AnswerScript { identity, cold_until, ..AnswerScript::default() };
    }

    /// Arrival times of the requests so far.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("lock is not poisoned").clone()
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            self.arrivals.lock().expect("lock is not poisoned").push(Instant::now());
            let answer = self.answer(&head);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &str) -> String {
        let AnswerScript { kind, lines, identity, cold_until } =
            self.script.lock().expect("lock is not poisoned").clone();
        let id = header(head, "request-id").unwrap_or_default();
        let expected = header(head, "expect-instance");
        let is_other = identity.is_some_and(|own| expected.is_some_and(|expected| expected != own));
        let status = match kind {
            _ if is_other => "421 Misdirected Request",
            AnswerKind::Served => "200 OK\r\nresponse-stamp: s",
            AnswerKind::Refused => "503 Service Unavailable\r\nnot-executed: 1",
            AnswerKind::Misdirected => "421 Misdirected Request",
        };
        let cold = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        let cold = cold.filter(|cold| !cold.is_zero());
        let cold = cold.map(|cold| format!("cold-ms: {}\r\n", cold.as_millis()));
        let lines: String =
            cold.into_iter().chain(lines.iter().map(|line| format!("{line}\r\n"))).collect();
        format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{lines}content-length: 2\r\n\r\nok")
    }
}

/// The maximum number of arrivals in any window of length `span` that begins at `from` or later.
pub fn max_in_window(arrivals: &[Instant], span: std::time::Duration, from: Instant) -> usize {
    let within =
        |first: Instant| arrivals.iter().filter(move |at| **at >= first && **at < first + span);
    let first = arrivals.iter().filter(|at| **at >= from);
    first.map(|first| within(*first).count()).max().unwrap_or(0)
}
