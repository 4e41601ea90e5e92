//! Targets of calls. Guards against values that the server reads as a different target.

use googletest::prelude::*;
use headlatch_http::CallTarget;
use headlatch_standins::RequestLine;

fn read(target: &CallTarget) -> RequestLine {
    let line = RequestLine::read(&format!("GET {target} HTTP/1.1\r\n\r\n"));
    line.unwrap_or_else(|| panic!("{target} is refused"))
}

#[gtest]
#[test]
fn a_server_reads_every_value_as_it_was_given() {
    let single = (0..=0x7f_u8).map(|byte| char::from(byte).to_string());
    let further = ["é", "\u{10ffff}", "a&b=c", "a+b c", "%41", "..", "a/../b", "a?b#c", ""];
    let values = single.chain(further.map(str::to_owned)).flat_map(|value| {
        let inside = format!("a{value}b");
        [value, inside]
    });
    for value in values {
        let target = CallTarget::new("/objects").segment(&value);
        let target = target.parameter("num", 7).parameter("after", &value);
        let line = read(&target);
        expect_that!(line.segments, eq(&["objects".to_owned(), value.clone()]), "{target}");
        expect_that!(line.parameter("after"), some(eq(value.as_str())), "{target}");
        expect_that!(line.number("num"), some(eq(7)), "{target}");
    }
}

#[gtest]
#[test]
fn plain_values_are_sent_as_they_are() {
    let target = CallTarget::new("/piece").segment("m-1.b_c~").parameter("num", 5);
    expect_that!(target.as_str(), eq("/piece/m-1.b_c~?num=5"));
    expect_that!(CallTarget::from("/report").as_str(), eq("/report"));
}
