//! A server that answers one request per connection and then closes it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use super::read_head;

/// How a server responds.
pub trait Responder: Clone + Send + 'static {
    /// Responds to the request with this head.
    fn answer(
        &self,
        stream: &mut TcpStream,
        head: &str,
    ) -> impl Future<Output = std::io::Result<()>> + Send;
}

/// Computes the complete response to a request with this head.
pub type Script = fn(&str) -> Vec<u8>;

impl Responder for Script {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        stream.write_all(&self(head)).await
    }
}

/// A server that records its requests.
#[derive(Debug)]
pub struct TestServer {
    /// Listen address.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl TestServer {
    /// Starts a server on a free port.
    pub async fn start(plan: impl Responder) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("listener is bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let log = seen.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, plan.clone(), log.clone()));
            }
        });
        Self { address, seen }
    }

    /// Heads of the requests received so far.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("lock is not poisoned").clone()
    }
}

async fn serve(mut stream: TcpStream, plan: impl Responder, seen: Arc<Mutex<Vec<String>>>) {
    let Some(head) = read_head(&mut stream).await else { return };
    seen.lock().expect("lock is not poisoned").push(head.clone());
    // The caller may have disconnected.
    let _ = plan.answer(&mut stream, &head).await;
    let _ = stream.shutdown().await;
}
