//! Kept connections that go silent for good, while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_http::{CallRequest, Connections};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time of a whole call: far more than these tests take, so that only silence ends one.
const CALL_TIME: Duration = Duration::from_secs(60);

/// Silence after which a call is given up.
const SILENCE: Duration = Duration::from_secs(2);

/// Largest answer.
const MOST: usize = 1 << 10;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server whose connections that came up before a moment go silent then.
#[derive(Debug, Default)]
struct HalfDeafServer {
    /// Connections that have come up.
    accepted: AtomicU32,
    /// The first so many of them are not answered any more.
    silent: AtomicU32,
}

impl HalfDeafServer {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let serving = server.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("the listener works");
                let number = serving.accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serving.clone().serve(number, stream));
            }
        });
        (server, address)
    }

    async fn serve(self: Arc<Self>, number: u32, mut stream: TcpStream) {
        let mut request = [0; 1 << 10];
        while let Ok(1..) = stream.read(&mut request).await {
            // Calls that are under way together need a connection each.
            tokio::time::sleep(Duration::from_millis(50)).await;
            if number >= self.silent.load(Ordering::Relaxed)
                && stream.write_all(ANSWER.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    fn silence_connections(&self) {
        self.silent.store(self.accepted.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

async fn call(connections: &Connections, address: SocketAddr) -> bool {
    let request = CallRequest::get("/").silent_for(SILENCE);
    connections.call(address, request, MOST, CALL_TIME).await.is_ok()
}

/// One call is lost to find out; the others that rested must not take a call each.
#[gtest]
#[tokio::test]
async fn a_silent_connection_takes_down_those_that_rest_beside_it() {
    let (server, address) = HalfDeafServer::start().await;
    let connections = Connections::default();
    let calls = (0..4).map(|_| call(&connections, address));
    let answered = futures_util::future::join_all(calls).await;
    assert_that!(answered, each(eq(&true)));
    assert_that!(server.accepted.load(Ordering::Relaxed), eq(4));
    server.silence_connections();
    expect_that!(call(&connections, address).await, eq(false));
    for _ in 0..4 {
        expect_that!(call(&connections, address).await, eq(true));
    }
}

/// A connection that has answered since the lost call was sent is kept.
#[gtest]
#[tokio::test]
async fn a_connection_that_has_answered_meanwhile_is_kept() {
    let (server, address) = HalfDeafServer::start().await;
    let connections = Connections::default();
    expect_that!(call(&connections, address).await, eq(true));
    server.silence_connections();
    let lost = call(&connections, address);
    let other = async {
        tokio::time::sleep(SILENCE / 3).await;
        call(&connections, address).await
    };
    let (lost, other) = futures_util::future::join(lost, other).await;
    expect_that!((lost, other), eq((false, true)));
    expect_that!(call(&connections, address).await, eq(true));
    expect_that!(server.accepted.load(Ordering::Relaxed), eq(2), "nothing is opened in vain");
}
