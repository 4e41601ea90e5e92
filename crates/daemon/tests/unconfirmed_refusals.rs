//! Servers that answer with a status that promises callers that a request has not run, without saying so
//! themselves. Guards against passing such an answer on: its request may have run, and callers send it again.

mod support;

use std::time::Duration;

use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::CallResponse;
use http::StatusCode;
use rstest::rstest;
use support::{
    ask, header,
    server::{Script, TestServer},
    two_servers::{plan_with_live_streams, start_entry},
};

fn answer(head: &str, status: &str, lines: &str, body: &str) -> Vec<u8> {
    let id = header(head, "x-id").unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-sign: s\r\n{lines}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn request_timeout(head: &str) -> Vec<u8> {
    answer(head, "408 Request Timeout", "", "server's own text")
}

fn too_many_requests(head: &str) -> Vec<u8> {
    answer(head, "429 Too Many Requests", "retry-after: 0.2\r\n", "server's own text")
}

fn unavailable(head: &str) -> Vec<u8> {
    answer(head, "503 Service Unavailable", "retry-after: 0.2\r\n", "server's own text")
}

/// An answer without a length, of which nothing has been read when its head arrives.
fn unavailable_until_close(head: &str) -> Vec<u8> {
    let id = header(head, "x-id").unwrap_or_default();
    format!("HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-sign: s\r\nconnection: close\r\n\r\nserver's own text")
        .into_bytes()
}

fn unavailable_by_another_id(head: &str) -> Vec<u8> {
    answer(&head.replace("x-id: ", "x-id: other-"), "503 Service Unavailable", "", "not yours")
}

fn refused(head: &str) -> Vec<u8> {
    answer(head, "429 Too Many Requests", "x-not-run: 1\r\n", "")
}

fn misdirected(head: &str) -> Vec<u8> {
    answer(head, "421 Misdirected Request", "", "")
}

fn failed(head: &str) -> Vec<u8> {
    answer(head, "500 Internal Server Error", "", "server's own text")
}

fn served(head: &str) -> Vec<u8> {
    let events = "id: 1\ndata: piece\n\n";
    answer(head, "200 OK", "", if head.contains("/stream/") { events } else { "whole" })
}

struct Fixture {
    entry: DirectEntry,
    first: TestServer,
    second: TestServer,
}

impl Fixture {
    /// An entry with two servers, of which `first` is asked first.
    async fn new(first: Script, second: Script) -> Self {
        let (first, second) = (TestServer::start(first).await, TestServer::start(second).await);
        let plan = plan_with_live_streams();
        let entry = start_entry(plan, [&first, &second], Duration::from_secs(1)).await;
        Self { entry, first, second }
    }

    async fn ask(&self, path: &str) -> CallResponse {
        ask(self.entry.address, path, "k").await.expect("response")
    }

    fn sends(&self) -> usize {
        self.first.seen().len() + self.second.seen().len()
    }
}

#[rstest]
#[tokio::test]
async fn a_refusal_that_a_server_does_not_confirm_is_never_passed_on(
    #[values(request_timeout, too_many_requests, unavailable, unavailable_until_close)]
    script: Script,
    #[values("/once/a", "/live/a", "/safe/a", "/stream/a")] path: &str,
) {
    let fixture = Fixture::new(script, script).await;
    let answer = fixture.ask(path).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key("x-sign"), "a replaced answer carries no stamp");
    assert!(!String::from_utf8_lossy(&answer.body).contains("own text"));
    let is_repeatable = ["/safe/a", "/stream/a"].contains(&path);
    assert_eq!(fixture.sends(), if is_repeatable { 2 } else { 1 });
}

#[rstest]
#[tokio::test]
async fn a_repeatable_request_goes_on_elsewhere_after_an_unconfirmed_refusal(
    #[values(request_timeout, too_many_requests, unavailable)] script: Script,
    #[values("/safe/a", "/stream/a")] path: &str,
) {
    let fixture = Fixture::new(script, served).await;
    let answer = fixture.ask(path).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers.get("x-sign").map(|value| value.as_bytes()), Some(&b"s"[..]));
}

#[rstest]
#[case::not_run(refused)]
#[case::another_server(misdirected)]
#[tokio::test]
async fn a_confirmed_refusal_is_passed_on_only_as_a_refusal(#[case] script: Script) {
    let fixture = Fixture::new(script, script).await;
    let answer = fixture.ask("/once/a").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fixture.sends(), 2);
}

#[tokio::test]
async fn a_refusal_after_an_attempt_that_may_have_run_is_no_promise() {
    let fixture = Fixture::new(unavailable, refused).await;
    let answer = fixture.ask("/safe/a").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fixture.sends(), 2);
}

#[tokio::test]
async fn a_refusal_with_another_request_s_id_promises_nothing() {
    let fixture = Fixture::new(unavailable_by_another_id, served).await;
    assert_eq!(fixture.ask("/once/a").await.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fixture.sends(), 1);
}

#[tokio::test]
async fn a_failure_that_promises_nothing_is_passed_on_unchanged() {
    let fixture = Fixture::new(failed, failed).await;
    let answer = fixture.ask("/once/a").await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.headers.contains_key("x-sign"));
    assert_eq!(&answer.body[..], b"server's own text");
}
