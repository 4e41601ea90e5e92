//! Encoding of datagrams: encoded datagrams decode to the same value, and arbitrary bytes decode without
//! a panic.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::{
    peers::{DomainKey, DrainReport, PeerKind, PeerNotice},
    relays::{DomainRoster, DrainSum, PeerBundle, RelayedNotice, RosterMember},
};
use headlatch_daemon::direct::datagram::Datagram;
use headlatch_wire::SwarmNotes;
use proptest::prelude::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 7700))
}

fn bundle() -> PeerBundle {
    let domain = DomainKey(3);
    let member = |last, kind, millis| RosterMember {
        address: address(last),
        kind,
        age: Duration::from_millis(millis),
    };
    let members = vec![member(2, PeerKind::Entry, 0), member(3, PeerKind::Agent, 490)];
    let notice = PeerNotice::empty(address(4), PeerKind::Entry, domain);
    let report = DrainReport { unconfirmed: 2, waiting: 5, unresumable: 3 };
    PeerBundle {
        rosters: vec![DomainRoster { domain, members }],
        notices: vec![RelayedNotice { notice, age: Duration::from_millis(120) }],
        drains: vec![DrainSum { server: address(9), report }],
        received_from: vec![member(12, PeerKind::Entry, 30)],
        ..PeerBundle::empty(address(1), domain)
    }
}

#[gtest]
fn a_bundle_is_read_as_it_was_written() {
    let written = Datagram::Bundle(bundle());
    expect_that!(Datagram::decode(&written.encode()), some(eq(&written)));
    expect_that!(bundle().age_of(address(3)), some(eq(Duration::from_millis(490))));
    expect_that!(bundle().age_of(address(8)), none());
}

#[gtest]
fn notices_and_notes_are_told_apart_from_bundles() {
    let notice = PeerNotice::empty(address(4), PeerKind::Agent, DomainKey(1));
    let notice = Datagram::Notice(Box::new(notice));
    expect_that!(Datagram::decode(&notice.encode()), some(eq(&notice)));
    let notes = SwarmNotes { box_id: "10.0.0.1".to_owned(), queue: 3, ..SwarmNotes::default() };
    let notes = Datagram::Notes(notes);
    expect_that!(Datagram::decode(&notes.encode()), some(eq(&notes)));
    expect_that!(Datagram::decode(&[]), none());
}

proptest! {
    #[test]
    fn any_bytes_are_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        // Only the absence of a panic matters here.
        let _ = Datagram::decode(&bytes);
    }

    #[test]
    fn a_bundle_with_a_byte_changed_is_read_without_harm(at in 1_usize..150, byte: u8) {
        let mut bytes = Datagram::Bundle(bundle()).encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = Datagram::decode(&bytes);
    }
}
