//! Responses that stop in their head. Guards against taking what has arrived for an answer, whoever is called.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use headlatch_http::{CallRequest, Connections, HttpCaller};
use headlatch_types::{RunVerdict, quantity::ByteSize};
use http::{HeaderMap, Method};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TIME: Duration = Duration::from_secs(5);

const HEAD: &str = "HTTP/1.1 200 OK\r\na: b\r\ncontent-length: 2\r\n\r\n";

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// A server that gives so many whole answers on each connection, then one that stops after `at` bytes.
async fn server(whole: usize, at: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for _ in 0..whole {
                if !read_request(&mut stream).await {
                    break;
                }
                let _ = stream.write_all(format!("{HEAD}ok").as_bytes()).await;
            }
            if read_request(&mut stream).await {
                let _ = stream.write_all(&HEAD.as_bytes()[..at]).await;
            }
        }
    });
    address
}

#[rstest]
#[case::fresh(0)]
#[case::reused(1)]
#[tokio::test]
async fn a_response_that_stops_in_its_head_is_no_answer(#[case] whole: usize) {
    for at in 0..HEAD.len() {
        let address = server(whole, at).await;
        let connections = Connections::default();
        let call = || connections.call(address, CallRequest::get("/"), 1000, TIME);
        for _ in 0..whole {
            assert_eq!(call().await.expect("answer").body, "ok");
        }
        let error = call().await.expect_err("no answer");
        assert_eq!(error.verdict, RunVerdict::MayHaveRun, "{at}");

        let address = server(whole, at).await;
        let caller = HttpCaller::pooled();
        let call = || {
            let limits = (ByteSize::from_bytes(1000), TIME);
            caller.call(address, (Method::GET, "/"), HeaderMap::new(), Bytes::new(), limits)
        };
        for _ in 0..whole {
            assert_eq!(call().await.expect("answer").2, "ok");
        }
        let error = call().await.expect_err("no answer");
        assert_eq!(error.verdict, RunVerdict::MayHaveRun, "{at}");
    }
}
