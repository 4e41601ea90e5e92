//! Reused connections that stop responding without being closed, while new connections work.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_http::{CallRequest, Connections};
use headlatch_standins::half_deaf::HalfDeafServer;

/// Time limit of a whole call, far above the duration of these tests, so that only the idle timeout applies.
const CALL_TIME: Duration = Duration::from_secs(60);

/// Idle timeout of a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

const MAX_RESPONSE_BYTES: usize = 1 << 10;

fn answer(_head: &str) -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec()
}

async fn call(connections: &Connections, address: SocketAddr) -> bool {
    let request = CallRequest::get("/").with_idle_timeout(IDLE_TIMEOUT);
    connections.call(address, request, MAX_RESPONSE_BYTES, CALL_TIME).await.is_ok()
}

/// A single lost call must be enough to discard all idle connections that stopped responding.
#[gtest]
#[tokio::test]
async fn a_timeout_on_a_reused_connection_closes_idle_ones() {
    let server = HalfDeafServer::start(answer).await.expect("a port is free");
    let address = server.address;
    let connections = Connections::default();
    let calls = (0..4).map(|_| call(&connections, address));
    let answered = futures_util::future::join_all(calls).await;
    assert_that!(answered, each(eq(&true)));
    assert_that!(server.accepted(), eq(4));
    server.silence_connections();
    expect_that!(call(&connections, address).await, eq(false));
    for _ in 0..4 {
        expect_that!(call(&connections, address).await, eq(true));
    }
}

/// A connection that has responded since the lost call was sent stays in the pool.
#[gtest]
#[tokio::test]
async fn a_connection_with_a_recent_response_stays_in_the_pool() {
    let server = HalfDeafServer::start(answer).await.expect("a port is free");
    let address = server.address;
    let connections = Connections::default();
    expect_that!(call(&connections, address).await, eq(true));
    server.silence_connections();
    let lost = call(&connections, address);
    let other = async {
        tokio::time::sleep(IDLE_TIMEOUT / 3).await;
        call(&connections, address).await
    };
    let (lost, other) = futures_util::future::join(lost, other).await;
    expect_that!((lost, other), eq((false, true)));
    expect_that!(call(&connections, address).await, eq(true));
    expect_that!(server.accepted(), eq(2), "no unnecessary connection is opened");
}
