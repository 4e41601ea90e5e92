//! Servers that send bytes without end that make no response. Guards against reading and throwing them away until the
//! time limit of the call.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use headlatch_http::{CallRequest, Connections, ExchangeError};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// Time limit of a call, far above what any of these calls may take.
const CALL_TIME: Duration = Duration::from_secs(30);

/// Time within which a call to a server that sends without end has to fail.
const MAX_CALL: Duration = Duration::from_secs(10);

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Bytes that may be written to a connection before its end: what the client reads, and what the kernel holds.
const MAX_WRITTEN: u64 = 32 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

async fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).await.is_ok() {
        head.push(byte[0]);
    }
}

/// Sends `begin`, and then `repeated` until the client closes the connection; counts the bytes.
async fn endless_server(
    begin: &'static str,
    repeated: &'static str,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let written = Arc::new(AtomicU64::default());
    let count = written.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        let block = repeated.repeat((16 << 10) / repeated.len() + 1);
        let _ = stream.write_all(begin.as_bytes()).await;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            count.fetch_add(block.len() as u64, Ordering::Relaxed);
        }
    });
    (address, written)
}

async fn call(address: SocketAddr) -> Result<usize, ExchangeError> {
    let call = Connections::default();
    let call = call.call(address, CallRequest::get("/"), MAX_RESPONSE_BYTES, CALL_TIME);
    call.await.map(|response| response.body.len())
}

#[rstest]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::interim_responses_with_headers("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
#[case::zeros_of_a_chunk_size(CHUNKED, "0000000000000000")]
#[case::spaces_after_a_chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", " ")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;a=", "b")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")]
#[case::empty_lines("", "\r\n")]
#[case::status_line("HTTP/1.1 200 ", "O")]
#[case::header_line("HTTP/1.1 200 OK\r\na: ", "b")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::no_http("", "\u{1}\u{2}\u{3}\n")]
#[case::body_past_the_limit("HTTP/1.1 200 OK\r\n\r\n", "bytes")]
#[tokio::test]
async fn bytes_without_end_are_not_read_until_the_time_limit(
    #[case] begin: &'static str,
    #[case] repeated: &'static str,
) {
    let (address, written) = endless_server(begin, repeated).await;
    let begun = Instant::now();
    let answer = call(address).await;
    assert!(answer.is_err(), "{answer:?}");
    assert!(begun.elapsed() < MAX_CALL, "after {:?}", begun.elapsed());
    let written = written.load(Ordering::Relaxed);
    assert!(written < MAX_WRITTEN, "{written} bytes");
}

/// Serves one response and closes the connection.
async fn server_of(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        let _ = stream.write_all(&response).await;
        let _ = stream.shutdown().await;
    });
    address
}

fn chunked(chunk: &[u8], count: usize, extension: &str) -> Vec<u8> {
    let size = format!("{:08x}{extension}\r\n", chunk.len());
    let one = [size.as_bytes(), chunk, b"\r\n"].concat();
    [CHUNKED.as_bytes(), &one.repeat(count), b"0\r\n\r\n"].concat()
}

#[rstest]
#[case::a_byte_a_chunk(chunked(b"a", 200_000, ""), 200_000)]
#[case::signed_chunks(chunked(&[7; 4096], 150, ";chunk-signature=0123456789012345678901234567890123456789012345678901234567890123"), 4096 * 150)]
#[case::long(chunked(&[7; 1 << 20], 4, ""), 4 << 20)]
#[tokio::test]
async fn responses_with_much_framing_are_read_completely(
    #[case] response: Vec<u8>,
    #[case] length: usize,
) {
    let address = server_of(response).await;
    assert_eq!(call(address).await.expect("a complete response"), length);
}

#[tokio::test]
async fn some_interim_responses_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(500);
    let response = format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let address = server_of(response.into_bytes()).await;
    assert_eq!(call(address).await.expect("a complete response"), 2);
}
