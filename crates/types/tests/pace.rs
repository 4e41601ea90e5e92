//! Checked input of a server's pace. Guards against values that would distort predictions: not a number,
//! zero, negative or huge.

use googletest::prelude::*;
use headlatch_types::pace::ServerPace;

#[gtest]
fn values_outside_the_range_are_rejected() {
    for factor in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 0.09, 100.1, 1e300] {
        expect_that!(ServerPace::try_from(factor), err(anything()), "{factor}");
    }
    for hundredths in [0, 9, 10_001, u32::MAX] {
        expect_that!(ServerPace::from_hundredths(hundredths), err(anything()), "{hundredths}");
    }
    for text in ["", "fast", "-2", "NaN", "1e9"] {
        expect_that!(text.parse::<ServerPace>(), err(anything()), "{text}");
    }
}

#[gtest]
fn valid_values_keep_hundredths_through_text_and_notices() {
    for factor in [0.1, 0.99, 1.0, 1.25, 2.5, 5.0, 100.0] {
        let pace = ServerPace::try_from(factor).expect("a pace");
        expect_that!(pace.factor(), eq(factor));
        expect_that!(pace.to_string().parse::<ServerPace>(), eq(&Ok(pace)));
        expect_that!(ServerPace::from_hundredths(pace.hundredths()), eq(&Ok(pace)));
    }
}

#[gtest]
fn error_shows_only_the_start_of_a_long_value() {
    let error = "9".repeat(5_000).parse::<ServerPace>().expect_err("it is huge");
    expect_that!(error.to_string().len(), le(120));
}
