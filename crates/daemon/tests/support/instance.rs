//! Servers that crash and are replaced by another process at their address.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    task::JoinSet,
};

use super::{header, read_head};

/// How a server answers health checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthPace {
    /// At once, with its id.
    Free,
    /// With a refusal that does not name it.
    Busy,
    /// After this time.
    Slow(Duration),
}

/// How a server answers a request: with a body that ends with the connection.
#[derive(Debug, Clone, Copy)]
pub struct InstancePace {
    /// Time until the head and the first half of the body.
    pub head: Duration,
    /// Time between the two halves.
    pub pause: Duration,
    /// How it answers health checks.
    pub health: HealthPace,
    /// Whether the body has a length.
    pub has_length: bool,
    /// Whether it names itself when it turns away a request for another server.
    pub names_itself: bool,
}

/// A server process, in a thread of its own.
#[derive(Debug)]
pub struct InstanceServer {
    /// Where it listens.
    pub address: SocketAddr,
    process: Option<Runtime>,
}

impl InstanceServer {
    /// Starts server `id` at `address`.
    pub fn start(id: &'static str, address: SocketAddr, pace: InstancePace) -> Self {
        let process = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let process = process.expect("a runtime");
        let listener = process.block_on(TcpListener::bind(address)).expect("a free address");
        let address = listener.local_addr().expect("it is bound");
        process.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, id, pace));
            }
        });
        Self { address, process: Some(process) }
    }

    /// Ends it at once, with all of its connections.
    pub fn crash(&mut self) {
        if let Some(process) = self.process.take() {
            process.shutdown_timeout(Duration::from_secs(5));
        }
    }
}

impl Drop for InstanceServer {
    fn drop(&mut self) {
        // A runtime must not be dropped inside of another one.
        if let Some(process) = self.process.take() {
            process.shutdown_background();
        }
    }
}

/// Body of the answer to request `id`.
pub fn body_of(id: &str) -> String {
    (1..=10).map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect()
}

async fn serve(mut stream: TcpStream, id: &'static str, pace: InstancePace) {
    while let Some(head) = read_head(&mut stream).await {
        let kept = match head.starts_with("GET /health ") {
            true => answer_health(&mut stream, id, pace.health).await,
            false => answer(&mut stream, &head, id, pace).await,
        };
        if !kept.unwrap_or(false) {
            return;
        }
    }
}

async fn answer_health(
    stream: &mut TcpStream,
    id: &str,
    health: HealthPace,
) -> std::io::Result<bool> {
    if let HealthPace::Slow(time) = health {
        tokio::time::sleep(time).await;
    }
    let first = match health {
        HealthPace::Busy => "503 Service Unavailable\r\nx-not-run: 1".to_owned(),
        _ => format!("200 OK\r\nx-instance: {id}"),
    };
    stream.write_all(format!("HTTP/1.1 {first}\r\ncontent-length: 0\r\n\r\n").as_bytes()).await?;
    Ok(true)
}

async fn answer(
    stream: &mut TcpStream,
    head: &str,
    id: &str,
    pace: InstancePace,
) -> std::io::Result<bool> {
    if header(head, "x-server").is_some_and(|expected| expected != id) {
        let named = if pace.names_itself { format!("x-instance: {id}\r\n") } else { String::new() };
        let text = format!("HTTP/1.1 421 Misdirected Request\r\n{named}content-length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
        return Ok(true);
    }
    let request = header(head, "x-id").unwrap_or_default();
    let body = body_of(request);
    let middle = body[body.len() / 2..].find("\n\n").map_or(0, |at| body.len() / 2 + at + 2);
    let framing = match pace.has_length {
        true => format!("content-length: {}", body.len()),
        false => "connection: close".to_owned(),
    };
    let (first, second) = body.split_at(middle);
    tokio::time::sleep(pace.head).await;
    let begun =
        format!("HTTP/1.1 200 OK\r\nx-id: {request}\r\nx-sign: s\r\n{framing}\r\n\r\n{first}");
    stream.write_all(begun.as_bytes()).await?;
    tokio::time::sleep(pace.pause).await;
    stream.write_all(second.as_bytes()).await?;
    Ok(pace.has_length)
}
