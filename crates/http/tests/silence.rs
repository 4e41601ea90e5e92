//! Idle timeout of calls: aborts a response that stalls, but not one that is slow.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_http::{CallRequest, Connections};
use tokio::{io::AsyncWriteExt, net::TcpListener};

/// Time limit of a whole call, far above the duration of these tests, so that only the idle timeout applies.
const CALL_TIME: Duration = Duration::from_secs(60);

const MAX_RESPONSE_BYTES: usize = 1 << 10;

/// A server that sends the parts of a response with a pause before each, and then stalls.
async fn server(parts: &'static [&'static str], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for part in parts {
            tokio::time::sleep(pause).await;
            stream.write_all(part.as_bytes()).await.expect("the client is connected");
        }
        std::future::pending::<()>().await;
    });
    address
}

#[gtest]
#[tokio::test]
async fn stalled_responses_time_out() {
    for parts in [&[][..], &["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", "ab"][..]] {
        let address = server(parts, Duration::ZERO).await;
        let request = CallRequest::get("/").with_idle_timeout(Duration::from_millis(200));
        let answer =
            Connections::default().call(address, request, MAX_RESPONSE_BYTES, CALL_TIME).await;
        let error = answer.expect_err("the response is incomplete");
        expect_that!(error.message, eq("silent for 200 ms"));
    }
}

#[gtest]
#[tokio::test]
async fn slow_responses_are_read_completely() {
    let parts = &["HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n", "a", "b", "c", "d", "e", "f"];
    let address = server(parts, Duration::from_millis(300)).await;
    // Sending all parts takes longer than the idle timeout.
    let request = CallRequest::get("/").with_idle_timeout(Duration::from_secs(2));
    let answer = Connections::default().call(address, request, MAX_RESPONSE_BYTES, CALL_TIME).await;
    expect_that!(&answer.expect("a complete response").body[..], eq(b"abcdef"));
}
