//! Streams of events at a pace, over real sockets and in real time.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream, time::Instant};

use super::{header, server::Responder};

/// How a server answers.
#[derive(Debug, Clone, Copy)]
pub struct EventPace {
    /// Events of a whole stream.
    pub events: u64,
    /// Time until the head of the answer.
    pub head: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// A longer time after one event.
    pub pause: Option<(u64, Duration)>,
    /// It answers that it has not run the request.
    pub refuses: bool,
    /// The answer has neither a length nor chunks and ends with its connection.
    pub close_delimited: bool,
    /// Time for which a server that ends goes on listening after it has closed its connections.
    pub listens_on: Duration,
}

impl Default for EventPace {
    fn default() -> Self {
        let (head, gap) = (Duration::ZERO, Duration::from_millis(10));
        Self {
            events: 20,
            head,
            gap,
            pause: None,
            refuses: false,
            close_delimited: false,
            listens_on: Duration::ZERO,
        }
    }
}

impl EventPace {
    /// The head of a stream.
    pub fn begin(&self, id: &str) -> String {
        let framing = match self.close_delimited {
            true => "connection: close",
            false => "transfer-encoding: chunked",
        };
        format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n{framing}\r\n\r\n"
        )
    }
}

/// The server stops in the middle of a stream once the deadline that it was given has passed.
impl Responder for EventPace {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        answer(stream, *self, head).await
    }
}

async fn answer(stream: &mut TcpStream, pace: EventPace, head: &str) -> std::io::Result<()> {
    let id = header(head, "x-id").unwrap_or_default();
    let given = header(head, "x-deadline").and_then(|text| text.parse().ok()).unwrap_or(60_000);
    let until = Instant::now() + Duration::from_millis(given);
    if pace.refuses {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes()).await;
    }
    tokio::time::sleep(pace.head).await;
    stream.write_all(pace.begin(id).as_bytes()).await?;
    let after = header(head, "x-last").and_then(|last| last.parse().ok()).unwrap_or(0u64);
    for event in after + 1..=pace.events {
        if Instant::now() >= until {
            return Ok(());
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = match pace.close_delimited {
            true => text,
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        stream.write_all(chunk.as_bytes()).await?;
        let longer = pace.pause.filter(|(at, _)| *at == event).map(|(_, pause)| pause);
        tokio::time::sleep(longer.unwrap_or(pace.gap)).await;
    }
    let end: &[u8] = if pace.close_delimited { b"" } else { b"0\r\n\r\n" };
    stream.write_all(end).await
}
