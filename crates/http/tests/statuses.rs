//! Responses with statuses that HTTP does not define, or that do not answer a request. Guards against handing them on as
//! answers, whoever is called.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use headlatch_http::{CallRequest, Connections, HttpCaller};
use headlatch_types::RunVerdict;
use http::{HeaderMap, Method};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn server(status_line: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let response = format!("{status_line}\r\ncontent-length: 2\r\n\r\nok");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(response.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

#[rstest]
#[tokio::test]
async fn a_status_that_is_no_final_one_of_http_is_no_answer(
    #[values(
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\nconnection: upgrade",
        "HTTP/1.1 199 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 1000 OK"
    )]
    status_line: &str,
) {
    let address = server(status_line).await;
    let time = Duration::from_secs(5);
    let called = Connections::default().call(address, CallRequest::get("/"), 1000, time).await;
    let error = called.expect_err("no answer");
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    let caller = HttpCaller::fresh();
    let sent = caller.send(address, Method::GET, "/", HeaderMap::new(), Bytes::new());
    let error = tokio::time::timeout(time, sent).await.expect("in time").expect_err("no answer");
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
}

#[rstest]
#[tokio::test]
async fn final_statuses_are_answers(#[values(200, 299, 304, 404, 429, 500, 599)] status: u16) {
    let address = server(&format!("HTTP/1.1 {status} X")).await;
    let time = Duration::from_secs(5);
    let called = Connections::default().call(address, CallRequest::get("/"), 1000, time).await;
    assert_eq!(called.expect("answer").status.as_u16(), status);
}
