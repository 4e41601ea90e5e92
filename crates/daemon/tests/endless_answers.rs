//! A server that sends an entry bytes without end that are no answer. Guards against reading them until the deadline of
//! the request, and against asking that server again as if nothing had been.

mod support;

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use support::{
    ask, header, plan,
    server::{Responder, Script, TestServer},
    two_servers::start_entry,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, timeout},
};

/// Time within which a request is answered whose server sends bytes without end; their deadline is 15 s.
const MAX_ANSWER: Duration = Duration::from_secs(3);

/// Sends a head and then the same bytes until the connection is closed.
#[derive(Debug, Clone, Copy)]
struct EndlessServer {
    /// A head of an answer to the request, without its end.
    head: &'static str,
    repeated: &'static str,
}

impl Responder for EndlessServer {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let id = header(head, "x-id").unwrap_or_default();
        stream.write_all(self.head.replace("{id}", id).as_bytes()).await?;
        let block = self.repeated.repeat(1000);
        loop {
            stream.write_all(block.as_bytes()).await?;
        }
    }
}

fn sound(head: &str) -> Vec<u8> {
    let id = header(head, "x-id").unwrap_or_default();
    let body = "id: 1\ndata: piece\n\n";
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ntransfer-encoding: chunked\r\n\r\n";

#[rstest]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::zeros_of_a_chunk_size(CHUNKED, "0000000000000000")]
#[case::empty_lines("", "\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\na: ", "b")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n"
)]
#[tokio::test]
async fn a_server_that_sends_bytes_without_end_is_left_at_once(
    #[case] head: &'static str,
    #[case] repeated: &'static str,
    #[values("/safe/a", "/stream/a", "/once/a")] path: &str,
) {
    let endless = TestServer::start(EndlessServer { head, repeated }).await;
    let other = TestServer::start(sound as Script).await;
    let entry = start_entry(plan(5), [&endless, &other], Duration::from_secs(1)).await;
    let begun = Instant::now();
    let answer = timeout(MAX_ANSWER, ask(entry.address, path, "k")).await;
    let answer = answer.unwrap_or_else(|_| panic!("no answer within {:?}", begun.elapsed()));
    match path {
        // A stream whose head has been passed on goes on at the other server.
        "/safe/a" | "/stream/a" => assert_eq!(answer.expect("answer").status, StatusCode::OK),
        _ => assert_eq!(answer.expect("answer").status, StatusCode::BAD_GATEWAY),
    }
    // The next request finds a server that has just failed.
    let next = ask(entry.address, "/safe/a", "k").await.expect("answer");
    assert_eq!(next.status, StatusCode::OK);
    assert_eq!(endless.seen().len(), 1);
}
