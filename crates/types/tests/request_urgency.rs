//! The urgency of a request: its order and its text form.

use googletest::prelude::*;
use headlatch_types::traffic::RequestUrgency;
use proptest::prelude::*;

fn urgency(organisation: u8, route: u8) -> RequestUrgency {
    RequestUrgency { organisation, route }
}

/// Guards against the route's priority deciding where organisations differ.
#[gtest]
fn the_organisations_priority_takes_precedence() {
    let mut urgencies = [urgency(5, 0), urgency(1, 9), urgency(1, 2), urgency(0, 255)];
    urgencies.sort();
    let texts = urgencies.map(|urgency| urgency.to_string());
    expect_that!(texts, elements_are![eq("0.255"), eq("1.2"), eq("1.9"), eq("5.0")]);
}

/// Guards against a malformed text that is read as some urgency.
#[gtest]
fn malformed_texts_are_rejected() {
    for text in ["", "1", ".", "1.", ".1", "1.2.3", "256.0", "0.256", "-1.0", "+1.0", "1. 0", "a.b"]
    {
        expect_that!(text.parse::<RequestUrgency>(), err(anything()), "{text:?}");
    }
    let long = "9".repeat(1000).parse::<RequestUrgency>();
    expect_that!(long.map_err(|error| error.to_string().len()), err(lt(150)));
}

proptest! {
    /// Guards against a text form that does not lead back to the same urgency.
    #[test]
    fn the_text_form_leads_back_to_the_urgency(organisation: u8, route: u8) {
        let urgency = urgency(organisation, route);
        prop_assert_eq!(urgency.to_string().parse(), Ok(urgency));
    }
}
