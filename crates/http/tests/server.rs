//! Limits and graceful shutdown of the HTTP server, over real sockets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use headlatch_http::{BodyError, HttpCaller, HttpLimits, HttpServer, StopHandle, read_body};
use headlatch_types::{RunVerdict, quantity::ByteSize};
use http::{HeaderMap, Method, StatusCode};
use http_body::Frame;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
};
use tokio_stream::wrappers::ReceiverStream;
use volo_http::{
    body::Body,
    error::BoxError,
    request::Request,
    response::Response,
    server::{Router, route::get},
};

const LIMITS: (ByteSize, Duration) = (ByteSize::from_mib(1), Duration::from_secs(30));

async fn start(
    router: Router,
    limits: HttpLimits,
) -> (SocketAddr, StopHandle, tokio::task::JoinHandle<()>) {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), limits).await.unwrap();
    let address = server.address().unwrap();
    let (stop, signal) = StopHandle::new();
    (address, stop, tokio::spawn(server.serve(router, signal)))
}

fn echo() -> Router {
    Router::new().fallback(|request: Request| async move {
        let most = ByteSize::from_bytes(100);
        let read = read_body(request.into_body(), most, Duration::from_secs(30)).await;
        let (status, body) = match read {
            Ok(body) => (StatusCode::OK, body),
            Err(BodyError::TooLong) => (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
            Err(_) => (StatusCode::BAD_REQUEST, Bytes::new()),
        };
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = status;
        response
    })
}

async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn oversized_bodies_are_rejected_with_or_without_content_length() {
    let (address, _stop, _task) = start(echo(), HttpLimits::default()).await;
    let long = "x".repeat(101);
    let announced = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 101\r\n\r\n{long}"
    );
    assert!(exchange(address, &announced).await.starts_with("HTTP/1.1 413"));
    let chunked = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{long}\r\n0\r\n\r\n"
    );
    assert!(exchange(address, &chunked).await.starts_with("HTTP/1.1 413"));
}

#[tokio::test]
async fn malformed_and_oversized_heads_get_an_error() {
    let (address, _stop, _task) = start(echo(), HttpLimits::default()).await;
    assert!(exchange(address, "GARBAGE\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    assert!(exchange(address, &head).await.starts_with("HTTP/1.1 431"));
}

#[tokio::test]
async fn incomplete_request_heads_time_out() {
    let limits = HttpLimits { head_time: Duration::from_millis(100), ..HttpLimits::default() };
    let (address, _stop, _task) = start(echo(), limits).await;
    // The head is never completed; the read ends because the server closes the connection.
    let answer = exchange(address, "GET / HTTP/1.1\r\nhost:").await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn shutdown_completes_running_responses() {
    let (pieces, receiver) = mpsc::channel::<Result<Frame<Bytes>, BoxError>>(4);
    let receiver = Arc::new(Mutex::new(Some(receiver)));
    let begun = Arc::new(Notify::new());
    let handler_begun = begun.clone();
    let handler = move || async move {
        handler_begun.notify_one();
        let receiver = receiver.lock().unwrap().take().expect("it is called once");
        Response::new(Body::from_stream(ReceiverStream::new(receiver)))
    };
    let router = Router::new().route("/slow", get(handler));
    let (address, stop, task) = start(router, HttpLimits::default()).await;
    let call = tokio::spawn(async move {
        let target = (Method::GET, "/slow");
        HttpCaller::fresh().call(address, target, HeaderMap::new(), Bytes::new(), LIMITS).await
    });
    begun.notified().await;
    stop.stop();
    for piece in ["first ", "second ", "last"] {
        pieces.send(Ok(Frame::data(Bytes::from_static(piece.as_bytes())))).await.unwrap();
    }
    drop(pieces);
    let (status, _, body) = call.await.unwrap().unwrap();
    assert_eq!((status, &body[..]), (StatusCode::OK, &b"first second last"[..]));
    task.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err(), "the listener is closed");
}

#[tokio::test]
async fn refused_calls_did_not_run_and_interrupted_ones_may_have() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = || (Method::POST, "/");
    let cut = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1024];
        let _ = stream.read(&mut buffer).await;
    });
    let error = HttpCaller::fresh()
        .call(address, target(), HeaderMap::new(), Bytes::from("x"), LIMITS)
        .await
        .expect_err("it was cut off");
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    cut.await.unwrap();
    let error = HttpCaller::fresh()
        .call(address, target(), HeaderMap::new(), Bytes::from("x"), LIMITS)
        .await
        .expect_err("the listener is closed");
    assert_eq!(error.verdict, RunVerdict::NotRun);
}

/// The connection was closed without an answer.
#[tokio::test]
async fn requests_in_progress_at_the_end_of_the_drain_are_answered() {
    let begun = Arc::new(Notify::new());
    let handler_begun = begun.clone();
    let handler = move || async move {
        handler_begun.notify_one();
        std::future::pending::<Response>().await
    };
    let limits = HttpLimits { drain: Duration::from_secs(1), ..HttpLimits::default() };
    let (address, stop, task) = start(Router::new().route("/slow", get(handler)), limits).await;
    let call = tokio::spawn(exchange(address, "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"));
    begun.notified().await;
    stop.stop();
    let ended = tokio::time::timeout(Duration::from_secs(2), task).await;
    assert!(ended.is_ok(), "the drain does not end");
    assert!(call.await.unwrap().starts_with("HTTP/1.1 502"));
}
