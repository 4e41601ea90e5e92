//! A path to a server that can be cut: what is under way arrives once it is restored.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::{Builder, Runtime},
    sync::watch,
};

/// Forwards connections to a server while the path is whole.
#[derive(Debug)]
pub struct CutPath {
    /// Where connections to the server are accepted.
    pub address: SocketAddr,
    is_whole: Arc<watch::Sender<bool>>,
    runtime: Option<Runtime>,
}

impl CutPath {
    /// A whole path to `server`.
    pub fn to(server: SocketAddr) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let is_whole = Arc::new(watch::channel(true).0);
        let state = is_whole.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, server, state.subscribe()));
            }
        });
        Self { address, is_whole, runtime: Some(runtime) }
    }

    /// Holds back everything, the ends of connections included.
    pub fn cut(&self) {
        self.is_whole.send_replace(false);
    }

    /// Delivers what was held back.
    pub fn restore(&self) {
        self.is_whole.send_replace(true);
    }
}

impl Drop for CutPath {
    fn drop(&mut self) {
        // A runtime must not be dropped inside of another one.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn forward(near: TcpStream, server: SocketAddr, mut is_whole: watch::Receiver<bool>) {
    if is_whole.wait_for(|whole| *whole).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(server).await else { return };
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    tokio::spawn(copy(near_read, far_write, is_whole.clone()));
    copy(far_read, near_write, is_whole).await;
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_whole: watch::Receiver<bool>,
) {
    let mut buffer = [0; 4096];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if is_whole.wait_for(|whole| *whole).await.is_err() || read == 0 {
            // The peer may have closed its side already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
