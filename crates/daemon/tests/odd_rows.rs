//! Rows of another writer in the lists of the platform's object API. Guards against one row that hides all others.

mod support;

use std::sync::Arc;

use googletest::prelude::*;
use headlatch_daemon::platform::{HttpStore, ObjectStore};
use support::server::{Responder, TestServer};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Answers every request with this list.
#[derive(Clone)]
struct ListAnswer(Arc<[u8]>);

impl Responder for ListAnswer {
    async fn answer(&self, stream: &mut TcpStream, _head: &str) -> std::io::Result<()> {
        let length = self.0.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &self.0].concat()).await
    }
}

async fn store_listing(rows: &[&[u8]]) -> (HttpStore, TestServer) {
    let body = [b"[", &rows.join(&b","[..])[..], b"]"].concat();
    let server = TestServer::start(ListAnswer(body.into())).await;
    let url = format!("http://{}", server.address).parse().expect("a URL");
    (HttpStore::new(url), server)
}

/// A node that started knew no other node as long as the row stood.
#[gtest]
#[tokio::test]
async fn an_odd_member_hides_no_other() {
    let sound: &[u8] =
        br#"{"box":"b1","domain":"z1","region":"r1","control":"127.0.0.1:7","leaving":false}"#;
    let odd: [&[u8]; 6] = [
        br#"{"box":"b 2","domain":"z1","region":"r1","control":"127.0.0.1:7"}"#,
        br#"{"box":"b2","domain":"z1","region":"r1","control":"none"}"#,
        br#"{"box":"b2"}"#,
        b"{\"box\":\"b\xff\",\"domain\":\"z1\",\"region\":\"r1\",\"control\":\"127.0.0.1:7\"}",
        b"null",
        b"[]",
    ];
    for row in odd {
        let (store, _server) = store_listing(&[row, sound]).await;
        let listed = store.members().await.expect("a list");
        expect_that!(listed.rows.len(), eq(1));
        expect_that!(listed.rows[0].id.as_str(), eq("b1"));
        expect_that!(listed.unreadable.len(), eq(1));
        expect_that!(listed.unreadable[0].path, starts_with("[0]."));
    }
}

#[gtest]
#[tokio::test]
async fn an_odd_object_hides_no_other() {
    let sound: &[u8] = br#"{"key":"status/z1","version":3,"value":"{}"}"#;
    for row in [&br#"{"key":"status/z2","version":"x","value":"{}"}"#[..], b"7"] {
        let (store, _server) = store_listing(&[sound, row]).await;
        let listed = store.list("status/").await.expect("a list");
        expect_that!(listed.rows.len(), eq(1));
        expect_that!(listed.rows[0].0, eq("status/z1"));
        expect_that!(listed.unreadable[0].path, starts_with("[1]."));
    }
}
