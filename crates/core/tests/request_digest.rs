//! Digests that identify equal requests.

use googletest::prelude::*;
use headlatch_core::direct::request_digest::{RequestContent, RequestDigest, RequestDigests};

const CONTENT: RequestContent<'_> = RequestContent {
    caller: Some("t1"),
    method: "POST",
    host: "a.example",
    path: "/x/y",
    query: Some("n=1"),
    body: b"body",
};

#[gtest]
fn the_same_content_has_the_same_digests() {
    expect_that!(RequestDigests::of(&CONTENT), eq(RequestDigests::of(&CONTENT.clone())));
}

#[gtest]
fn a_changed_query_changes_only_one_digest() {
    let first = RequestDigests::of(&CONTENT);
    let other = RequestDigests::of(&RequestContent { query: Some("n=2"), ..CONTENT });
    expect_that!(first.whole, not(eq(other.whole)));
    expect_that!(first.without_query, eq(other.without_query));
    expect_that!(first.iter().count(), eq(2));
    let none = RequestDigests::of(&RequestContent { query: None, ..CONTENT });
    expect_that!(none.iter().collect::<Vec<_>>(), eq(&vec![first.without_query]));
}

/// No caller's request may be taken for another caller's, and no part for its neighbour.
#[gtest]
fn every_part_changes_the_digests() {
    let others = [
        RequestContent { caller: Some("t2"), ..CONTENT },
        RequestContent { caller: None, ..CONTENT },
        RequestContent { caller: Some(""), ..CONTENT },
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { host: "b.example", ..CONTENT },
        RequestContent { path: "/x/", body: b"ybody", ..CONTENT },
        RequestContent { body: b"", ..CONTENT },
    ];
    let first = RequestDigests::of(&CONTENT);
    for other in others {
        let digests = RequestDigests::of(&other);
        expect_that!(digests.without_query, not(eq(first.without_query)), "{other:?}");
        expect_that!(digests.whole, not(eq(first.whole)), "{other:?}");
    }
}

#[gtest]
fn a_digest_parses_from_its_displayed_form() {
    let digest = RequestDigest(0x00ab_cdef_0123_4567);
    expect_that!(digest.to_string(), eq("00abcdef01234567"));
    expect_that!("00abcdef01234567".parse::<RequestDigest>(), ok(eq(&digest)));
    expect_that!("not one".parse::<RequestDigest>().is_err(), eq(true));
}
