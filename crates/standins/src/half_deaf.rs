//! A server whose open connections go silent for good at a moment, while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The whole answer to a request with this head.
pub type AnswerScript = fn(&str) -> Vec<u8>;

/// Time for an answer: requests that come together need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Longest head of a request.
const MOST_HEAD: usize = 4 << 10;

/// A server that keeps its connections and answers requests without a body.
#[derive(Debug)]
pub struct HalfDeafServer {
    /// Where it listens.
    pub address: SocketAddr,
    answer: AnswerScript,
    accepted: AtomicU32,
    /// The first so many connections are not answered any more.
    silent: AtomicU32,
}

impl HalfDeafServer {
    /// Starts a server on a free port of the loopback interface.
    pub async fn start(answer: AnswerScript) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (accepted, silent) = (AtomicU32::default(), AtomicU32::default());
        let server = Arc::new(Self { address, answer, accepted, silent });
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    /// Connections that have come up so far.
    pub fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Says nothing more on any connection that is open now.
    pub fn silence_connections(&self) {
        self.silent.store(self.accepted(), Ordering::Relaxed);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().serve(number, stream));
        }
    }

    async fn serve(self: Arc<Self>, number: u32, mut stream: TcpStream) {
        let mut head = vec![0; MOST_HEAD];
        while let Ok(read @ 1..) = stream.read(&mut head).await {
            tokio::time::sleep(ANSWER_TIME).await;
            let answer = (self.answer)(&String::from_utf8_lossy(&head[..read]));
            let is_silent = number < self.silent.load(Ordering::Relaxed);
            if !is_silent && stream.write_all(&answer).await.is_err() {
                // The caller has gone.
                return;
            }
        }
    }
}
